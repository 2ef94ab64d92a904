package wal

import "fmt"

// Corruption describes part of a file that could not be read, and the consequences.
type Corruption struct {
	File     string   `json:"file"`
	Offset   int64    `json:"at"`
	Bytes    int64    `json:"bytes"`
	Reason   string   `json:"what"`
	Affected int      `json:"concerned"` // number of messages that are treated as sent because of the corruption
	IDs      []string `json:"ids,omitempty"`
}

// RecoveryReport describes what was found when a folder was opened or inspected.
type RecoveryReport struct {
	Files       []FileReport `json:"files"`
	Records     int          `json:"records"`
	Pending     int          `json:"owed"`
	Bytes       int64        `json:"bytes"`            // size on disk, with each file rounded up to 512
	Seq         uint64       `json:"seq"`              // sequence number of the last record
	Process     int          `json:"by"`               // number of the last process that owned the log
	Corruptions []Corruption `json:"damage,omitempty"` // recorded data that cannot be read
	Torn        []Corruption `json:"torn,omitempty"`   // incomplete writes, which were never reported as done
	LostIDs     []string     `json:"lost,omitempty"`   // ids of pending messages of which corruption left nothing else
	OlderFormat bool         `json:"older,omitempty"`  // the log has the legacy format
}

// FileReport describes one file of the log.
type FileReport struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Bytes   int64  `json:"bytes"`
	Records int    `json:"records"`
	First   uint64 `json:"first"` // sequence number of the first record
}

// Sound reports whether neither corruption nor lost messages were found. An incomplete write is
// neither.
func (r *RecoveryReport) Sound() bool { return len(r.Corruptions) == 0 && len(r.LostIDs) == 0 }

func (r *RecoveryReport) addCorruption(c Corruption) { r.Corruptions = append(r.Corruptions, c) }

func (r *RecoveryReport) addTorn(c Corruption) { r.Torn = append(r.Torn, c) }

// Reasons of a Corruption that are used in several places.
const (
	reasonUnreadable     = "unreadable"
	reasonSegmentMissing = "segment missing"
	reasonTornEnd        = "torn end"
)

func reasonDamagedRecord(kind Kind) string { return fmt.Sprintf("damaged record: %s", kind) }

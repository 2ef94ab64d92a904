package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry/client"
)

const (
	journalName = "list.changes"

	// journalHeader has the format's name and version, and the checksum of the list file
	// that the journal's entries change. The name is from before the program was renamed.
	// It is kept, since agents are started with folders of earlier versions.
	journalHeader = "troutchanges 1 %08x\n"

	journalChecksum = "%08x"                    // CRC-32C of an entry's JSON text
	journalRecord   = journalChecksum + " %s\n" // the checksum and the JSON text of an entry
	minJournalBytes = 1 << 20                   // below this size the complete list isn't written again
)

// journalEntry is one change of the list. It is stored as JSON, whose keys are kept from
// earlier versions.
type journalEntry struct {
	At       client.Position    `json:"at"`       // position in the group's changes
	Revision int64              `json:"revision"` // the agent's own revision of the list
	Members  []discovery.Member `json:"members"`  // the changed members
	Saved    time.Time          `json:"saved"`    // when the agent applied the change
}

func (e *journalEntry) encode() ([]byte, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return fmt.Appendf(nil, journalRecord, crc32.Checksum(text, castagnoli), text), nil
}

// decodeEntry decodes a line without its newline. An error wraps ErrCorrupt.
func decodeEntry(line []byte) (*journalEntry, error) {
	checksum, text, ok := bytes.Cut(line, []byte{' '})
	if !ok || string(checksum) != fmt.Sprintf(journalChecksum, crc32.Checksum(text, castagnoli)) {
		return nil, fmt.Errorf("list: %w change", ErrCorrupt)
	}
	entry := &journalEntry{}
	if err := json.Unmarshal(text, entry); err != nil {
		return nil, fmt.Errorf("list: %w: %w", ErrCorrupt, err)
	}
	for i := range entry.Members {
		if err := entry.Members[i].Validate(); err != nil {
			return nil, fmt.Errorf("list: %w: %w", ErrCorrupt, err)
		}
	}
	return entry, nil
}

// decodeJournal decodes the entries before the first torn or corrupt one, and returns the
// length of the valid text. The length is 0 if the journal's header is invalid or names
// another checksum than listChecksum, that of the list file.
func decodeJournal(text []byte, listChecksum uint32) (entries []journalEntry, valid int) {
	header := fmt.Appendf(nil, journalHeader, listChecksum)
	if !bytes.HasPrefix(text, header) {
		return nil, 0
	}
	valid = len(header)
	for {
		line, _, isComplete := bytes.Cut(text[valid:], []byte{'\n'})
		if !isComplete {
			return entries, valid
		}
		entry, err := decodeEntry(line)
		if err != nil {
			return entries, valid
		}
		entries = append(entries, *entry)
		valid += len(line) + 1
	}
}

// journal is the file of the changes since the list was last written. It is not safe
// for concurrent use. Its owner closes it.
type journal struct {
	path      string
	file      *os.File // nil if not open; the next save then writes the complete list
	size      int64
	listBytes int64 // length of the list file that the entries change
}

// load applies the journal's entries to the list that was read from the list file, and
// cuts off the journal at the first torn or corrupt entry. It ignores a journal of another
// list file, since an earlier version, which had no journal, may have written a newer one.
func (j *journal) load(l *savedList, listChecksum uint32) error {
	text, err := os.ReadFile(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	entries, valid := decodeJournal(text, listChecksum)
	if valid == 0 {
		return nil
	}
	for i := range entries {
		l.apply(&entries[i])
	}
	if j.file, err = os.OpenFile(j.path, os.O_RDWR, 0o600); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if err := j.file.Truncate(int64(valid)); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	j.size = int64(valid)
	return nil
}

// isFull reports whether the complete list should be written instead of the next entry.
func (j *journal) isFull() bool {
	return j.file == nil || j.size > max(minJournalBytes, j.listBytes)
}

// reset begins an empty journal of changes to a list file that is already on disk.
func (j *journal) reset(listChecksum uint32, listBytes int64) error {
	j.close()
	file, err := os.OpenFile(j.path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	header := fmt.Appendf(nil, journalHeader, listChecksum)
	_, err = file.Write(header)
	if err = errors.Join(err, file.Sync(), syncDir(filepath.Dir(j.path))); err != nil {
		return fmt.Errorf("list: %w", errors.Join(err, file.Close()))
	}
	j.file, j.size, j.listBytes = file, int64(len(header)), listBytes
	return nil
}

// append saves entries. If it returns no error, they survive a crash and a loss of power.
// If writing or syncing fails, it closes the journal.
func (j *journal) append(entries []journalEntry) error {
	var text []byte
	for i := range entries {
		line, err := entries[i].encode()
		if err != nil {
			return err
		}
		text = append(text, line...)
	}
	_, err := j.file.WriteAt(text, j.size)
	if err = errors.Join(err, j.file.Sync()); err != nil {
		j.close()
		return fmt.Errorf("list: %w", err)
	}
	j.size += int64(len(text))
	return nil
}

func (j *journal) close() {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
}

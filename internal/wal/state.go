package wal

import (
	"math"
	"slices"
)

// state is the content of a log: its pending messages and the position of each one's record.
// Records change it by apply, in the same way when they are written as when they are read at
// a start.
type state struct {
	index           *index
	files           map[uint32]*logFile // by logFile.ref
	lastFileRef     uint32
	segments        []*logFile // the segments after the checkpoint, in order
	checkpointFile  *logFile   // nil if there is none
	obsolete        []string   // files that are not needed: replaced by the checkpoint, or left incomplete
	nextSegment     uint32
	owner           ownerID
	checksumSeed    uint32
	seq             uint64 // sequence number of the last record
	syncedSeq       uint64 // sequence number up to which the log was synced, according to its batch start records
	sealedNext      uint32 // number of the next segment if the last record is a seal; 0 otherwise
	process         int    // number of the last process that owned the log
	lastTime        int64  // latest log time that is known, from the attempts and the stamp
	clockAnchor     clockAnchor
	handoffOffset   int64  // up to this byte the log includes the handoff log
	policySnapshot  []byte // policy state of the process that handed the log off
	snapshotParts   snapshotParts
	checkpointBytes int64 // maximum size of a checkpoint of this state
	recovery        RecoveryReport
}

func newState() *state {
	return &state{index: newIndex(), files: map[uint32]*logFile{}, nextSegment: 1}
}

func (s *state) addFile(f *logFile) *logFile {
	s.lastFileRef++
	f.ref = s.lastFileRef
	s.files[f.ref] = f
	return f
}

func (s *state) closeFiles() {
	for _, f := range s.files {
		f.file.Close()
	}
}

// recordPlace is the position of a record.
type recordPlace struct {
	file         *logFile
	offset, size int64
}

// maxAttempts is the highest number of attempts that an entry can count.
const maxAttempts = math.MaxUint8

// stateReserveBytes is by how many bytes a message's record may grow when a checkpoint
// stores it, not counting the endpoint of its attempt in flight.
const stateReserveBytes = 128

// maxEntryBytes returns the maximum size of an entry's record in a checkpoint.
func (s *state) maxEntryBytes(i uint32) int64 {
	e := s.index.entryAt(i)
	n := int64(e.size) + stateReserveBytes
	if e.flags&entryDetailed != 0 {
		d := s.index.details[i]
		n += int64(len(d.inFlightEndpoint) + len(d.corruptedID))
	}
	return n
}

// apply changes the state by one record. k and id identify the record's message.
func (s *state) apply(k indexKey, id []byte, seq uint64, r *Record, place recordPlace) {
	s.handoffOffset = max(s.handoffOffset, r.HandoffOffset)
	switch r.Kind {
	case KindOwner:
		s.process = max(s.process, r.Process)
		s.policySnapshot, s.snapshotParts = nil, snapshotParts{}
		s.resolveInFlight(func(process int) bool { return process != r.Process && process != r.livingProcess }, seq)
	case KindHandoff: // a new handoff log begins
		s.handoffOffset = 0
		s.applySnapshot(r.Body)
	case kindBatchStart:
		s.syncedSeq = max(s.syncedSeq, uint64(r.At))
	case kindSegmentSeal:
		s.sealedNext = uint32(r.At)
	case kindCheckpointEnd:
	default:
		s.applyToMessage(k, id, seq, r, place)
	}
}

// applySnapshot takes the body of a KindHandoff record. A snapshot that cannot be decompressed
// counts as none.
func (s *state) applySnapshot(body []byte) {
	snapshot, err := s.snapshotParts.add(body)
	if err != nil {
		snapshot = nil
	}
	s.policySnapshot = snapshot
}

func (s *state) applyToMessage(k indexKey, id []byte, seq uint64, r *Record, place recordPlace) {
	i, known := s.index.find(k)
	if known && r.Kind != kindMessageState && s.index.entryAt(i).includes(seq) {
		return // the checkpoint's state of the message already includes this record
	}
	switch r.Kind {
	case KindAccepted, kindMessageState:
		if !known {
			s.addMessage(k, id, seq, r, place)
		}
		return
	case KindCompleted:
		if known {
			s.removeEntry(i)
		}
		return
	}
	if !known { // corruption destroyed the message's first record
		i = s.addCorrupted(k, id, seq-1)
	}
	if r.Kind == KindAttempt {
		s.lastTime = max(s.lastTime, r.At)
	}
	s.update(i, r)
	e := s.index.entryAt(i)
	e.stateSeq = uint32(min(seq-e.seq, math.MaxUint32))
}

// includes reports whether the entry's state already includes the record with
// the sequence number seq.
func (e *entry) includes(seq uint64) bool { return seq <= e.lastSeq() }

// lastSeq returns the sequence number of the last record that the entry's state includes.
func (e *entry) lastSeq() uint64 { return e.seq + uint64(e.stateSeq) }

func (s *state) addMessage(k indexKey, id []byte, seq uint64, r *Record, place recordPlace) {
	i, e := s.index.add(k)
	e.seq = seq
	if r.Kind == kindMessageState { // At and Latency hold sequence numbers: see appendMessageState
		e.seq = uint64(r.At)
		e.stateSeq = uint32(min(uint64(r.Latency)-uint64(r.At), math.MaxUint32))
	}
	e.fileRef, e.offset, e.size = place.file.ref, uint32(place.offset), uint32(place.size)
	e.attempts = uint8(min(r.Attempts, maxAttempts))
	e.unknownOutcomeAt, e.unknownOutcomeZone = r.UnknownOutcomeAt, int16(r.UnknownOutcomeZone)
	if r.InFlightSince != 0 || r.Notice != "" || r.Corrupted {
		d := s.index.detail(i)
		d.inFlightSince, d.inFlightZone = r.InFlightSince, r.InFlightZone
		d.inFlightProcess, d.inFlightEndpoint = r.InFlightProcess, r.InFlightEndpoint
		d.notice, d.retryMS = r.Notice, r.RetryMS
		if r.Corrupted {
			d.corruptedID, e.fileRef = string(id), 0
		}
	}
	s.checkpointBytes += s.maxEntryBytes(i)
}

// addCorrupted adds a message of which corruption left only the id.
func (s *state) addCorrupted(k indexKey, id []byte, seq uint64) uint32 {
	i, e := s.index.add(k)
	e.seq = seq
	s.index.detail(i).corruptedID = string(id)
	s.checkpointBytes += s.maxEntryBytes(i)
	return i
}

// markCorrupted notes that an entry's record can no longer be read.
func (s *state) markCorrupted(i uint32, id string) {
	s.checkpointBytes -= s.maxEntryBytes(i)
	s.index.detail(i).corruptedID = id
	s.checkpointBytes += s.maxEntryBytes(i)
}

// relocate notes that an entry's record is now stored at another position.
func (s *state) relocate(i uint32, place recordPlace) {
	s.checkpointBytes -= s.maxEntryBytes(i)
	e := s.index.entryAt(i)
	e.fileRef, e.offset, e.size = place.file.ref, uint32(place.offset), uint32(place.size)
	s.checkpointBytes += s.maxEntryBytes(i)
}

func (s *state) removeEntry(i uint32) {
	s.checkpointBytes -= s.maxEntryBytes(i)
	s.index.remove(i)
}

// update changes an entry by a record of its message.
func (s *state) update(i uint32, r *Record) {
	s.checkpointBytes -= s.maxEntryBytes(i)
	switch r.Kind {
	case KindAttempt:
		s.updateAttempt(i, r)
	case KindOutcome:
		s.updateOutcome(i, r)
	case KindCompleting:
		d := s.index.detail(i)
		d.notice, d.retryMS = r.Notice, r.RetryMS
	}
	s.checkpointBytes += s.maxEntryBytes(i)
}

func (s *state) updateAttempt(i uint32, r *Record) {
	s.countAttempt(i)
	d := s.index.detail(i)
	d.inFlightSince, d.inFlightZone = r.At, r.Zone
	d.inFlightProcess, d.inFlightEndpoint = r.Process, r.Endpoint
}

func (s *state) countAttempt(i uint32) {
	e := s.index.entryAt(i)
	e.attempts = uint8(min(int(e.attempts)+1, maxAttempts))
}

func (s *state) updateOutcome(i uint32, r *Record) {
	d := s.index.details[i]
	if d == nil {
		return
	}
	e := s.index.entryAt(i)
	if r.MayHaveRun && e.unknownOutcomeAt == 0 {
		e.unknownOutcomeAt, e.unknownOutcomeZone = d.inFlightSince, int16(d.inFlightZone)
	}
	if r.LocalFailure && d.inFlightSince != 0 && e.attempts > 0 {
		e.attempts--
	}
	d.inFlightSince, d.inFlightZone, d.inFlightProcess, d.inFlightEndpoint = 0, 0, 0, ""
	s.index.dropEmptyDetail(i)
}

// resolveInFlight gives an unknown outcome to attempts of processes that have exited,
// since no process recorded how they ended. It leaves attempts alone that were recorded
// after the record seq.
func (s *state) resolveInFlight(exited func(process int) bool, seq uint64) {
	for i, d := range s.index.details {
		if d.inFlightSince != 0 && exited(d.inFlightProcess) && seq > s.index.entryAt(i).lastSeq() {
			s.update(i, &Record{Kind: KindOutcome, MayHaveRun: true})
		}
	}
}

// assumedSendTime is the time of sending of an attempt that may have been made but whose
// record may be lost to corruption.
const assumedSendTime = 1

// assumeSent treats a message as sent, since corruption may have destroyed the
// record of an attempt.
func (s *state) assumeSent(i uint32) {
	// Counts one attempt: a message has at most one in flight at a time, and a corrupted
	// range mostly covers one record.
	s.countAttempt(i)
	e := s.index.entryAt(i)
	if e.unknownOutcomeAt != 0 {
		return
	}
	e.unknownOutcomeAt = assumedSendTime
	if d := s.index.details[i]; d != nil && d.inFlightSince != 0 {
		e.unknownOutcomeAt, e.unknownOutcomeZone = d.inFlightSince, int16(d.inFlightZone)
	}
}

// assumeAllSent treats each message as sent that was accepted before the record with the
// sequence number before. It returns their number.
func (s *state) assumeAllSent(before uint64) (n int) {
	for i := range s.index.entryCount {
		if e := s.index.entryAt(i); e.flags&entryLive != 0 && e.seq < before {
			s.assumeSent(i)
			n++
		}
	}
	return n
}

// unknownNotice stands for the final notice of a message if corruption destroyed the notice.
const unknownNotice = "lost"

// applyCorrupted changes the state by a record of which only the head and the id are
// valid, and completes the report of the corruption.
func (s *state) applyCorrupted(r *rawRecord, c *Corruption) {
	k := s.index.keyOfBytes(r.id)
	c.Reason, c.IDs = reasonDamagedRecord(r.kind), []string{string(r.id)}
	i, known := s.index.find(k)
	switch r.kind {
	case KindAccepted, kindMessageState:
		if !known {
			s.addCorrupted(k, r.id, r.seq)
		}
	case KindCompleted:
		if known {
			s.removeEntry(i)
		}
	case KindAttempt, KindOutcome, KindCompleting:
		if !known {
			i = s.addCorrupted(k, r.id, r.seq-1)
		}
		s.assumeSent(i)
		c.Affected = 1
		// The message has ended with a notice that is no longer known, so it is not sent again.
		if r.kind == KindCompleting {
			s.index.detail(i).notice = unknownNotice
		}
	case KindOwner:
		s.resolveInFlight(func(int) bool { return true }, r.seq)
	}
}

// summarize completes the recovery report after all records have been applied.
func (s *state) summarize() {
	s.recovery.Pending, s.recovery.Seq, s.recovery.Process = s.index.live, s.seq, s.process
	for _, d := range s.index.details {
		if d.corruptedID != "" {
			s.recovery.LostIDs = append(s.recovery.LostIDs, d.corruptedID)
		}
	}
	slices.Sort(s.recovery.LostIDs)
	for _, f := range s.recovery.Files {
		s.recovery.Records += f.Records
		s.recovery.Bytes += blockBytes(f.Bytes)
	}
}

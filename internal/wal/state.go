package wal

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// logFile is a file that records stand in.
type logFile struct {
	ref  uint32
	name string
	file File
	size int64
	header
	salt         uint32
	validHeaders int // copies of its header
	legacy       bool
	corrupted    bool // kept aside when it is no longer needed
}

// state is what a log says: what is owed, and where each message's record is.
type state struct {
	fs              FS
	index           *index
	owner           [16]byte
	salt            uint32
	seq             uint64 // of the last record
	process         int
	lastTime        int64       // when anything was booked last, as far as is known: log's time
	clockAnchor     clockAnchor // the newest moment of which a reading of the clocks is known
	handoffOffset   int64       // so much of the side log is in here
	policySnapshot  []byte      // of the policy of the process that passed the log on
	checkpointBytes int64       // bytes that a checkpoint needs at most
	files           map[uint32]*logFile
	lastFileRef     uint32
	segments        []*logFile // from the checkpoint on, in order
	checkpointFile  *logFile
	obsolete        []string // files that the checkpoint has made useless
	nextSegment     uint32
	gaps            []gap
	syncedSeq       uint64 // so far the log says of itself that it was synced
	sealedNext      uint32 // the segment that the last record says follows
	previousSeal    uint32 // the segment that the last of the one before named, if it has no record itself
	stampedSeq      uint64 // the last record's number as the mark has it; 0 where that is unknown
	nextFileSeq     uint64 // the first record's number of the next file; 0 for none
	recovery        RecoveryReport
}

// gap is a row of records that are not there.
type gap struct {
	Corruption
	from, to uint64
}

func newState(fs FS) *state {
	return &state{fs: fs, index: newIndex(), files: map[uint32]*logFile{}, nextSegment: 1}
}

func (s *state) addFile(src *logFile) *logFile {
	s.lastFileRef++
	src.ref = s.lastFileRef
	s.files[src.ref] = src
	return src
}

func (s *state) close() {
	for _, src := range s.files {
		src.file.Close()
	}
}

// entryBytes is what the entry's record takes up in a checkpoint at most.
func (s *state) entryBytes(i uint32) int64 {
	e := s.index.at(i)
	n := int64(e.size) + stateGrowthBytes
	if e.flags&entryDetailed != 0 {
		x := s.index.details[i]
		n += int64(len(x.inFlightEndpoint) + len(x.corruptedID))
	}
	return n
}

// apply takes in a record that stands at a place of a file.
func (s *state) apply(k indexKey, id []byte, seq uint64, r *Record, src *logFile, off, size int64, side bool) {
	s.handoffOffset = max(s.handoffOffset, r.HandoffOffset)
	switch r.Kind {
	case KindOwner:
		s.process, s.policySnapshot = max(s.process, r.Process), nil
		s.resolveInFlight(func(by int) bool { return by != r.Process && by != r.livingProcess }, seq)
		return
	case KindHandoff: // a new side log begins
		s.policySnapshot, s.handoffOffset = r.Body, 0
		return
	case kindBatchStart:
		s.syncedSeq = max(s.syncedSeq, uint64(r.At))
		return
	case kindSegmentSeal:
		s.sealedNext = uint32(r.At)
		return
	case kindCheckpointEnd:
		return
	}
	i, known := s.index.find(k)
	if known {
		if e := s.index.at(i); seq <= e.seq+uint64(e.stateSeq) && r.Kind != kindMessageState {
			return // the checkpoint was written later than this
		}
	}
	switch {
	case r.Kind == KindAccepted || r.Kind == kindMessageState:
		if known {
			return
		}
		var e *entry
		i, e = s.index.add(k)
		e.seq, e.fileRef, e.offset, e.size = seq, src.ref, uint32(off), uint32(size)
		if r.Kind == kindMessageState {
			e.seq, e.stateSeq = uint64(r.At), uint32(min(uint64(r.Latency)-uint64(r.At), math.MaxUint32))
		}
		e.attempts, e.unknownOutcomeAt, e.unknownOutcomeZone = uint8(min(r.Attempts, 255)), r.UnknownOutcomeAt, int16(r.UnknownOutcomeZone)
		if r.InFlightSince != 0 || r.Notice != "" || r.Corrupted {
			x := s.index.detail(i)
			x.inFlightSince, x.inFlightZone, x.inFlightProcess, x.inFlightEndpoint, x.notice, x.retryMS = r.InFlightSince, r.InFlightZone, r.InFlightProcess, r.InFlightEndpoint, r.Notice, r.RetryMS
			if r.Corrupted {
				x.corruptedID, e.fileRef = string(id), 0
			}
		}
		s.checkpointBytes += s.entryBytes(i)
		return
	case r.Kind == KindCompleted:
		if known {
			s.checkpointBytes -= s.entryBytes(i)
			s.index.remove(i)
		}
		return
	case !known && side: // over here already
		return
	case !known: // damage took its first record
		i = s.addCorrupted(k, id, seq-1)
	}
	if r.Kind == KindAttempt {
		s.lastTime = max(s.lastTime, r.At)
	}
	s.checkpointBytes -= s.entryBytes(i)
	s.update(i, r)
	e := s.index.at(i)
	e.stateSeq = uint32(min(seq-e.seq, math.MaxUint32))
	s.checkpointBytes += s.entryBytes(i)
}

// addCorrupted books a message of which only the id is left.
func (s *state) addCorrupted(k indexKey, id []byte, seq uint64) uint32 {
	i, e := s.index.add(k)
	e.seq = seq
	s.index.detail(i).corruptedID = string(id)
	s.checkpointBytes += s.entryBytes(i)
	return i
}

func (s *state) update(i uint32, r *Record) {
	e := s.index.at(i)
	switch r.Kind {
	case KindAttempt:
		e.attempts = uint8(min(int(e.attempts)+1, 255))
		x := s.index.detail(i)
		x.inFlightSince, x.inFlightZone, x.inFlightProcess, x.inFlightEndpoint = r.At, r.Zone, r.Process, r.Endpoint
	case KindOutcome:
		if x := s.index.details[i]; x != nil {
			if r.MayHaveRun && e.unknownOutcomeAt == 0 {
				e.unknownOutcomeAt, e.unknownOutcomeZone = x.inFlightSince, int16(x.inFlightZone)
			}
			if r.LocalFailure && x.inFlightSince != 0 && e.attempts > 0 {
				e.attempts--
			}
			x.inFlightSince, x.inFlightZone, x.inFlightProcess, x.inFlightEndpoint = 0, 0, 0, ""
			s.index.dropEmptyDetail(i)
		}
	case KindCompleting:
		x := s.index.detail(i)
		x.notice, x.retryMS = r.Notice, r.RetryMS
	}
}

// resolveInFlight reads attempts of processes that are gone as ones that may have run:
// nobody saw their outcome.
func (s *state) resolveInFlight(gone func(by int) bool, seq uint64) {
	for i, x := range s.index.details {
		e := s.index.at(i)
		if x.inFlightSince != 0 && gone(x.inFlightProcess) && seq > e.seq+uint64(e.stateSeq) {
			s.checkpointBytes -= s.entryBytes(i)
			s.update(i, &Record{Kind: KindOutcome, MayHaveRun: true})
			s.checkpointBytes += s.entryBytes(i)
		}
	}
}

// suspect holds a message to have been sent, since damage may have taken the
// record of an attempt.
func (s *state) suspect(i uint32) {
	e := s.index.at(i)
	e.attempts = uint8(min(int(e.attempts)+1, 255)) // at most one is out at a time, and a stretch is mostly one record
	if e.unknownOutcomeAt == 0 {
		e.unknownOutcomeAt = 1
		if x := s.index.details[i]; x != nil && x.inFlightSince != 0 {
			e.unknownOutcomeAt, e.unknownOutcomeZone = x.inFlightSince, int16(x.inFlightZone)
		}
	}
}

// suspectAll does so for all that were taken on before a record.
func (s *state) suspectAll(before uint64) (n int) {
	for i := range s.index.entryCount {
		if e := s.index.at(i); e.flags&entryLive != 0 && e.seq < before {
			s.suspect(i)
			n++
		}
	}
	return n
}

// applyCorrupted books a record of which only the head is certain.
func (s *state) applyCorrupted(r *rawRecord, d *Corruption, side bool) {
	k := s.index.keyOfBytes(r.id)
	d.Reason, d.IDs = fmt.Sprintf("damaged record: %s", r.kind), []string{string(r.id)}
	i, known := s.index.find(k)
	switch r.kind {
	case KindAccepted, kindMessageState:
		if !known {
			s.addCorrupted(k, r.id, r.seq)
		}
	case KindCompleted:
		if known {
			s.checkpointBytes -= s.entryBytes(i)
			s.index.remove(i)
		}
	case KindAttempt, KindOutcome, KindCompleting:
		if !known {
			if side {
				return
			}
			i = s.addCorrupted(k, r.id, r.seq-1)
		}
		s.suspect(i)
		d.Affected = 1
		if r.kind == KindCompleting { // it was over, by which word nobody knows: it is not sent again
			s.checkpointBytes -= s.entryBytes(i)
			s.index.detail(i).notice = unknownNotice
			s.checkpointBytes += s.entryBytes(i)
		}
	case KindOwner:
		s.resolveInFlight(func(int) bool { return true }, r.seq)
	}
}

// unknownNotice stands for the word of an ending that damage took.
const unknownNotice = "lost"

// fileTail is what stands at a file's end after its last record.
type fileTail struct {
	offset, bytes int64
	status        recordStatus
	record        rawRecord
	zeros         bool
	unsynced      bool // power went before it was booked
	ids           []string
}

// replay books the records of a file. seq counts them; each may raise it.
func (s *state) replay(src *logFile, seq *uint64, side bool, from int64) (FileReport, fileTail) {
	file := FileReport{Name: src.name, Kind: src.kind.String(), Bytes: src.size, First: src.firstSeq}
	scan := scanner{file: src.file, size: src.size, salt: src.salt}
	var spoilt Corruption // the stretch before the record at off
	off := from
	if src.validHeaders == 0 {
		off = scan.resync(0, *seq+1)
		spoilt = Corruption{File: src.name, Bytes: off, Reason: "header unreadable"}
	}
	if src.size < headerSize { // it was made, and never begun
		return file, fileTail{bytes: src.size, status: recordUnreadable, zeros: true}
	}
	if src.validHeaders == 1 {
		src.corrupted = true
		s.recovery.Corruptions = append(s.recovery.Corruptions, Corruption{File: src.name, Bytes: headerSize, Reason: "one copy of the header unreadable"})
	}
	var r Record
	for off < src.size {
		rec, st := scan.record(off)
		if src.durable && (st != recordValid || rec.seq > *seq+1) && !s.proven(&scan, off, *seq+1) {
			return file, fileTail{offset: off, bytes: src.size - off, status: recordUnreadable, unsynced: true, ids: scan.readableIDs(off, src.size)}
		}
		if st == recordUnreadable || st == recordTorn {
			end := scan.resync(off+1, *seq+1)
			names := scan.readableIDs(off, end)
			if end == src.size {
				t := fileTail{offset: off, bytes: end - off, status: st, zeros: scan.allZeros(off, end), ids: names}
				if st == recordTorn {
					t.record, _ = scan.record(off)
					t.record.id = append([]byte(nil), t.record.id...)
				}
				return file, t
			}
			spoilt = Corruption{File: src.name, Offset: off, Bytes: end - off, Reason: "unreadable", IDs: names}
			off = end
			continue
		}
		if rec.seq <= *seq { // a second time, or out of its place
			off += rec.size
			continue
		}
		if lost := rec.seq - *seq - 1; lost > 0 {
			if spoilt.Bytes == 0 {
				spoilt = Corruption{File: src.name, Offset: off, Reason: fmt.Sprintf("%d records missing", lost)}
			}
			src.corrupted = true
			s.gaps = append(s.gaps, gap{Corruption: spoilt, from: *seq + 1, to: rec.seq - 1})
		} else if src.validHeaders == 0 && spoilt.Bytes > 0 && spoilt.Offset == 0 {
			src.corrupted = true
			s.recovery.Corruptions = append(s.recovery.Corruptions, spoilt)
		} else if spoilt.Bytes > 0 { // a write that failed, and was made again
			s.recovery.Torn = append(s.recovery.Torn, spoilt)
		}
		spoilt = Corruption{}
		*seq = rec.seq
		if st == payloadCorrupted {
			d := Corruption{File: src.name, Offset: off, Bytes: rec.size}
			src.corrupted = true
			s.applyCorrupted(&rec, &d, side)
			s.recovery.Corruptions = append(s.recovery.Corruptions, d)
		} else {
			r = Record{Kind: rec.kind}
			if _, ok := decodePayload(&r, rec.payload); !ok {
				d := Corruption{File: src.name, Offset: off, Bytes: rec.size}
				s.applyCorrupted(&rec, &d, side)
				s.recovery.Corruptions = append(s.recovery.Corruptions, d)
			} else {
				s.apply(s.index.keyOfBytes(rec.id), rec.id, rec.seq, &r, src, off, rec.size, side)
			}
		}
		file.Records++
		off += rec.size
	}
	if spoilt.Bytes > 0 {
		return file, fileTail{offset: spoilt.Offset, bytes: spoilt.Bytes, status: recordUnreadable, ids: spoilt.IDs, zeros: scan.allZeros(spoilt.Offset, spoilt.Offset+spoilt.Bytes)}
	}
	return file, fileTail{}
}

// proven reports whether a record of a file that was synced batch by batch had
// been booked: a later one says so, or the mark. What was not may be there in
// part, and is not damage: the log ends before it.
func (s *state) proven(scan *scanner, off int64, seq uint64) bool {
	if s.nextFileSeq != 0 { // who began the next file had judged already
		return s.nextFileSeq > seq
	}
	if s.stampedSeq >= seq {
		return true
	}
	var r Record
	for off < scan.size {
		rec, st := scan.record(off)
		if st == recordUnreadable || st == recordTorn {
			off = scan.resync(off+1, seq)
			continue
		}
		if r = (Record{Kind: rec.kind}); st == recordValid && rec.kind == kindBatchStart {
			if _, ok := decodePayload(&r, rec.payload); ok && uint64(r.At) >= seq {
				return true
			}
		}
		off += rec.size
	}
	return false
}

// replayCheckpoint books a checkpoint. whole is false where it is not all there.
func (s *state) replayCheckpoint(src *logFile) (whole bool) {
	n := uint64(0)
	before := len(s.recovery.Corruptions)
	file, t := s.replay(src, &n, false, headerSize)
	s.recovery.Files = append(s.recovery.Files, file)
	whole = len(s.recovery.Corruptions) == before && len(s.gaps) == 0 && t.bytes == 0 && file.Records > 0
	for _, h := range s.gaps { // of a checkpoint: messages that are gone, and concern no other
		h.Reason = fmt.Sprintf("%d records of the checkpoint unreadable", h.to-h.from+1)
		s.recovery.Corruptions = append(s.recovery.Corruptions, h.Corruption)
	}
	s.gaps = nil
	if t.bytes > 0 || file.Records == 0 {
		s.recovery.Corruptions = append(s.recovery.Corruptions, Corruption{File: src.name, Offset: t.offset, Bytes: t.bytes, Reason: "the checkpoint's end is missing", IDs: t.ids})
	}
	if !whole {
		src.corrupted = true
	}
	s.seq = src.firstSeq - 1
	return whole
}

// assessEnd judges what the files left open, once all of them are booked. mark is
// the last record's number as it was kept beside the log; 0 where that is unknown.
func (s *state) assessEnd(last *logFile, t fileTail, mark uint64) {
	lost := func(d Corruption, before uint64) {
		d.Affected = s.suspectAll(before)
		s.recovery.Corruptions = append(s.recovery.Corruptions, d)
	}
	for _, h := range s.gaps {
		lost(h.Corruption, h.to+1)
	}
	s.gaps = nil
	d := Corruption{Offset: t.offset, Bytes: t.bytes, IDs: t.ids, Reason: "unreadable end"}
	if last != nil {
		d.File = last.name
	}
	if t.unsynced {
		d.Reason = "written, but not synced when power went"
	}
	certain := t.bytes > 0 && t.status == recordTorn
	if certain {
		d.IDs = []string{string(t.record.id)}
	}
	missing := uint64(0)
	if mark > s.seq {
		missing = mark - s.seq
	}
	switch {
	case missing == 1 && certain, mark == 0 && certain:
		s.applyCorrupted(&t.record, &d, false)
		s.recovery.Corruptions = append(s.recovery.Corruptions, d)
		s.seq = max(s.seq, t.record.seq)
	case missing > 0:
		if last != nil {
			last.corrupted = true
		}
		d.Reason = fmt.Sprintf("the last %d records missing", missing)
		lost(d, mark+1)
		s.seq = mark
	case mark == 0 && t.bytes > 0 && !t.zeros && !t.unsynced:
		lost(d, s.seq+1)
	case t.bytes > 0:
		s.recovery.Torn = append(s.recovery.Torn, d)
	}
	if mark == 0 && last != nil && last.validHeaders == 0 && last.number == s.previousSeal { // its header was there before the seal
		last.corrupted = true
		lost(Corruption{File: last.name, Bytes: last.size, Reason: "segment emptied"}, s.seq+1)
	}
	if mark == 0 && s.sealedNext != 0 && (last == nil || last.number < s.sealedNext) {
		lost(Corruption{File: segmentName(s.sealedNext), Reason: "segment missing"}, s.seq+1)
		s.nextSegment = s.sealedNext + 1 // that it is missing shows later, too
	}
}

// summarize fills in the report, once all is booked.
func (s *state) summarize() {
	s.recovery.Pending, s.recovery.Seq, s.recovery.Process = s.index.live, s.seq, s.process
	for _, x := range s.index.details {
		if x.corruptedID != "" {
			s.recovery.LostIDs = append(s.recovery.LostIDs, x.corruptedID)
		}
	}
	slices.Sort(s.recovery.LostIDs)
	for _, f := range s.recovery.Files {
		s.recovery.Records += f.Records
		s.recovery.Bytes += blockBytes(f.Bytes)
	}
}

func blockBytes(n int64) int64 { return (n + 511) / 512 * 512 }

var errRecordMoved = errors.New("log: its record is not where it was")

// messageReader reads messages where their records stand, through one window.
type messageReader struct {
	scanner scanner
	fileRef uint32
}

func (x *messageReader) scannerOf(src *logFile) *scanner {
	if x.fileRef != src.ref || x.scanner.file != src.file {
		x.fileRef, x.scanner = src.ref, scanner{file: src.file, salt: src.salt, windowBytes: x.scanner.windowBytes, buffer: x.scanner.buffer[:0]}
	}
	return &x.scanner
}

// readRecord reads an entry's message. raw is what a checkpoint carries of it, and is
// good until the reader's next call.
func (s *state) readRecord(i uint32, from *messageReader, r *Record) (body []byte, err error) {
	e := s.index.at(i)
	*r = Record{Kind: KindAccepted, Attempts: int(e.attempts), UnknownOutcomeAt: e.unknownOutcomeAt, UnknownOutcomeZone: int(e.unknownOutcomeZone)}
	if x := s.index.details[i]; e.flags&entryDetailed != 0 {
		r.InFlightSince, r.InFlightZone, r.InFlightProcess, r.InFlightEndpoint, r.Notice, r.RetryMS = x.inFlightSince, x.inFlightZone, x.inFlightProcess, x.inFlightEndpoint, x.notice, x.retryMS
		if x.corruptedID != "" {
			r.ID, r.Corrupted = x.corruptedID, true
			return nil, nil
		}
	}
	src := s.files[e.fileRef]
	if src == nil {
		return nil, errRecordMoved
	}
	scan := from.scannerOf(src)
	scan.size = max(src.size, int64(e.offset)+int64(e.size))
	if src.legacy {
		o, n := decodeLegacy(scan.window(int64(e.offset), int(e.size)))
		if n == 0 {
			return nil, fmt.Errorf("log: %s at %d: unreadable now", src.name, e.offset)
		}
		r.ID = o.ID
		return appendMessage(nil, o), nil
	}
	rec, st := scan.record(int64(e.offset))
	if st != recordValid {
		if st == payloadCorrupted {
			r.ID = string(rec.id)
		}
		return nil, fmt.Errorf("log: %s at %d: unreadable now", src.name, e.offset)
	}
	r.ID = string(rec.id)
	var at Record
	at.Kind = rec.kind
	body, ok := decodePayload(&at, rec.payload)
	if !ok {
		return nil, errRecordMoved
	}
	return body, nil
}

// readMessage reads an entry whole, as the relay wants it. One that cannot be read
// any more is lost.
func (s *state) readMessage(i uint32, from *messageReader) (*Record, error) {
	r := &Record{}
	raw, err := s.readRecord(i, from, r)
	if err == nil && !r.Corrupted && !decodeMessage(r, raw) {
		err = errRecordMoved
	}
	if r.Notice == unknownNotice {
		r.Corrupted, r.Notice = true, ""
	}
	return r, err
}

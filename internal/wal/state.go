package wal

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// source is a file that records stand in.
type source struct {
	ref  uint32
	name string
	f    File
	size int64
	header
	salt    uint32
	sound   int // copies of its header
	old     bool
	damaged bool // kept aside when it is no longer needed
}

// state is what a log says: what is owed, and where each message's record is.
type state struct {
	fs      FS
	idx     *index
	owner   [16]byte
	salt    uint32
	seq     uint64 // of the last record
	by      int
	last    int64  // when anything was booked last, as far as is known: log's time
	known   anchor // the newest moment of which a reading of the clocks is known
	side    int64  // so much of the side log is in here
	memory  []byte // of the policy of the process that passed the log on
	owed    int64  // bytes that a checkpoint needs at most
	sources map[uint32]*source
	refs    uint32
	segs    []*source // from the checkpoint on, in order
	ckp     *source
	spent   []string // files that the checkpoint has made useless
	nextNum uint32
	holes   []hole
	synced  uint64 // so far the log says of itself that it was synced
	sealed  uint32 // the segment that the last record says follows
	began   uint32 // the segment that the last of the one before named, if it has no record itself
	marked  uint64 // the last record's number as the mark has it; 0 where that is unknown
	ahead   uint64 // the first record's number of the next file; 0 for none
	report  RecoveryReport
}

// hole is a row of records that are not there.
type hole struct {
	Corruption
	from, to uint64
}

func newState(fs FS) *state {
	return &state{fs: fs, idx: newIndex(), sources: map[uint32]*source{}, nextNum: 1}
}

func (s *state) addSource(src *source) *source {
	s.refs++
	src.ref = s.refs
	s.sources[src.ref] = src
	return src
}

func (s *state) close() {
	for _, src := range s.sources {
		src.f.Close()
	}
}

// room is what the entry's record takes up in a checkpoint at most.
func (s *state) room(i uint32) int64 {
	e := s.idx.at(i)
	n := int64(e.size) + stateRoom
	if e.flags&entryExtra != 0 {
		x := s.idx.extras[i]
		n += int64(len(x.outTo) + len(x.lost))
	}
	return n
}

// book takes in a record that stands at a place of a file.
func (s *state) book(k key, id []byte, seq uint64, r *Record, src *source, off, size int64, side bool) {
	s.side = max(s.side, r.HandoffOffset)
	switch r.Kind {
	case KindOwner:
		s.by, s.memory = max(s.by, r.Process), nil
		s.settle(func(by int) bool { return by != r.Process && by != r.living }, seq)
		return
	case KindHandoff: // a new side log begins
		s.memory, s.side = r.Body, 0
		return
	case batch:
		s.synced = max(s.synced, uint64(r.At))
		return
	case seal:
		s.sealed = uint32(r.At)
		return
	case total:
		return
	}
	i, known := s.idx.find(k)
	if known {
		if e := s.idx.at(i); seq <= e.seq+uint64(e.asof) && r.Kind != held {
			return // the checkpoint was written later than this
		}
	}
	switch {
	case r.Kind == KindAccepted || r.Kind == held:
		if known {
			return
		}
		var e *entry
		i, e = s.idx.add(k)
		e.seq, e.src, e.off, e.size = seq, src.ref, uint32(off), uint32(size)
		if r.Kind == held {
			e.seq, e.asof = uint64(r.At), uint32(min(uint64(r.Latency)-uint64(r.At), math.MaxUint32))
		}
		e.tries, e.doubt, e.in = uint8(min(r.Attempts, 255)), r.UnknownOutcomeAt, int16(r.UnknownOutcomeZone)
		if r.InFlightSince != 0 || r.Notice != "" || r.Corrupted {
			x := s.idx.more(i)
			x.out, x.outIn, x.outBy, x.outTo, x.notice, x.retryMS = r.InFlightSince, r.InFlightZone, r.InFlightProcess, r.InFlightEndpoint, r.Notice, r.RetryMS
			if r.Corrupted {
				x.lost, e.src = string(id), 0
			}
		}
		s.owed += s.room(i)
		return
	case r.Kind == KindCompleted:
		if known {
			s.owed -= s.room(i)
			s.idx.remove(i)
		}
		return
	case !known && side: // over here already
		return
	case !known: // damage took its first record
		i = s.lose(k, id, seq-1)
	}
	if r.Kind == KindAttempt {
		s.last = max(s.last, r.At)
	}
	s.owed -= s.room(i)
	s.fold(i, r)
	e := s.idx.at(i)
	e.asof = uint32(min(seq-e.seq, math.MaxUint32))
	s.owed += s.room(i)
}

// lose books a message of which only the id is left.
func (s *state) lose(k key, id []byte, seq uint64) uint32 {
	i, e := s.idx.add(k)
	e.seq = seq
	s.idx.more(i).lost = string(id)
	s.owed += s.room(i)
	return i
}

func (s *state) fold(i uint32, r *Record) {
	e := s.idx.at(i)
	switch r.Kind {
	case KindAttempt:
		e.tries = uint8(min(int(e.tries)+1, 255))
		x := s.idx.more(i)
		x.out, x.outIn, x.outBy, x.outTo = r.At, r.Zone, r.Process, r.Endpoint
	case KindOutcome:
		if x := s.idx.extras[i]; x != nil {
			if r.MayHaveRun && e.doubt == 0 {
				e.doubt, e.in = x.out, int16(x.outIn)
			}
			if r.LocalFailure && x.out != 0 && e.tries > 0 {
				e.tries--
			}
			x.out, x.outIn, x.outBy, x.outTo = 0, 0, 0, ""
			s.idx.lessen(i)
		}
	case KindCompleting:
		x := s.idx.more(i)
		x.notice, x.retryMS = r.Notice, r.RetryMS
	}
}

// settle reads attempts of processes that are gone as ones that may have run:
// nobody saw their outcome.
func (s *state) settle(gone func(by int) bool, seq uint64) {
	for i, x := range s.idx.extras {
		e := s.idx.at(i)
		if x.out != 0 && gone(x.outBy) && seq > e.seq+uint64(e.asof) {
			s.owed -= s.room(i)
			s.fold(i, &Record{Kind: KindOutcome, MayHaveRun: true})
			s.owed += s.room(i)
		}
	}
}

// concern holds a message to have been sent, since damage may have taken the
// record of an attempt.
func (s *state) concern(i uint32) {
	e := s.idx.at(i)
	e.tries = uint8(min(int(e.tries)+1, 255)) // at most one is out at a time, and a stretch is mostly one record
	if e.doubt == 0 {
		e.doubt = 1
		if x := s.idx.extras[i]; x != nil && x.out != 0 {
			e.doubt, e.in = x.out, int16(x.outIn)
		}
	}
}

// concernAll does so for all that were taken on before a record.
func (s *state) concernAll(before uint64) (n int) {
	for i := range s.idx.used {
		if e := s.idx.at(i); e.flags&entryLive != 0 && e.seq < before {
			s.concern(i)
			n++
		}
	}
	return n
}

// badRecord books a record of which only the head is certain.
func (s *state) badRecord(r *raw, d *Corruption, side bool) {
	k := s.idx.key(r.id)
	d.Reason, d.IDs = fmt.Sprintf("damaged record: %s", r.kind), []string{string(r.id)}
	i, known := s.idx.find(k)
	switch r.kind {
	case KindAccepted, held:
		if !known {
			s.lose(k, r.id, r.seq)
		}
	case KindCompleted:
		if known {
			s.owed -= s.room(i)
			s.idx.remove(i)
		}
	case KindAttempt, KindOutcome, KindCompleting:
		if !known {
			if side {
				return
			}
			i = s.lose(k, r.id, r.seq-1)
		}
		s.concern(i)
		d.Affected = 1
		if r.kind == KindCompleting { // it was over, by which word nobody knows: it is not sent again
			s.owed -= s.room(i)
			s.idx.more(i).notice = lostNotice
			s.owed += s.room(i)
		}
	case KindOwner:
		s.settle(func(int) bool { return true }, r.seq)
	}
}

// lostNotice stands for the word of an ending that damage took.
const lostNotice = "lost"

// tail is what stands at a file's end after its last record.
type tail struct {
	at, bytes int64
	st        status
	rec       raw
	zero      bool
	unsynced  bool // power went before it was booked
	names     []string
}

// replay books the records of a file. seq counts them; each may raise it.
func (s *state) replay(src *source, seq *uint64, side bool, from int64) (FileReport, tail) {
	file := FileReport{Name: src.name, Kind: src.kind.String(), Bytes: src.size, First: src.first}
	scan := scanner{f: src.f, size: src.size, salt: src.salt}
	var spoilt Corruption // the stretch before the record at off
	off := from
	if src.sound == 0 {
		off = scan.resync(0, *seq+1)
		spoilt = Corruption{File: src.name, Bytes: off, Reason: "header unreadable"}
	}
	if src.size < headerSize { // it was made, and never begun
		return file, tail{bytes: src.size, st: unsound, zero: true}
	}
	if src.sound == 1 {
		src.damaged = true
		s.report.Corruptions = append(s.report.Corruptions, Corruption{File: src.name, Bytes: headerSize, Reason: "one copy of the header unreadable"})
	}
	var r Record
	for off < src.size {
		rec, st := scan.record(off)
		if src.power && (st != sound || rec.seq > *seq+1) && !s.proven(&scan, off, *seq+1) {
			return file, tail{at: off, bytes: src.size - off, st: unsound, unsynced: true, names: scan.names(off, src.size)}
		}
		if st == unsound || st == torn {
			end := scan.resync(off+1, *seq+1)
			names := scan.names(off, end)
			if end == src.size {
				t := tail{at: off, bytes: end - off, st: st, zero: scan.zeros(off, end), names: names}
				if st == torn {
					t.rec, _ = scan.record(off)
					t.rec.id = append([]byte(nil), t.rec.id...)
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
			src.damaged = true
			s.holes = append(s.holes, hole{Corruption: spoilt, from: *seq + 1, to: rec.seq - 1})
		} else if src.sound == 0 && spoilt.Bytes > 0 && spoilt.Offset == 0 {
			src.damaged = true
			s.report.Corruptions = append(s.report.Corruptions, spoilt)
		} else if spoilt.Bytes > 0 { // a write that failed, and was made again
			s.report.Torn = append(s.report.Torn, spoilt)
		}
		spoilt = Corruption{}
		*seq = rec.seq
		if st == badRest {
			d := Corruption{File: src.name, Offset: off, Bytes: rec.size}
			src.damaged = true
			s.badRecord(&rec, &d, side)
			s.report.Corruptions = append(s.report.Corruptions, d)
		} else {
			r = Record{Kind: rec.kind}
			if _, ok := decodeRest(&r, rec.rest); !ok {
				d := Corruption{File: src.name, Offset: off, Bytes: rec.size}
				s.badRecord(&rec, &d, side)
				s.report.Corruptions = append(s.report.Corruptions, d)
			} else {
				s.book(s.idx.key(rec.id), rec.id, rec.seq, &r, src, off, rec.size, side)
			}
		}
		file.Records++
		off += rec.size
	}
	if spoilt.Bytes > 0 {
		return file, tail{at: spoilt.Offset, bytes: spoilt.Bytes, st: unsound, names: spoilt.IDs, zero: scan.zeros(spoilt.Offset, spoilt.Offset+spoilt.Bytes)}
	}
	return file, tail{}
}

// proven reports whether a record of a file that was synced batch by batch had
// been booked: a later one says so, or the mark. What was not may be there in
// part, and is not damage: the log ends before it.
func (s *state) proven(scan *scanner, off int64, seq uint64) bool {
	if s.ahead != 0 { // who began the next file had judged already
		return s.ahead > seq
	}
	if s.marked >= seq {
		return true
	}
	var r Record
	for off < scan.size {
		rec, st := scan.record(off)
		if st == unsound || st == torn {
			off = scan.resync(off+1, seq)
			continue
		}
		if r = (Record{Kind: rec.kind}); st == sound && rec.kind == batch {
			if _, ok := decodeRest(&r, rec.rest); ok && uint64(r.At) >= seq {
				return true
			}
		}
		off += rec.size
	}
	return false
}

// checkpoint books a checkpoint. whole is false where it is not all there.
func (s *state) checkpoint(src *source) (whole bool) {
	n := uint64(0)
	before := len(s.report.Corruptions)
	file, t := s.replay(src, &n, false, headerSize)
	s.report.Files = append(s.report.Files, file)
	whole = len(s.report.Corruptions) == before && len(s.holes) == 0 && t.bytes == 0 && file.Records > 0
	for _, h := range s.holes { // of a checkpoint: messages that are gone, and concern no other
		h.Reason = fmt.Sprintf("%d records of the checkpoint unreadable", h.to-h.from+1)
		s.report.Corruptions = append(s.report.Corruptions, h.Corruption)
	}
	s.holes = nil
	if t.bytes > 0 || file.Records == 0 {
		s.report.Corruptions = append(s.report.Corruptions, Corruption{File: src.name, Offset: t.at, Bytes: t.bytes, Reason: "the checkpoint's end is missing", IDs: t.names})
	}
	if !whole {
		src.damaged = true
	}
	s.seq = src.first - 1
	return whole
}

// finish judges what the files left open, once all of them are booked. mark is
// the last record's number as it was kept beside the log; 0 where that is unknown.
func (s *state) finish(last *source, t tail, mark uint64) {
	lost := func(d Corruption, before uint64) {
		d.Affected = s.concernAll(before)
		s.report.Corruptions = append(s.report.Corruptions, d)
	}
	for _, h := range s.holes {
		lost(h.Corruption, h.to+1)
	}
	s.holes = nil
	d := Corruption{Offset: t.at, Bytes: t.bytes, IDs: t.names, Reason: "unreadable end"}
	if last != nil {
		d.File = last.name
	}
	if t.unsynced {
		d.Reason = "written, but not synced when power went"
	}
	certain := t.bytes > 0 && t.st == torn
	if certain {
		d.IDs = []string{string(t.rec.id)}
	}
	missing := uint64(0)
	if mark > s.seq {
		missing = mark - s.seq
	}
	switch {
	case missing == 1 && certain, mark == 0 && certain:
		s.badRecord(&t.rec, &d, false)
		s.report.Corruptions = append(s.report.Corruptions, d)
		s.seq = max(s.seq, t.rec.seq)
	case missing > 0:
		if last != nil {
			last.damaged = true
		}
		d.Reason = fmt.Sprintf("the last %d records missing", missing)
		lost(d, mark+1)
		s.seq = mark
	case mark == 0 && t.bytes > 0 && !t.zero && !t.unsynced:
		lost(d, s.seq+1)
	case t.bytes > 0:
		s.report.Torn = append(s.report.Torn, d)
	}
	if mark == 0 && last != nil && last.sound == 0 && last.num == s.began { // its header was there before the seal
		last.damaged = true
		lost(Corruption{File: last.name, Bytes: last.size, Reason: "segment emptied"}, s.seq+1)
	}
	if mark == 0 && s.sealed != 0 && (last == nil || last.num < s.sealed) {
		lost(Corruption{File: segmentName(s.sealed), Reason: "segment missing"}, s.seq+1)
		s.nextNum = s.sealed + 1 // that it is missing shows later, too
	}
}

// summarize fills in the report, once all is booked.
func (s *state) summarize() {
	s.report.Pending, s.report.Seq, s.report.Process = s.idx.live, s.seq, s.by
	for _, x := range s.idx.extras {
		if x.lost != "" {
			s.report.LostIDs = append(s.report.LostIDs, x.lost)
		}
	}
	slices.Sort(s.report.LostIDs)
	for _, f := range s.report.Files {
		s.report.Records += f.Records
		s.report.Bytes += blocks(f.Bytes)
	}
}

func blocks(n int64) int64 { return (n + 511) / 512 * 512 }

var errMoved = errors.New("log: its record is not where it was")

// reader reads messages where their records stand, through one window.
type reader struct {
	scan scanner
	ref  uint32
}

func (x *reader) of(src *source) *scanner {
	if x.ref != src.ref || x.scan.f != src.f {
		x.ref, x.scan = src.ref, scanner{f: src.f, salt: src.salt, most: x.scan.most, buf: x.scan.buf[:0]}
	}
	return &x.scan
}

// load reads an entry's message. raw is what a checkpoint carries of it, and is
// good until the reader's next call.
func (s *state) load(i uint32, from *reader, r *Record) (body []byte, err error) {
	e := s.idx.at(i)
	*r = Record{Kind: KindAccepted, Attempts: int(e.tries), UnknownOutcomeAt: e.doubt, UnknownOutcomeZone: int(e.in)}
	if x := s.idx.extras[i]; e.flags&entryExtra != 0 {
		r.InFlightSince, r.InFlightZone, r.InFlightProcess, r.InFlightEndpoint, r.Notice, r.RetryMS = x.out, x.outIn, x.outBy, x.outTo, x.notice, x.retryMS
		if x.lost != "" {
			r.ID, r.Corrupted = x.lost, true
			return nil, nil
		}
	}
	src := s.sources[e.src]
	if src == nil {
		return nil, errMoved
	}
	scan := from.of(src)
	scan.size = max(src.size, int64(e.off)+int64(e.size))
	if src.old {
		o, n := decodeOld(scan.window(int64(e.off), int(e.size)))
		if n == 0 {
			return nil, fmt.Errorf("log: %s at %d: unreadable now", src.name, e.off)
		}
		r.ID = o.ID
		return appendMessage(nil, o), nil
	}
	rec, st := scan.record(int64(e.off))
	if st != sound {
		if st == badRest {
			r.ID = string(rec.id)
		}
		return nil, fmt.Errorf("log: %s at %d: unreadable now", src.name, e.off)
	}
	r.ID = string(rec.id)
	var at Record
	at.Kind = rec.kind
	body, ok := decodeRest(&at, rec.rest)
	if !ok {
		return nil, errMoved
	}
	return body, nil
}

// message reads an entry whole, as the relay wants it. One that cannot be read
// any more is lost.
func (s *state) message(i uint32, from *reader) (*Record, error) {
	r := &Record{}
	raw, err := s.load(i, from, r)
	if err == nil && !r.Corrupted && !decodeMessage(r, raw) {
		err = errMoved
	}
	if r.Notice == lostNotice {
		r.Corrupted, r.Notice = true, ""
	}
	return r, err
}

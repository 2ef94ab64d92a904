package wal

import "fmt"

// replayer rebuilds a log's state from its files.
type replayer struct {
	*state
	stampedSeq   uint64   // sequence number of the last record according to the stamp; 0 if unknown
	nextFileSeq  uint64   // sequence number of the first record in the next file; 0 if unknown
	previousSeal uint32   // segment named by the seal that precedes the last segment, if the last segment has no record; else 0
	lastSegment  *logFile // the last segment; nil if there is none
	tail         fileTail // the bytes after the last record of the last segment
	gaps         []gap
}

// gap is a range of sequence numbers whose records are missing.
type gap struct {
	Corruption
	firstSeq, lastSeq uint64 // first and last sequence number
}

func newReplayer(owner ownerID, stampedSeq uint64) *replayer {
	r := &replayer{state: newState(), stampedSeq: stampedSeq}
	r.owner, r.checksumSeed = owner, owner.checksumSeed()
	return r
}

// fileTail describes the bytes of a file after its last record.
type fileTail struct {
	offset, bytes int64
	status        recordStatus
	record        rawRecord // set if status is recordTorn
	zeros         bool      // all bytes are zero
	unsynced      bool      // lost with the power before the write was reported as done
	ids           []string
}

// fileReplay applies the records of one file.
type fileReplay struct {
	*replayer
	file    *logFile
	scan    scanner
	seq     *uint64 // sequence number of the last record applied
	summary FileReport
	skipped Corruption // unreadable range before the next record
}

// replayFile applies the records of a file. On entry *seq is the sequence number of the
// last record before the file, on return that of the file's last record.
func (r *replayer) replayFile(f *logFile, seq *uint64) (FileReport, fileTail) {
	p := fileReplay{
		replayer: r,
		file:     f,
		scan:     scanner{file: f.file, size: f.size, checksumSeed: f.checksumSeed},
		seq:      seq,
		summary:  FileReport{Name: f.name, Kind: f.kind.String(), Bytes: f.size, First: f.firstSeq},
	}
	if f.size < headerSize { // the file was created, but its header was not written completely
		return p.summary, fileTail{bytes: f.size, status: recordUnreadable, zeros: true}
	}
	tail := p.applyRecords(p.checkHeader())
	return p.summary, tail
}

// checkHeader reports a corrupted header and returns the offset of the first record.
func (p *fileReplay) checkHeader() int64 {
	switch p.file.validHeaders {
	case 0:
		first := p.scan.resync(0, *p.seq+1)
		p.skipped = Corruption{File: p.file.name, Bytes: first, Reason: "header unreadable"}
		return first
	case 1:
		p.file.corrupted = true
		p.recovery.addCorruption(Corruption{File: p.file.name, Bytes: headerSize, Reason: "one copy of the header unreadable"})
	}
	return headerSize
}

// applyRecords applies the records from offset off on, and describes the bytes after the last one.
func (p *fileReplay) applyRecords(off int64) fileTail {
	for off < p.file.size {
		rec, status := p.scan.record(off)
		inOrder := status == recordValid && rec.seq <= *p.seq+1
		if p.file.durable && !inOrder && !p.wasSynced(&p.scan, off, *p.seq+1) {
			return p.unsyncedTail(off)
		}
		if status == recordUnreadable || status == recordTorn {
			end := p.scan.resync(off+1, *p.seq+1)
			ids := p.scan.readableIDs(off, end)
			if end == p.file.size {
				return p.tailAt(off, status, ids)
			}
			p.skipped = Corruption{File: p.file.name, Offset: off, Bytes: end - off, Reason: reasonUnreadable, IDs: ids}
			off = end
			continue
		}
		if rec.seq > *p.seq { // otherwise it is a second copy or in the wrong place
			p.addSkipped(&rec, off)
			*p.seq = rec.seq
			p.applyRecord(&rec, status, off)
		}
		off += rec.size
	}
	return p.skippedTail()
}

// unsyncedTail describes a tail from off on that was not yet synced when power was lost.
func (p *fileReplay) unsyncedTail(off int64) fileTail {
	return fileTail{
		offset:   off,
		bytes:    p.file.size - off,
		status:   recordUnreadable,
		unsynced: true,
		ids:      p.scan.readableIDs(off, p.file.size),
	}
}

// skippedTail describes the unreadable range at the end of the file, if no record follows it.
func (p *fileReplay) skippedTail() fileTail {
	if p.skipped.Bytes == 0 {
		return fileTail{}
	}
	return fileTail{
		offset: p.skipped.Offset,
		bytes:  p.skipped.Bytes,
		status: recordUnreadable,
		zeros:  p.scan.allZeros(p.skipped.Offset, p.skipped.Offset+p.skipped.Bytes),
		ids:    p.skipped.IDs,
	}
}

// tailAt describes the tail that begins at off.
func (p *fileReplay) tailAt(off int64, status recordStatus, ids []string) fileTail {
	tail := fileTail{offset: off, bytes: p.file.size - off, status: status, zeros: p.scan.allZeros(off, p.file.size), ids: ids}
	if status == recordTorn {
		tail.record, _ = p.scan.record(off)
		tail.record.id = append([]byte(nil), tail.record.id...) // copies the id, since the scanner reuses its buffer
	}
	return tail
}

// addSkipped reports what is missing before a record, judged by its sequence number.
func (p *fileReplay) addSkipped(rec *rawRecord, off int64) {
	missing := rec.seq - *p.seq - 1
	switch {
	case missing > 0:
		c := p.skipped
		if c.Bytes == 0 {
			c = Corruption{File: p.file.name, Offset: off, Reason: fmt.Sprintf("%d records missing", missing)}
		}
		p.file.corrupted = true
		p.gaps = append(p.gaps, gap{Corruption: c, firstSeq: *p.seq + 1, lastSeq: rec.seq - 1})
	case p.file.validHeaders == 0 && p.skipped.Bytes > 0 && p.skipped.Offset == 0:
		p.file.corrupted = true
		p.recovery.addCorruption(p.skipped)
	case p.skipped.Bytes > 0: // a failed write whose records were written again
		p.recovery.addTorn(p.skipped)
	}
	p.skipped = Corruption{}
}

func (p *fileReplay) applyRecord(rec *rawRecord, status recordStatus, off int64) {
	p.summary.Records++
	r := Record{Kind: rec.kind}
	decoded := false
	if status == recordValid {
		_, decoded = decodePayload(&r, rec.payload)
	} else {
		p.file.corrupted = true
	}
	if decoded {
		p.apply(p.index.keyOfBytes(rec.id), rec.id, rec.seq, &r, recordPlace{p.file, off, rec.size})
		return
	}
	c := Corruption{File: p.file.name, Offset: off, Bytes: rec.size}
	p.applyCorrupted(rec, &c)
	p.recovery.addCorruption(c)
}

// wasSynced reports whether the record with the sequence number seq was reported as
// written, in a file that is synced after each batch. It was if the next file, the stamp
// or a later record shows so. Otherwise the log ends before this record: any records from
// here on were not synced when power was lost, so their absence is not corruption.
func (r *replayer) wasSynced(scan *scanner, off int64, seq uint64) bool {
	if r.nextFileSeq != 0 { // the header of the next file decides, since this file was synced before it
		return r.nextFileSeq > seq
	}
	if r.stampedSeq >= seq {
		return true
	}
	for off < scan.size {
		rec, status := scan.record(off)
		if status == recordUnreadable || status == recordTorn {
			off = scan.resync(off+1, seq)
			continue
		}
		start := Record{Kind: rec.kind}
		if status == recordValid && rec.kind == kindBatchStart {
			if _, ok := decodePayload(&start, rec.payload); ok && uint64(start.At) >= seq {
				return true
			}
		}
		off += rec.size
	}
	return false
}

// replayCheckpoint applies a checkpoint. complete is false if part of it cannot be read.
func (r *replayer) replayCheckpoint(f *logFile) (complete bool) {
	records := uint64(0) // the records of a checkpoint have their own numbers
	before := len(r.recovery.Corruptions)
	summary, tail := r.replayFile(f, &records)
	r.recovery.Files = append(r.recovery.Files, summary)
	complete = len(r.recovery.Corruptions) == before && len(r.gaps) == 0 && tail.bytes == 0 && summary.Records > 0
	for _, g := range r.gaps { // these messages are lost; no other message is affected
		g.Reason = fmt.Sprintf("%d records of the checkpoint unreadable", g.lastSeq-g.firstSeq+1)
		r.recovery.addCorruption(g.Corruption)
	}
	r.gaps = nil
	if tail.bytes > 0 || summary.Records == 0 {
		c := Corruption{File: f.name, Offset: tail.offset, Bytes: tail.bytes, IDs: tail.ids, Reason: "the checkpoint's end is missing"}
		r.recovery.addCorruption(c)
	}
	if !complete {
		f.corrupted = true
	}
	r.seq = f.firstSeq - 1
	return complete
}

// replaySegment applies a segment. later holds the segments after it.
func (r *replayer) replaySegment(f *logFile, later []*logFile) {
	r.nextFileSeq = firstSeqAfter(f, later)
	if r.lastSegment != nil && r.lastSegment.number == f.number {
		r.recovery.addTorn(Corruption{File: f.name, Bytes: f.size, Reason: "a second copy of a segment"})
		return
	}
	r.addTail(f)
	r.addMissingBefore(f)
	r.previousSeal, r.sealedNext = r.sealedNext, 0
	r.addFile(f)
	r.segments = append(r.segments, f)
	var summary FileReport
	summary, r.tail = r.replayFile(f, &r.seq)
	r.recovery.Files = append(r.recovery.Files, summary)
	r.lastSegment = f
	if summary.Records > 0 {
		r.previousSeal = 0
	}
}

// firstSeqAfter returns the sequence number of the first record after a segment, or 0 if
// no later segment has a valid header.
func firstSeqAfter(f *logFile, later []*logFile) uint64 {
	for _, next := range later {
		if next.validHeaders > 0 && next.number != f.number {
			return next.firstSeq
		}
	}
	return 0
}

// addTail reports the bytes after the last record of the segment before next.
func (r *replayer) addTail(next *logFile) {
	if r.tail.bytes == 0 {
		return
	}
	c := Corruption{File: r.lastSegment.name, Offset: r.tail.offset, Bytes: r.tail.bytes}
	isMissingRecord := r.tail.status == recordTorn && next.validHeaders > 0 && r.tail.record.seq == r.seq+1 && next.firstSeq == r.seq+2
	if isMissingRecord { // the torn record is the only one between the two segments
		r.applyCorrupted(&r.tail.record, &c)
		r.recovery.addCorruption(c)
		r.seq++
		return
	}
	// Either the torn records were written again to the next segment, or the check of that
	// segment's sequence numbers reports them as missing.
	c.Reason, c.IDs = reasonTornEnd, r.tail.ids
	r.recovery.addTorn(c)
}

// addMissingBefore reports records and segments that are missing before a segment.
func (r *replayer) addMissingBefore(f *logFile) {
	switch {
	case f.validHeaders > 0 && f.firstSeq > r.seq+1:
		f.corrupted = true
		c := Corruption{File: f.name, Reason: fmt.Sprintf("%d records missing before it", f.firstSeq-r.seq-1)}
		r.gaps = append(r.gaps, gap{Corruption: c, firstSeq: r.seq + 1, lastSeq: f.firstSeq - 1})
		r.seq = f.firstSeq - 1
	case r.sealedNext != 0 && f.number > r.sealedNext: // the number of records in the missing segment is unknown
		c := Corruption{File: segmentName(r.sealedNext), Reason: reasonSegmentMissing}
		r.gaps = append(r.gaps, gap{Corruption: c, firstSeq: r.seq + 1, lastSeq: r.seq})
	}
}

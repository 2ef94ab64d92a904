package wal

import "fmt"

// assessEnd settles what could not be decided before all records were applied: which
// messages the gaps affect, whether the log's end is torn or corrupted, and whether the
// last segment is missing.
func (r *replayer) assessEnd() {
	for _, g := range r.gaps {
		r.addLoss(g.Corruption, g.lastSeq+1)
	}
	r.gaps = nil
	r.assessTail()
	if r.stampedSeq == 0 { // otherwise the stamp has already shown any missing record
		r.assessLastSegment()
	}
}

// addLoss reports corruption that may have affected any message that was accepted before
// the record with the sequence number before.
func (r *replayer) addLoss(c Corruption, before uint64) {
	c.Affected = r.assumeAllSent(before)
	r.recovery.addCorruption(c)
}

func (r *replayer) assessTail() {
	c := r.tailCorruption()
	isTornRecord := r.tail.bytes > 0 && r.tail.status == recordTorn // the head of the record is valid
	if isTornRecord {
		c.IDs = []string{string(r.tail.record.id)}
	}
	lastSeqUnknown := r.stampedSeq == 0 // it is not known which record was the last
	missing := uint64(0)
	if r.stampedSeq > r.seq {
		missing = r.stampedSeq - r.seq
	}
	switch {
	case isTornRecord && (missing == 1 || lastSeqUnknown):
		r.applyCorrupted(&r.tail.record, &c)
		r.recovery.addCorruption(c)
		r.seq = max(r.seq, r.tail.record.seq)
	case missing > 0:
		if r.lastSegment != nil {
			r.lastSegment.corrupted = true
		}
		c.Reason = fmt.Sprintf("the last %d records missing", missing)
		r.addLoss(c, r.stampedSeq+1)
		r.seq = r.stampedSeq
	case lastSeqUnknown && r.tail.bytes > 0 && !r.tail.zeros && !r.tail.unsynced:
		r.addLoss(c, r.seq+1)
	case r.tail.bytes > 0:
		r.recovery.addTorn(c)
	}
}

// tailCorruption describes the bytes after the last valid record.
func (r *replayer) tailCorruption() Corruption {
	c := Corruption{Offset: r.tail.offset, Bytes: r.tail.bytes, IDs: r.tail.ids, Reason: "unreadable end"}
	if r.lastSegment != nil {
		c.File = r.lastSegment.name
	}
	if r.tail.unsynced {
		c.Reason = "written, but not synced when power went"
	}
	return c
}

// assessLastSegment uses the seals to detect that the last segment was emptied or is missing.
func (r *replayer) assessLastSegment() {
	if r.lastSegment != nil && r.lastSegment.validHeaders == 0 && r.lastSegment.number == r.previousSeal {
		// The seal is written after the header of the segment that it names, so the
		// header once was valid.
		r.lastSegment.corrupted = true
		r.addLoss(Corruption{File: r.lastSegment.name, Bytes: r.lastSegment.size, Reason: "segment emptied"}, r.seq+1)
	}
	if r.sealedNext != 0 && (r.lastSegment == nil || r.lastSegment.number < r.sealedNext) {
		r.addLoss(Corruption{File: segmentName(r.sealedNext), Reason: reasonSegmentMissing}, r.seq+1)
		r.nextSegment = r.sealedNext + 1 // a later start still detects the missing segment by its number
	}
}

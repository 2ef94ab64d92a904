package wal

import "fmt"

// assessEnd settles what could not be decided before all records were applied: which
// messages the gaps affect, whether the log's end is torn or corrupted, and whether the
// last segment is missing.
func (r *replayer) assessEnd() {
	for _, g := range r.gaps {
		r.addLoss(g.Corruption, g.to+1)
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
	c.Affected = r.suspectAll(before)
	r.recovery.addCorruption(c)
}

func (r *replayer) assessTail() {
	c := r.tailCorruption()
	isRecord := r.end.bytes > 0 && r.end.status == recordTorn // the head of the record is valid
	if isRecord {
		c.IDs = []string{string(r.end.record.id)}
	}
	unknown := r.stampedSeq == 0 // it is not known which record was the last
	missing := uint64(0)
	if r.stampedSeq > r.seq {
		missing = r.stampedSeq - r.seq
	}
	switch {
	case isRecord && (missing == 1 || unknown):
		r.applyCorrupted(&r.end.record, &c)
		r.recovery.addCorruption(c)
		r.seq = max(r.seq, r.end.record.seq)
	case missing > 0:
		if r.last != nil {
			r.last.corrupted = true
		}
		c.Reason = fmt.Sprintf("the last %d records missing", missing)
		r.addLoss(c, r.stampedSeq+1)
		r.seq = r.stampedSeq
	case unknown && r.end.bytes > 0 && !r.end.zeros && !r.end.unsynced:
		r.addLoss(c, r.seq+1)
	case r.end.bytes > 0:
		r.recovery.addTorn(c)
	}
}

// tailCorruption describes the bytes after the last valid record.
func (r *replayer) tailCorruption() Corruption {
	c := Corruption{Offset: r.end.offset, Bytes: r.end.bytes, IDs: r.end.ids, Reason: "unreadable end"}
	if r.last != nil {
		c.File = r.last.name
	}
	if r.end.unsynced {
		c.Reason = "written, but not synced when power went"
	}
	return c
}

// assessLastSegment uses the seals to detect that the last segment was emptied or is missing.
func (r *replayer) assessLastSegment() {
	if r.last != nil && r.last.validHeaders == 0 && r.last.number == r.previousSeal {
		// The seal is written after the header of the segment that it names, so the
		// header once was valid.
		r.last.corrupted = true
		r.addLoss(Corruption{File: r.last.name, Bytes: r.last.size, Reason: "segment emptied"}, r.seq+1)
	}
	if r.sealedNext != 0 && (r.last == nil || r.last.number < r.sealedNext) {
		r.addLoss(Corruption{File: segmentName(r.sealedNext), Reason: reasonSegmentMissing}, r.seq+1)
		r.nextSegment = r.sealedNext + 1 // a later start still detects the missing segment by its number
	}
}

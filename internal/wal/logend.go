package wal

import "fmt"

// assessEnd decides what the files left open, once all their records are applied: what
// the gaps affect, whether the end of the log is torn or corrupted, and whether the last
// segment is missing.
func (r *replayer) assessEnd() {
	for _, g := range r.gaps {
		r.addLoss(g.Corruption, g.to+1)
	}
	r.gaps = nil
	r.assessTail()
	if r.stampedSeq == 0 { // else the stamp has shown it already
		r.assessLastSegment()
	}
}

// addLoss reports corruption that may have concerned any message accepted before a record.
func (r *replayer) addLoss(c Corruption, before uint64) {
	c.Affected = r.suspectAll(before)
	r.recovery.addCorruption(c)
}

func (r *replayer) assessTail() {
	c := r.tailCorruption()
	isRecord := r.end.bytes > 0 && r.end.status == recordTorn // its head is certain
	if isRecord {
		c.IDs = []string{string(r.end.record.id)}
	}
	unknown := r.stampedSeq == 0 // which record was the last
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

// tailCorruption describes what stands after the last record.
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

// assessLastSegment notes, by the seals, that the last segment is empty or missing.
func (r *replayer) assessLastSegment() {
	if r.last != nil && r.last.validHeaders == 0 && r.last.number == r.previousSeal {
		// The seal was written after its header.
		r.last.corrupted = true
		r.addLoss(Corruption{File: r.last.name, Bytes: r.last.size, Reason: "segment emptied"}, r.seq+1)
	}
	if r.sealedNext != 0 && (r.last == nil || r.last.number < r.sealedNext) {
		r.addLoss(Corruption{File: segmentName(r.sealedNext), Reason: reasonSegmentMissing}, r.seq+1)
		r.nextSegment = r.sealedNext + 1 // so that a later start still sees that it is missing
	}
}

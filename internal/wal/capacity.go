package wal

// Parts of the folder's limit that are reserved, in bytes.
const (
	roundingReserve   = 16 << 10 // stays unused, since file sizes are rounded up
	completionReserve = 64 << 10 // for records of messages that are already accepted
)

// Limits on segments and checkpoints, in bytes.
const (
	minCompactionBytes   = 1 << 20 // a log longer than this may get a checkpoint
	maxSegmentBytes      = 16 << 20
	minSegmentBytes      = 64 << 10
	segmentsPerLimit     = 6         // a segment ends at the limit divided by this, within the two bounds above; this bounds the number of open files
	compactionsPerLimit  = 3         // so may a log longer than the limit divided by this, if that is less
	maxBatchBytes        = 256 << 10 // a batch of this size gets no further record
	checkpointSliceBytes = 128 << 10 // size of the part of a checkpoint that is written between two batches
)

// compactionFactor is how many times as long as its next checkpoint the log has to be
// before it is compacted.
const compactionFactor = 4

// recordOverhead is the maximum size of a record's numbers and lengths in bytes.
const recordOverhead = 64

// maxRecordSize returns an upper bound of a record's size in bytes.
func maxRecordSize(r *Record) int64 {
	texts := len(r.ID) + len(r.Class) + len(r.Tenant) + len(r.Key) + len(r.Endpoint) + len(r.Notice) + len(r.Body)
	return int64(recordHeadSize+texts) + recordOverhead
}

// maxCheckpointBytes returns an upper bound of the bytes that a record adds to the next checkpoint.
func maxCheckpointBytes(r *Record) int64 {
	if r.Kind == KindAccepted {
		return maxRecordSize(r) + stateReserveBytes
	}
	return 0
}

// hasSpace reports whether there is space for a record and for the next checkpoint.
// batchBytes is the size of the records before it in the same batch, checkpointBytes what
// those add to the checkpoint.
func (s *store) hasSpace(r *Record, batchBytes, checkpointBytes int64) bool {
	if s.spaceReserved {
		return true
	}
	free := s.limit - roundingReserve
	if r.Kind == KindAccepted {
		free -= completionReserve
	}
	return s.usage.bytes+batchBytes+maxRecordSize(r)+s.checkpointBytes+checkpointBytes+maxCheckpointBytes(r) <= free
}

// exceedsLimit reports whether a new message would not fit even after a checkpoint. In
// that case no checkpoint is made for it.
func (s *store) exceedsLimit(r *Record, checkpointBytes int64) bool {
	if r.Kind != KindAccepted || s.spaceReserved {
		return false
	}
	// The factor is 2, since the new checkpoint is written while the previous one still exists.
	needed := 2 * (s.checkpointBytes + checkpointBytes + maxCheckpointBytes(r))
	return needed > s.limit-s.usage.quarantined-roundingReserve-completionReserve
}

// hasHandoffSpace reports whether the records of a handoff leave space for the next
// process's checkpoint and for the smallest handoff log.
func (s *store) hasHandoffSpace(recordBytes int64) bool {
	return s.usage.bytes+recordBytes+s.checkpointBytes+minHandoffBytes <= s.limit-roundingReserve
}

// needsCheckpoint reports whether a record fits only after a checkpoint.
func (s *store) needsCheckpoint(r *Record, batchBytes, checkpointBytes int64) bool {
	return !s.exceedsLimit(r, checkpointBytes) && !s.hasSpace(r, batchBytes, checkpointBytes)
}

// logBytes returns the total size of the segments.
func (s *store) logBytes() (n int64) {
	for _, f := range s.segments {
		n += f.size
	}
	return n
}

// compactionThreshold returns the log size in bytes above which a checkpoint may be made.
func (s *store) compactionThreshold() int64 {
	return min(minCompactionBytes, s.limit/compactionsPerLimit)
}

// segmentLimit returns the size in bytes above which the next segment begins.
func (s *store) segmentLimit() int64 {
	return max(minSegmentBytes, min(maxSegmentBytes, s.limit/segmentsPerLimit))
}

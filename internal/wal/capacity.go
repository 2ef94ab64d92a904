package wal

// Parts of the folder's limit, in bytes.
const (
	roundingReserve   = 16 << 10 // never used: file sizes are rounded up
	completionReserve = 64 << 10 // for records of messages that were accepted already
)

// Bounds of segments and checkpoints, in bytes.
const (
	minCompactionBytes   = 1 << 20 // a shorter log is not worth a checkpoint
	maxSegmentBytes      = 16 << 20
	minSegmentBytes      = 64 << 10
	segmentsPerLimit     = 6         // a segment takes up at most this part of the limit, which bounds the open files
	compactionsPerLimit  = 3         // a log of this part of the limit is worth a checkpoint
	maxBatchBytes        = 256 << 10 // written by one call
	checkpointSliceBytes = 128 << 10 // of a checkpoint, written between two batches
)

// A log is compacted once it is this many times as long as its next checkpoint.
const compactionFactor = 4

// recordOverhead is what a record's numbers and lengths take up at most.
const recordOverhead = 64

// maxRecordSize is what a record takes up at most.
func maxRecordSize(r *Record) int64 {
	texts := len(r.ID) + len(r.Class) + len(r.Tenant) + len(r.Key) + len(r.Endpoint) + len(r.Notice) + len(r.Body)
	return int64(recordHeadSize+texts) + recordOverhead
}

// maxCheckpointBytes is what a record adds to the next checkpoint at most.
func maxCheckpointBytes(r *Record) int64 {
	if r.Kind == KindAccepted {
		return maxRecordSize(r) + stateReserveBytes
	}
	return 0
}

// hasSpace reports whether there is space for a record and for a checkpoint, after other
// bytes of the same batch and what that adds to the checkpoint.
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

// exceedsLimit reports whether a new message would not fit after a checkpoint either, so
// that none is tried for it.
func (s *store) exceedsLimit(r *Record, checkpointBytes int64) bool {
	if r.Kind != KindAccepted || s.spaceReserved {
		return false
	}
	// The checkpoint is written beside the one before.
	needed := 2 * (s.checkpointBytes + checkpointBytes + maxCheckpointBytes(r))
	return needed > s.limit-s.usage.quarantined-roundingReserve-completionReserve
}

// needsCheckpoint reports whether a record fits only after a checkpoint.
func (s *store) needsCheckpoint(r *Record, batchBytes, checkpointBytes int64) bool {
	return !s.exceedsLimit(r, checkpointBytes) && !s.hasSpace(r, batchBytes, checkpointBytes)
}

// logBytes is what the segments take up.
func (s *store) logBytes() (n int64) {
	for _, f := range s.segments {
		n += f.size
	}
	return n
}

// compactionThreshold is how long a log has to be for a checkpoint, in bytes.
func (s *store) compactionThreshold() int64 {
	return min(minCompactionBytes, s.limit/compactionsPerLimit)
}

// segmentLimit is how long a segment becomes before the next one begins, in bytes.
func (s *store) segmentLimit() int64 {
	return max(minSegmentBytes, min(maxSegmentBytes, s.limit/segmentsPerLimit))
}

package wal

// batch is a group of records that are written by one call.
type batch struct {
	buffer          []byte
	entries         []batchEntry
	pending         map[string]bool // whether a message is pending after the batch's records, by its id
	checkpointBytes int64           // upper bound of the bytes that the batch adds to the next checkpoint
	seq             uint64          // sequence number of the last record
	needsSync       bool            // some record must be synced before its write is reported as done
}

// batchEntry is a record in a batch's buffer.
type batchEntry struct {
	record *Record
	index  int // position among the records passed to appendBatch
	offset int
	size   int
	seq    uint64
}

func (b *batch) reset(seq uint64) {
	b.buffer, b.entries = b.buffer[:0], b.entries[:0]
	clear(b.pending)
	b.checkpointBytes, b.seq, b.needsSync = 0, seq, false
}

// mustSync reports whether a record has to be synced before its write is reported as done. If
// an outcome is lost with the power, its message only gets an unknown outcome. Whether an
// attempt may be lost is up to the relay, which sets Record.Sync.
func mustSync(r *Record) bool {
	switch r.Kind {
	case KindAttempt:
		return r.Sync
	case KindOutcome:
		return false
	}
	return true
}

// appendRecords writes records in order, in batches that are as large as possible. It only
// writes a record if it leaves enough space for a checkpoint. It returns an error or nil
// for each record; the slice is valid until the next call.
func (s *store) appendRecords(records []*Record) []error {
	s.results = append(s.results[:0], make([]error, len(records))...)
	for from := 0; from < len(records); {
		from += s.appendBatch(records[from:], s.results[from:])
	}
	return s.results
}

// appendBatch writes as many of the first records as fit in one batch, and returns their number.
func (s *store) appendBatch(records []*Record, results []error) (n int) {
	if s.handoff != nil {
		for i, r := range records {
			results[i] = s.handoff.append(r)
		}
		return len(records)
	}
	if err := s.prepareAppend(records[0]); err != nil {
		fillErrors(results, err)
		return len(records)
	}
	n = s.encodeBatch(records, results)
	if len(s.batch.entries) == 0 {
		return n
	}
	if err := s.segment.write(s.batch.buffer); err != nil {
		s.appendSingly(results, err)
		return n
	}
	s.applyBatch()
	if s.syncer.enabled && !s.batch.needsSync {
		return n
	}
	if err := s.syncer.syncFile(s.segment.file); err != nil {
		for _, e := range s.batch.entries {
			results[e.index] = err
		}
		return n
	}
	if s.syncer.enabled {
		s.syncedSeq = s.seq
	}
	s.storeStamp()
	return n
}

func fillErrors(results []error, err error) {
	for i := range results {
		results[i] = err
	}
}

// prepareAppend prepares the segment for a batch that begins with the record first.
func (s *store) prepareAppend(first *Record) error {
	if s.syncer.err == nil && (s.segment.file == nil || s.segment.file.size > s.segmentLimit()) {
		if err := s.startSegment(); err != nil {
			s.logger.Error("segment not started", "err", err)
			if s.segment.file == nil {
				return err
			}
		}
	}
	if s.syncer.err != nil {
		return s.syncer.err
	}
	if s.ownerRecord != nil {
		if err := s.writeOwnRecord(s.ownerRecord); err != nil {
			s.logger.Error("owner record not written", "err", err)
			return err
		}
		s.ownerRecord = nil
	}
	if s.needsCheckpoint(first, 0, 0) {
		if err := s.finishCheckpoint(); err != nil {
			s.logCheckpointFailure(err)
		}
	}
	return nil
}

// encodeBatch encodes as many of the first records as fit in one batch, and
// returns how many it handled.
func (s *store) encodeBatch(records []*Record, results []error) (n int) {
	b := &s.batch
	b.reset(s.seq)
	if s.syncer.enabled {
		b.seq++
		start := &Record{Kind: kindBatchStart, ID: NoMessage, At: int64(s.syncedSeq)}
		// The record is short, so that it cannot fail to be encoded.
		b.buffer, _ = appendRecord(b.buffer, start, b.seq, s.checksumSeed, nil)
	}
	for n < len(records) && (len(b.buffer) < maxBatchBytes || n == 0) {
		r := records[n]
		if n > 0 && s.needsCheckpoint(r, int64(len(b.buffer)), b.checkpointBytes) {
			break // the checkpoint is made after these records are written
		}
		err := s.addToBatch(r, n)
		if err == ErrFull && r.Kind.isPastEvent() { // no later record may be written before it
			fillErrors(results[n:len(records)], ErrFull)
			return len(records)
		}
		results[n] = err
		n++
	}
	return n
}

// addToBatch encodes a record into the batch.
func (s *store) addToBatch(r *Record, index int) error {
	b := &s.batch
	if err := s.admit(r); err != nil {
		return err
	}
	start := len(b.buffer)
	var err error
	if b.buffer, err = appendRecord(b.buffer, r, b.seq+1, s.checksumSeed, nil); err != nil {
		return err
	}
	b.seq++
	b.entries = append(b.entries, batchEntry{r, index, start, len(b.buffer) - start, b.seq})
	b.needsSync = b.needsSync || mustSync(r)
	return nil
}

// admit checks whether a record can be written after those already in the batch. It
// returns ErrNotPending or ErrFull if not.
func (s *store) admit(r *Record) error {
	b := &s.batch
	if r.ID != NoMessage && r.Kind != KindAccepted && !s.isPendingInBatch(r.ID) {
		return ErrNotPending
	}
	if s.exceedsLimit(r, b.checkpointBytes) || !s.hasSpace(r, int64(len(b.buffer)), b.checkpointBytes) {
		return ErrFull
	}
	b.checkpointBytes += maxCheckpointBytes(r)
	switch r.Kind {
	case KindAccepted:
		b.pending[r.ID] = true
	case KindCompleted:
		b.pending[r.ID] = false
	}
	return nil
}

// isPendingInBatch reports whether a message is pending after the records in the batch.
func (s *store) isPendingInBatch(id string) bool {
	if pending, ok := s.batch.pending[id]; ok {
		return pending
	}
	_, ok := s.index.find(s.index.keyOf(id))
	return ok
}

// applyBatch applies the records of a batch to the state after it was written.
func (s *store) applyBatch() {
	f := s.segment.file
	for _, e := range s.batch.entries {
		k := s.recordKey(e.record)
		s.apply(k, nil, e.seq, e.record, recordPlace{f, f.size + int64(e.offset), int64(e.size)})
		if e.record.Kind != KindAccepted {
			continue
		}
		if i, ok := s.index.find(k); ok && s.index.entryAt(i).seq == e.seq { // otherwise a message with this id was already pending
			e.record.Ref = s.index.ref(i)
		}
	}
	s.seq = s.batch.seq
	s.advanceSegment(len(s.batch.buffer))
}

func (s *store) recordKey(r *Record) indexKey {
	if r.ID == NoMessage {
		return indexKey{}
	}
	return s.index.keyOf(r.ID)
}

// storeStamp stores the last record's sequence number and the time in the stamp file.
func (s *store) storeStamp() {
	now := s.options.Clock()
	s.lastTime = max(s.lastTime, s.clock.timeAt(now))
	s.stampFile.Store(Stamp{ID: stampIDOf(s.checksumSeed), Seq: s.seq, At: s.lastTime, Clock: now})
}

// appendSingly writes the records of a failed batch one by one, except for new messages. A
// small record may still fit on a disk that is nearly full.
func (s *store) appendSingly(results []error, err error) {
	entries := append([]batchEntry(nil), s.batch.entries...)
	if len(entries) == 1 {
		results[entries[0].index] = err
		return
	}
	pastEventFailed := false // it must be written before any later record
	for _, e := range entries {
		if pastEventFailed || e.record.Kind == KindAccepted {
			results[e.index] = err
			continue
		}
		result := []error{nil}
		s.appendBatch([]*Record{e.record}, result)
		results[e.index] = result[0]
		pastEventFailed = result[0] != nil && e.record.Kind.isPastEvent()
	}
}

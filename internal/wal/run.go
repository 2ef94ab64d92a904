package wal

import (
	"errors"
	"time"
)

const (
	maxBatchRecords       = 512                   // maximum number of records in a batch
	deferredRetryInterval = 25 * time.Millisecond // pause before records that could not be written are retried
)

// Run serves the log until stop is closed and everything submitted before is written. Then
// it closes the log. It is called once; its caller waits for Done.
func (l *Log) Run(stop <-chan struct{}) {
	defer close(l.done)
	defer l.store.close()
	var requests []request
	var records []*Record
	stopping := false
	compacting := l.store.pendingCheckpoint != nil
	for {
		requests = l.requests.TakeAll(requests)
		for from := 0; from < len(requests); {
			from += l.processBatch(requests[from:], &records)
			compacting = l.store.compact()
		}
		switch {
		case len(requests) > 0:
		case stopping:
			l.abandonDeferred()
			return
		case len(l.deferred) > 0:
			stopping = l.wait(stop, time.After(deferredRetryInterval))
			l.writeDeferred()
		case compacting:
			select {
			case <-l.requests.Ready():
			case <-stop:
				stopping = true
			default:
				compacting = l.store.compact()
			}
		default:
			stopping = l.wait(stop, nil)
		}
	}
}

// wait returns when there may be requests, when the timeout fires, or when stop is closed.
// It reports whether stop was closed.
func (l *Log) wait(stop <-chan struct{}, timeout <-chan time.Time) (stopped bool) {
	select {
	case <-l.requests.Ready():
	case <-timeout:
	case <-stop:
		return true
	}
	return false
}

// processBatch processes the first requests, as many as can be written together, and
// returns their number. It uses records as scratch space.
func (l *Log) processBatch(requests []request, records *[]*Record) (n int) {
	*records = (*records)[:0]
	for n < min(len(requests), maxBatchRecords) && requests[n].isWrite() {
		*records = append(*records, requests[n].record)
		n++
	}
	if n == 0 {
		l.processSingle(requests[0])
		return 1
	}
	if !l.writeDeferred() {
		for _, r := range requests[:n] {
			l.complete(r, l.deferredErr)
		}
		return n
	}
	for i, err := range l.store.appendRecords(*records) {
		l.complete(requests[i], err)
	}
	return n
}

// isWrite reports whether a request can be written in a batch with others.
func (r *request) isWrite() bool { return r.record != nil }

// processSingle runs a function, or hands the log off.
func (l *Log) processSingle(r request) {
	if r.run != nil {
		r.run()
		return
	}
	var err error
	if l.writeDeferred() {
		err = l.store.startHandoff(r.snapshots)
	} else {
		err = l.deferredErr
	}
	if err != nil {
		l.store.logger.Error("log handoff failed", "err", err)
	}
	if r.done != nil {
		r.done(err)
	}
}

// complete reports the result of a record to its submitter, or keeps the record for a retry.
func (l *Log) complete(r request, err error) {
	failed := err != nil && !errors.Is(err, ErrNotPending)
	if failed && r.record.Kind.isPastEvent() && !errors.Is(err, ErrSyncFailed) {
		if len(l.deferred) == 0 {
			l.store.logger.Error("log not writable", "kind", r.record.Kind, "message", r.record.ID, "err", err)
		}
		l.deferred, l.deferredErr = append(l.deferred, r), err
		l.deferredCount.Store(int64(len(l.deferred)))
		return
	}
	if failed {
		l.logUnwritten(r, err)
	}
	if r.done != nil {
		r.done(err)
	}
}

func (l *Log) logUnwritten(r request, err error) {
	l.store.logger.Error("record not written", "kind", r.record.Kind, "message", r.record.ID, "err", err)
}

// writeDeferred retries the records that could not be written, and reports
// whether all are written now.
func (l *Log) writeDeferred() bool {
	if len(l.deferred) == 0 {
		return true
	}
	pending := l.deferred
	l.deferred = nil
	for len(pending) > 0 {
		chunk := pending[:min(len(pending), maxBatchRecords)]
		records := make([]*Record, len(chunk))
		for i := range chunk {
			records[i] = chunk[i].record
		}
		for i, err := range l.store.appendRecords(records) {
			l.complete(chunk[i], err)
		}
		pending = pending[len(chunk):]
		if len(l.deferred) > 0 {
			l.deferred = append(l.deferred, pending...)
			return false
		}
	}
	l.deferredCount.Store(0)
	l.store.logger.Info("log writable again")
	return true
}

// abandonDeferred retries the remaining records once more as the process ends, and reports
// those that still cannot be written. The next process then finds their messages as they
// were before these records.
func (l *Log) abandonDeferred() {
	if l.writeDeferred() {
		return
	}
	abandoned := l.deferred
	l.deferred = nil
	for _, r := range abandoned {
		l.logUnwritten(r, l.deferredErr)
		if r.done != nil {
			r.done(l.deferredErr)
		}
	}
}

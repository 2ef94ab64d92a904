package relay

import (
	"errors"
	"sync/atomic"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// completionNotice is the end of a message that the platform is to be told of. Where the log does
// not have it, the next process would go on with a message that is told to be over. So
// the notice waits for the log, though no longer than the message's time: after that no
// process sends it.
type completionNotice struct {
	notice discovery.Notice
	sendBy policy.Time // when it is told in any case
	isSent atomic.Bool
}

// send sends the notice, once.
func (e *completionNotice) send(to *discovery.Notices) {
	if e.isSent.CompareAndSwap(false, true) {
		to.Put(e.notice)
	}
}

// logCompletion logs how a message ended and has the platform told.
func (r *Relay) logCompletion(m *message, outcome string, ms int64) {
	if outcome == discovery.Failed {
		ms = 0
	}
	e := &completionNotice{notice: discovery.Notice{Message: m.rec.ID, Outcome: outcome, RetryMS: ms}, sendBy: r.fromLogTime(m.rec.Deadline)}
	r.pendingNotices = append(r.pendingNotices, e)
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleting, ID: m.rec.ID, Notice: outcome, RetryMS: ms}, func(err error) {
		if err == nil || errors.Is(err, wal.ErrNotPending) {
			e.send(r.notices)
		}
	})
}

// sendDueNotices tells what the log still does not have when its time is up.
func (r *Relay) sendDueNotices() {
	now, left := r.now(), r.pendingNotices[:0]
	for _, e := range r.pendingNotices {
		if e.sendBy <= now {
			e.send(r.notices)
		}
		if !e.isSent.Load() {
			left = append(left, e)
		}
	}
	clear(r.pendingNotices[len(left):])
	r.pendingNotices = left
}

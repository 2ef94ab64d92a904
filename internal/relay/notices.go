package relay

import (
	"errors"
	"sync/atomic"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// completionNotice is a notice to the platform that a message is completed. It is sent
// once the completion is logged: before that, a next process would send the message
// again. It is sent at the message's deadline at the latest, since after the deadline no
// process sends the message.
type completionNotice struct {
	notice discovery.Notice
	sendBy policy.Time // when the notice is sent even if the completion is not logged
	isSent atomic.Bool // set by the log's goroutine or the loop
}

// send sends the notice unless it was sent before.
func (n *completionNotice) send(to *discovery.Notices) {
	if n.isSent.CompareAndSwap(false, true) {
		to.Put(n.notice)
	}
}

// logCompletion logs how a message was completed and has the platform notified.
func (r *Relay) logCompletion(m *message, outcome string, retryMS int64) {
	if outcome == discovery.Failed {
		retryMS = 0
	}
	n := &completionNotice{notice: discovery.Notice{Message: m.record.ID, Outcome: outcome, RetryMS: retryMS},
		sendBy: r.clock.fromLogTime(m.record.Deadline)}
	r.pendingNotices = append(r.pendingNotices, n)
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleting, ID: m.record.ID, Notice: outcome, RetryMS: retryMS}, func(err error) {
		if err == nil || errors.Is(err, wal.ErrNotPending) {
			n.send(r.notices)
		}
	})
}

// failMessage completes a message as failed and has the platform notified.
func (r *Relay) failMessage(m *message) {
	r.markCompleted(m)
	r.logCompletion(m, discovery.Failed, 0)
}

// sendDueNotices sends the notices whose messages' deadlines have passed although their
// completions are not logged.
func (r *Relay) sendDueNotices() {
	now, unsent := r.clock.now(), r.pendingNotices[:0]
	for _, n := range r.pendingNotices {
		if n.sendBy <= now {
			n.send(r.notices)
		}
		if !n.isSent.Load() {
			unsent = append(unsent, n)
		}
	}
	clear(r.pendingNotices[len(unsent):])
	r.pendingNotices = unsent
}

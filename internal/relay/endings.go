package relay

import (
	"errors"
	"sync/atomic"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// ending is the end of a message that the platform is to be told of. Where the log does
// not have it, the next process would go on with a message that is told to be over. So
// the notice waits for the log, though no longer than the message's time: after that no
// process sends it.
type ending struct {
	notice discovery.Notice
	by     policy.Time // when it is told in any case
	told   atomic.Bool
}

// tell sends the notice, once.
func (e *ending) tell(to *discovery.Notices) {
	if e.told.CompareAndSwap(false, true) {
		to.Put(e.notice)
	}
}

// end logs how a message ended and has the platform told.
func (r *Relay) end(m *message, word string, ms int64) {
	if word == discovery.Failed {
		ms = 0
	}
	e := &ending{notice: discovery.Notice{Message: m.rec.ID, Outcome: word, RetryMS: ms}, by: r.fromLogTime(m.rec.Deadline)}
	r.endings = append(r.endings, e)
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleting, ID: m.rec.ID, Notice: word, RetryMS: ms}, func(err error) {
		if err == nil || errors.Is(err, wal.ErrNotPending) {
			e.tell(r.notices)
		}
	})
}

// sweepEndings tells what the log still does not have when its time is up.
func (r *Relay) sweepEndings() {
	now, left := r.now(), r.endings[:0]
	for _, e := range r.endings {
		if e.by <= now {
			e.tell(r.notices)
		}
		if !e.told.Load() {
			left = append(left, e)
		}
	}
	clear(r.endings[len(left):])
	r.endings = left
}

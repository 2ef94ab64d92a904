package relay

import (
	"time"

	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// This file carries out what the policy says of its backlog: which messages the
// log alone is to have, and which are to be loaded again.

const (
	loadMost  = 2000             // messages that are read at a time: the loop goes on in between
	loadRetry = policy.Time(1e6) // after a message could not be read
)

// spills is what the loop has of spilled messages.
type spills struct {
	store   backlog.Store
	asked   map[int]int    // messages that the policy wants back, by destination
	reading []backlog.Item // that are being read from the log
	failed  []backlog.Item // that could not be read; At is when they are tried again
	told    bool           // this process has logged that it spills
}

// loaded is what the log has read of spilled messages.
type loaded struct {
	from  *wal.Log
	items []backlog.Item
	recs  []*wal.Record
}

// count is how many messages the log alone has.
func (s *spills) count() int { return s.store.Len() + len(s.reading) + len(s.failed) }

// wait is how long the loop may wait for the next message that has to be back.
func (s *spills) wait(now policy.Time) time.Duration {
	wait := time.Hour
	if at, ok := s.store.Next(); ok && len(s.reading) == 0 {
		wait = min(wait, time.Duration(at-now+1)*time.Microsecond)
	}
	for _, x := range s.failed {
		wait = min(wait, time.Duration(x.LoadBy-now+1)*time.Microsecond)
	}
	return wait
}

// spill has a message be in the log alone, as soon as it is there and its client
// has heard of it.
func (r *Relay) spill(a *policy.Action) {
	m := r.msgs[a.Message]
	if m == nil || m.over { // it was withdrawn in the turn that spilled it
		r.in.Put(happening{forgone: &policy.Event{Kind: policy.EventWithdraw, Message: a.Message, Spilled: true, Dest: a.Dest}})
		return
	}
	m.spill = &backlog.Entry{LoadBy: a.Deadline, Flags: flagsOf(a)}
	r.letGo(m)
}

func flagsOf(a *policy.Action) (f backlog.Flags) {
	if a.Recovered {
		f |= backlog.Recovered
	}
	if a.OverQuota {
		f |= backlog.OverQuota
	}
	if a.Ordered {
		f |= backlog.Ordered
	}
	return f
}

// letGo forgets a message that is to be in the log alone, if it can be by now.
func (r *Relay) letGo(m *message) {
	switch {
	case m.spill == nil || !m.heard || m.over || r.owner.passed:
		return
	case m.rec.Ref == 0: // its id is that of one whose end is still being told: it can have no record
		m.over = true
		r.fig.ended(m.class, discovery.Failed)
		r.drop(m)
		r.end(m, discovery.Failed, 0)
		r.in.Put(happening{forgone: &policy.Event{Kind: policy.EventWithdraw, Message: m.num, Spilled: true, Dest: m.rec.Dest}})
		return
	}
	if !r.spills.told {
		r.spills.told = true
		r.log.Info("spilling: more is held than memory is to have", "held", r.held, "in_memory", len(r.msgs))
	}
	m.spill.Index, m.spill.Generation = uint32(m.rec.Ref), uint16(m.rec.Ref>>32)
	r.spills.store.Add(m.rec.Dest, *m.spill)
	r.forgetDue(m)
	delete(r.ids, m.rec.ID)
	delete(r.msgs, m.num)
	r.fig.spilled.Store(int64(r.spills.count()))
}

// ask books that the policy wants spilled messages back.
func (r *Relay) ask(a *policy.Action) {
	if r.spills.asked == nil {
		r.spills.asked = map[int]int{}
	}
	r.spills.asked[a.Dest] += a.Count
}

// load has the log read what is due and what is asked for, one slice at a time.
func (r *Relay) load() {
	s, now := &r.spills, r.now()
	if r.owner.passed || len(s.reading) > 0 || s.count() == 0 {
		return
	}
	s.retry(now)
	items := s.store.TakeDue(now, loadMost)
	for _, x := range items {
		s.answered(x.Dest)
	}
	for dest, n := range s.asked {
		if room := loadMost - len(items); room > 0 {
			for _, x := range s.store.Take(dest, min(n, room)) {
				items = append(items, x)
				s.answered(dest)
			}
		}
	}
	if len(items) == 0 {
		return
	}
	s.reading = items
	refs := make([]wal.Ref, len(items))
	for i := range items {
		refs[i] = wal.Ref(items[i].Generation)<<32 | wal.Ref(items[i].Index)
	}
	w := r.wal
	w.Do(func() { r.in.Put(happening{loaded: &loaded{w, items, w.Read(refs)}}) })
}

// answered books that a message of a destination is on its way back.
func (s *spills) answered(dest int) {
	if n := s.asked[dest]; n > 1 {
		s.asked[dest] = n - 1
	} else {
		delete(s.asked, dest)
	}
}

// retry takes up again what could not be read some time ago.
func (s *spills) retry(now policy.Time) {
	left := s.failed[:0]
	for _, x := range s.failed {
		if x.LoadBy > now {
			left = append(left, x)
		} else {
			s.store.Add(x.Dest, x.Entry)
		}
	}
	s.failed = left
}

// back takes up what the log has read.
func (r *Relay) back(x *loaded) {
	if x.from != r.wal || r.owner.passed {
		return // of a log that was passed on
	}
	s := &r.spills
	s.reading = nil
	for i, rec := range x.recs {
		item := x.items[i]
		if rec != nil && rec.ID == "" { // another one instead, and this one again later
			item.LoadBy = r.now() + loadRetry
			s.failed = append(s.failed, item)
			r.ask(&policy.Action{Dest: item.Dest, Count: 1})
			continue
		}
		r.held-- // it is counted anew, or over
		if rec == nil {
			r.log.Error("a spilled message is owed no longer", "dest", item.Dest)
			r.events = append(r.events, policy.Event{Kind: policy.EventWithdraw, Spilled: true, Dest: item.Dest})
			continue
		}
		r.takeBackIn(rec, item)
	}
	r.fig.spilled.Store(int64(s.count()))
}

// takeBackIn hands a loaded message to the policy, with its past.
func (r *Relay) takeBackIn(rec *wal.Record, item backlog.Item) {
	m := r.newMessage(rec)
	m.heard, m.logged, m.tries = true, true, rec.Attempts
	r.fig.loaded.Add(1)
	if rec.Corrupted {
		m.over = true
		r.drop(m)
		r.end(m, discovery.Failed, 0)
		r.log.Error("lost", "message", rec.ID)
		r.events = append(r.events, policy.Event{Kind: policy.EventWithdraw, Message: m.num, Spilled: true, Dest: item.Dest})
		return
	}
	if rec.InFlightSince != 0 { // its outcome could not be logged: it may have run
		if rec.UnknownOutcomeAt == 0 {
			rec.UnknownOutcomeAt, rec.UnknownOutcomeZone = rec.InFlightSince, rec.InFlightZone
		}
		rec.InFlightSince = 0
		r.wal.Submit(&wal.Record{Kind: wal.KindOutcome, ID: rec.ID, MayHaveRun: true}, nil)
	}
	e := r.owedEvent(m)
	e.Spilled, e.Recovered, e.OverQuota = true, item.Flags&backlog.Recovered != 0, item.Flags&backlog.OverQuota != 0
	r.events = append(r.events, e)
}

// forgetSpilled leaves what is spilled to the next process.
func (r *Relay) forgetSpilled() {
	r.held -= r.spills.count()
	r.spills = spills{}
	r.fig.spilled.Store(0)
}

// isOurs reports whether a message that the process before took on is owed here
// already, out of sight of the loop. It waits for the log, which never waits for
// the loop.
func (r *Relay) isOurs(id string) bool {
	if !r.resuming && r.spills.count() == 0 {
		return false
	}
	w, owed, found := r.wal, make(chan bool, 1), make(chan *wal.Record, 1)
	w.Do(func() {
		rec := w.Fetch(id)
		found <- rec
		owed <- rec != nil || w.IsPending(id)
	})
	if rec := <-found; rec != nil {
		r.restore([]*wal.Record{rec}, false)
	}
	return <-owed
}

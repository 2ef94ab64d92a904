package relays

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/mailbox"
	"plovershore/internal/settings"
	"plovershore/internal/wal"
	"plovershore/internal/wire"
	"plovershore/policy"
)

const clockStart = policy.Time(3600e6) // of the policy's clock, as in a real relay

// message is one that the relay holds, or whose notice is under way.
type message struct {
	number  uint32
	class   int
	record  *wal.Record
	logged  bool // taken on
	heard   bool // the log has it: its client would know
	over    bool
	tries   int
	out     *attempt
	pending *policy.Action // a send that waits until the log has the message
}

// event is something that the relay's loop is told.
type event struct {
	news    *discovery.List
	taken   *message // the log has it
	send    *attempt // the log has it
	noticed string
	order   order
}

// order is what the process tells its relays.
type order int

const (
	orderNone order = iota
	orderBegin
	orderPause
	orderEnd
)

// relay is one hollow relay. Its loop is the one goroutine that the policy
// belongs to.
type relay struct {
	name     string
	folder   string
	log      *slog.Logger
	policy   *policy.Policy
	in       *mailbox.Mailbox[event]
	wal      *wal.Log
	lock     *wal.Lock
	stopLog  chan struct{}
	watch    *discovery.Watch
	notices  *discovery.Notices
	list     *list
	arrivals arrivals
	late     func(time.Duration)
	began    time.Time
	numbers  uint32
	messages map[uint32]*message
	out      attempts
	timers   []policy.Time
	events   []policy.Event
	actions  []policy.Action
	body     []byte

	mu     sync.Mutex // of what status reads
	counts simrelay.Counts
	shown  shown
}

// shown is what a relay publishes after each step that changed its list.
type shown struct {
	listed  bool
	hash    uint64
	members int
}

// newRelay opens the log of one relay and makes its policy; run starts it.
func newRelay(c *simrelay.Config, i int, log *slog.Logger, late func(time.Duration)) (*relay, error) {
	s, err := wire.ParseSettings(c.Settings[i])
	if err != nil {
		return nil, fmt.Errorf("hollow: settings: %w", err)
	}
	terms, err := settings.ToPolicy(s)
	if err != nil {
		return nil, fmt.Errorf("hollow: settings: %w", err)
	}
	terms.StreamsPerConnection = 1 // as a real relay has it
	name := fmt.Sprintf("h%d", c.First+i)
	seed := c.Seed + uint64(c.First+i)
	policy, err := policy.New(terms, seed)
	if err != nil {
		return nil, fmt.Errorf("hollow: settings: %w", err)
	}
	r := &relay{name: name, folder: filepath.Join(c.Folder, name), log: log, policy: policy, in: mailbox.New[event](), began: time.Now(),
		list: newList(c.Zones, c.Flavors), messages: map[uint32]*message{}, late: late, body: make([]byte, c.Stream.Body), stopLog: make(chan struct{})}
	r.arrivals = arrivals{stream: &c.Stream, random: rand.New(rand.NewPCG(seed, 0x686f6c6c))}
	if err := r.openLog(int64(c.DiskMB) << 20); err != nil {
		return nil, err
	}
	addr := c.Discovery[i%len(c.Discovery)]
	r.watch = discovery.NewWatch(addr, c.Fleet, log, func(l *discovery.List) { r.in.Put(event{news: l}) })
	r.notices = discovery.NewNotices(addr, log, func(id string) { r.in.Put(event{noticed: id}) })
	return r, nil
}

func (r *relay) openLog(limit int64) (err error) {
	if err := os.MkdirAll(r.folder, 0o700); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	if r.lock, err = wal.OpenLock(r.folder, wal.LockName); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	if ok, err := r.lock.TryLock(); err != nil || !ok {
		return errors.Join(fmt.Errorf("hollow: the log of %s is another's", r.name), err)
	}
	r.wal, err = wal.Open(wal.Options{Dir: r.folder, Limit: limit, Log: r.log,
		OnFailure: func(err error) { r.log.Error("the log can keep nothing more", "relay", r.name, "err", err) }})
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

func (r *relay) now() policy.Time { return clockStart + time.Since(r.began).Microseconds() }

// run serves until it is told orderEnd.
func (r *relay) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.wal.Run(r.stopLog)
	go r.watch.Run(ctx)
	go r.notices.Run(ctx)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var got []event
	for ended := false; !ended; {
		timer.Reset(r.wait())
		select {
		case <-r.in.Ready():
		case <-timer.C:
		}
		got = r.in.TakeAll(got)
		for i := range got {
			ended = r.take(&got[i]) || ended
		}
		now := time.Now()
		r.arrive(now)
		r.finish(now)
		r.ring()
		if len(r.events) > 0 {
			r.step()
		}
	}
	cancel()
	close(r.stopLog)
	<-r.wal.Done()
	r.lock.Close()
}

// wait is how long nothing is due by time alone.
func (r *relay) wait() time.Duration {
	wait := time.Hour
	if len(r.timers) > 0 {
		wait = time.Duration(r.timers[0]-r.now()+1) * time.Microsecond
	}
	if !r.arrivals.next.IsZero() {
		wait = min(wait, time.Until(r.arrivals.next))
	}
	if len(r.out) > 0 {
		wait = min(wait, time.Until(r.out[0].due))
	}
	return max(wait, 0)
}

// take books one event; true for the end.
func (r *relay) take(e *event) bool {
	switch {
	case e.news != nil:
		r.events = append(r.events, r.list.take(e.news))
	case e.taken != nil:
		r.taken(e.taken)
	case e.send != nil:
		r.call(e.send)
	case e.noticed != "":
		r.count(func(c *simrelay.Counts) { c.Notices++ })
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: e.noticed}, nil)
	case e.order == orderBegin:
		r.arrivals.begin(time.Now())
	case e.order == orderPause:
		r.arrivals.end()
	case e.order == orderEnd:
		return true
	}
	return false
}

func (r *relay) count(f func(*simrelay.Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

// arrive takes in the messages that are due.
func (r *relay) arrive(now time.Time) {
	a := &r.arrivals
	for !a.next.IsZero() && !a.next.After(now) {
		r.late(now.Sub(a.next))
		a.next = a.next.Add(a.gap())
		r.numbers++
		m := &message{number: r.numbers, class: a.class()}
		m.record = &wal.Record{Kind: wal.KindAccepted, ID: fmt.Sprintf("%s-%08x", r.name, m.number), Class: a.stream.Classes[m.class].Name,
			Dest: a.random.IntN(a.stream.Destinations), Deadline: now.Add(a.stream.Deadline).UnixMicro(), Body: r.body}
		r.messages[m.number] = m
		r.count(func(c *simrelay.Counts) { c.Offered++ })
		r.events = append(r.events, policy.Event{Kind: policy.EventMessage, Message: m.number, Class: m.class, Dest: m.record.Dest, Tenant: -1,
			TimeLeft: a.stream.Deadline.Microseconds()})
	}
}

// finish books the attempts that are over.
func (r *relay) finish(now time.Time) {
	for len(r.out) > 0 && !r.out[0].due.After(now) {
		r.attempted(heap.Pop(&r.out).(*attempt), now)
	}
}

// ring tells the policy of the timers that have come.
func (r *relay) ring() {
	n, now := 0, r.now()
	for n < len(r.timers) && r.timers[n] <= now {
		n++
	}
	if n > 0 {
		r.timers = slices.Delete(r.timers, 0, n)
		r.events = append(r.events, policy.Event{Kind: policy.EventTimer})
	}
}

// step lets the policy decide on what has happened, and carries out what it says,
// in the order in which a real relay does.
func (r *relay) step() {
	events := r.events
	r.events = nil
	var fresh []*message
	for i := range events {
		if events[i].Kind == policy.EventMessage {
			fresh = append(fresh, r.messages[events[i].Message])
		}
	}
	r.actions = r.policy.Step(r.now(), events, r.actions[:0])
	if r.list.news {
		r.list.inForce(time.Now())
		r.show()
	}
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case policy.ActionReject:
			r.ended(a, discovery.Returned)
		case policy.ActionFail:
			r.ended(a, discovery.Failed)
		}
	}
	for _, m := range fresh {
		if !m.over {
			r.takeOn(m)
		}
	}
	for i := range r.actions {
		r.act(&r.actions[i])
	}
}

// show publishes the state of the list.
func (r *relay) show() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shown = shown{true, r.list.hash, r.list.members}
}

// takeOn logs a message.
func (r *relay) takeOn(m *message) {
	m.logged = true
	r.count(func(c *simrelay.Counts) { c.Taken++; c.Held++ })
	r.wal.Submit(m.record, func(err error) {
		if err != nil {
			r.log.Error("message not logged", "message", m.record.ID, "err", err)
		}
		r.in.Put(event{taken: m})
	})
}

// taken goes on with what waited until the log had the message.
func (r *relay) taken(m *message) {
	m.heard = true
	if a := m.pending; a != nil {
		m.pending = nil
		r.send(m, a)
	}
}

// act carries out what is no final answer.
func (r *relay) act(a *policy.Action) {
	switch a.Kind {
	case policy.ActionSend:
		m := r.messages[a.Message]
		if m == nil || m.over {
			return
		}
		m.tries++
		if copied := *a; !m.heard {
			m.pending = &copied
			return
		}
		r.send(m, a)
	case policy.ActionCancel:
		if m := r.messages[a.Message]; m != nil && m.out != nil && m.out.number == a.Attempt {
			r.out.remove(m.out)
			m.out.outcome = policy.Cancelled
			r.attempted(m.out, time.Now())
		}
	case policy.ActionTimer:
		due := r.now() + a.Delay
		if at, set := slices.BinarySearch(r.timers, due); !set {
			r.timers = slices.Insert(r.timers, at, due)
		}
	}
}

// send logs an attempt; the call begins once the log has it.
func (r *relay) send(m *message, a *policy.Action) {
	x := r.list.byNumber[a.Endpoint]
	one := &attempt{message: m, number: m.tries - 1, at: a.Endpoint, place: -1, due: r.began.Add(time.Duration(a.Deadline-clockStart) * time.Microsecond)}
	if m.over || x == nil || x.phase != discovery.Up || x.cell != m.record.Dest || a.Deadline <= r.now() || a.SendBy != 0 && a.SendBy <= r.now() {
		one.outcome = policy.NotSent
		r.attempted(one, time.Now())
		return
	}
	m.out = one
	r.wal.Submit(&wal.Record{Kind: wal.KindAttempt, ID: m.record.ID, At: time.Now().UnixMicro(), Endpoint: x.id, Process: r.wal.Process}, func(error) { r.in.Put(event{send: one}) })
}

// call begins an attempt that the log has.
func (r *relay) call(one *attempt) {
	if one.message.out != one {
		return // called off meanwhile
	}
	r.count(func(c *simrelay.Counts) { c.Calls++ })
	one.began = time.Now()
	r.arrivals.call(one, one.due.Sub(one.began))
	heap.Push(&r.out, one)
}

// attempted books the end of an attempt.
func (r *relay) attempted(one *attempt, now time.Time) {
	m := one.message
	m.out = nil
	settled := m.over || one.outcome == policy.Delivered
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.number, Attempt: one.number, Endpoint: one.at, Outcome: one.outcome, Final: settled, NewConnection: true}
	if !one.began.IsZero() {
		e.Latency = now.Sub(one.began).Microseconds()
	}
	if one.outcome == policy.Delivered {
		e.Load = policy.LoadReport{Remaining: 1, Present: true}
	}
	r.events = append(r.events, e)
	record := &wal.Record{Kind: wal.KindOutcome, ID: m.record.ID, MayHaveRun: !one.outcome.NeverRan()}
	if one.outcome == policy.Delivered {
		record.Kind = wal.KindCompleted
	}
	r.wal.Submit(record, nil)
	switch {
	case one.outcome == policy.Delivered && m.over:
		delete(r.messages, m.number) // its notice is under way: the call ran on
	case one.outcome == policy.Delivered:
		r.over(m, func(c *simrelay.Counts) { c.Delivered++ })
		delete(r.messages, m.number)
	case m.over:
		delete(r.messages, m.number)
	}
}

// over books the end of a message that was taken on.
func (r *relay) over(m *message, f func(*simrelay.Counts)) {
	r.count(func(c *simrelay.Counts) {
		if m.over {
			c.Twice++
			return
		}
		c.Held--
		f(c)
	})
	m.over = true
}

// ended carries out a final answer.
func (r *relay) ended(a *policy.Action, word string) {
	m := r.messages[a.Message]
	if m == nil {
		return
	}
	if !m.logged { // not taken on: its client hears it at once
		m.over = true
		delete(r.messages, m.number)
		r.count(func(c *simrelay.Counts) { c.Refused++ })
		return
	}
	r.over(m, func(c *simrelay.Counts) {
		if word == discovery.Failed {
			c.GivenUp++
		} else {
			c.HandedBack++
		}
	})
	if m.out == nil && m.pending == nil {
		delete(r.messages, m.number)
	}
	notice := discovery.Notice{Message: m.record.ID, Outcome: word, RetryMS: (a.Delay + 999) / 1000}
	if word == discovery.Failed {
		notice.RetryMS = 0
	}
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleting, ID: m.record.ID, Notice: word, RetryMS: notice.RetryMS}, func(error) { r.notices.Put(notice) })
}

// status adds what the relay has to show to a process's.
func (r *relay) status(s *simrelay.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Counts.Add(r.counts)
	if r.shown.listed {
		s.Hashes[fmt.Sprintf("%016x", r.shown.hash)]++
		s.Members[r.shown.members]++
	}
}

// result is what came of the relay. After run.
func (r *relay) result() simrelay.RelayResult {
	out := simrelay.RelayResult{Name: r.name, Hash: r.list.hash, Members: r.list.members, Whole: r.list.whole, Heard: r.list.heard, Wrong: r.list.wrong, Counts: r.counts}
	report, err := wal.Inspect(nil, r.folder)
	if err != nil {
		out.LogErr = err.Error()
		return out
	}
	out.Owed = report.Pending
	return out
}

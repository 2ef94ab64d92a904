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
	number      uint32
	class       int
	record      *wal.Record
	accepted    bool // taken on
	durable     bool // the log has it: its client would know
	completed   bool
	attempts    int
	inFlight    *attempt
	pendingSend *policy.Action // a send that waits until the log has the message
}

// event is something that the relay's loop is told.
type event struct {
	list          *discovery.List
	durable       *message // the log has it
	attemptLogged *attempt // the log has it
	noticeSent    string
	command       command
}

// command is what the process tells its relays.
type command int

const (
	commandNone command = iota
	commandStartTraffic
	commandStopTraffic
	commandFinish
)

// relay is one hollow relay. Its loop is the one goroutine that the policy
// belongs to.
type relay struct {
	name       string
	folder     string
	log        *slog.Logger
	policy     *policy.Policy
	inbox      *mailbox.Mailbox[event]
	wal        *wal.Log
	lock       *wal.Lock
	stopLog    chan struct{}
	watch      *discovery.Watch
	notices    *discovery.Notices
	list       *list
	arrivals   arrivals
	onLateness func(time.Duration)
	began      time.Time
	lastNumber uint32
	messages   map[uint32]*message
	inFlight   attempts
	timers     []policy.Time
	events     []policy.Event
	actions    []policy.Action
	body       []byte

	mu        sync.Mutex // of what status reads
	counts    simrelay.Counts
	published listState
}

// listState is what a relay publishes after each step that changed its list.
type listState struct {
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
	r := &relay{name: name, folder: filepath.Join(c.Folder, name), log: log, policy: policy, inbox: mailbox.New[event](), began: time.Now(),
		list: newList(c.Zones, c.Flavors), messages: map[uint32]*message{}, onLateness: late, body: make([]byte, c.Stream.Body), stopLog: make(chan struct{})}
	r.arrivals = arrivals{stream: &c.Stream, random: rand.New(rand.NewPCG(seed, 0x686f6c6c))}
	if err := r.openLog(int64(c.DiskMB) << 20); err != nil {
		return nil, err
	}
	addr := c.Discovery[i%len(c.Discovery)]
	r.watch = discovery.NewWatch(addr, c.Fleet, log, func(l *discovery.List) { r.inbox.Put(event{list: l}) })
	r.notices = discovery.NewNotices(addr, log, func(id string) { r.inbox.Put(event{noticeSent: id}) })
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

// run serves until it is told commandFinish.
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
		timer.Reset(r.untilDue())
		select {
		case <-r.inbox.Ready():
		case <-timer.C:
		}
		got = r.inbox.TakeAll(got)
		for i := range got {
			ended = r.handleEvent(&got[i]) || ended
		}
		now := time.Now()
		r.receiveDue(now)
		r.finishDue(now)
		r.fireTimers()
		if len(r.events) > 0 {
			r.step()
		}
	}
	cancel()
	close(r.stopLog)
	<-r.wal.Done()
	r.lock.Close()
}

// untilDue is how long nothing is due by time alone.
func (r *relay) untilDue() time.Duration {
	wait := time.Hour
	if len(r.timers) > 0 {
		wait = time.Duration(r.timers[0]-r.now()+1) * time.Microsecond
	}
	if !r.arrivals.next.IsZero() {
		wait = min(wait, time.Until(r.arrivals.next))
	}
	if len(r.inFlight) > 0 {
		wait = min(wait, time.Until(r.inFlight[0].endsAt))
	}
	return max(wait, 0)
}

// handleEvent books one event; true for the end.
func (r *relay) handleEvent(e *event) bool {
	switch {
	case e.list != nil:
		r.events = append(r.events, r.list.update(e.list))
	case e.durable != nil:
		r.messageLogged(e.durable)
	case e.attemptLogged != nil:
		r.startAttempt(e.attemptLogged)
	case e.noticeSent != "":
		r.updateCounts(func(c *simrelay.Counts) { c.Notices++ })
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: e.noticeSent}, nil)
	case e.command == commandStartTraffic:
		r.arrivals.start(time.Now())
	case e.command == commandStopTraffic:
		r.arrivals.stop()
	case e.command == commandFinish:
		return true
	}
	return false
}

func (r *relay) updateCounts(f func(*simrelay.Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

// receiveDue takes in the messages that are due.
func (r *relay) receiveDue(now time.Time) {
	a := &r.arrivals
	for !a.next.IsZero() && !a.next.After(now) {
		r.onLateness(now.Sub(a.next))
		a.next = a.next.Add(a.drawGap())
		r.lastNumber++
		m := &message{number: r.lastNumber, class: a.drawClass()}
		m.record = &wal.Record{Kind: wal.KindAccepted, ID: fmt.Sprintf("%s-%08x", r.name, m.number), Class: a.stream.Classes[m.class].Name,
			Dest: a.random.IntN(a.stream.Destinations), Deadline: now.Add(a.stream.Deadline).UnixMicro(), Body: r.body}
		r.messages[m.number] = m
		r.updateCounts(func(c *simrelay.Counts) { c.Offered++ })
		r.events = append(r.events, policy.Event{Kind: policy.EventMessage, Message: m.number, Class: m.class, Dest: m.record.Dest, Tenant: -1,
			TimeLeft: a.stream.Deadline.Microseconds()})
	}
}

// finishDue books the attempts that are over.
func (r *relay) finishDue(now time.Time) {
	for len(r.inFlight) > 0 && !r.inFlight[0].endsAt.After(now) {
		r.finishAttempt(heap.Pop(&r.inFlight).(*attempt), now)
	}
}

// fireTimers tells the policy of the timers that have come.
func (r *relay) fireTimers() {
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
	if r.list.updated {
		r.list.markApplied(time.Now())
		r.publishList()
	}
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case policy.ActionReject:
			r.respond(a, discovery.Returned)
		case policy.ActionFail:
			r.respond(a, discovery.Failed)
		}
	}
	for _, m := range fresh {
		if !m.completed {
			r.accept(m)
		}
	}
	for i := range r.actions {
		r.apply(&r.actions[i])
	}
}

// publishList publishes the state of the list.
func (r *relay) publishList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = listState{true, r.list.hash, r.list.members}
}

// accept logs a message.
func (r *relay) accept(m *message) {
	m.accepted = true
	r.updateCounts(func(c *simrelay.Counts) { c.Accepted++; c.InFlight++ })
	r.wal.Submit(m.record, func(err error) {
		if err != nil {
			r.log.Error("message not logged", "message", m.record.ID, "err", err)
		}
		r.inbox.Put(event{durable: m})
	})
}

// messageLogged goes on with what waited until the log had the message.
func (r *relay) messageLogged(m *message) {
	m.durable = true
	if a := m.pendingSend; a != nil {
		m.pendingSend = nil
		r.logAttempt(m, a)
	}
}

// apply carries out what is no final answer.
func (r *relay) apply(a *policy.Action) {
	switch a.Kind {
	case policy.ActionSend:
		m := r.messages[a.Message]
		if m == nil || m.completed {
			return
		}
		m.attempts++
		if copied := *a; !m.durable {
			m.pendingSend = &copied
			return
		}
		r.logAttempt(m, a)
	case policy.ActionCancel:
		if m := r.messages[a.Message]; m != nil && m.inFlight != nil && m.inFlight.number == a.Attempt {
			r.inFlight.remove(m.inFlight)
			m.inFlight.outcome = policy.Cancelled
			r.finishAttempt(m.inFlight, time.Now())
		}
	case policy.ActionTimer:
		due := r.now() + a.Delay
		if at, set := slices.BinarySearch(r.timers, due); !set {
			r.timers = slices.Insert(r.timers, at, due)
		}
	}
}

// logAttempt logs an attempt; the call begins once the log has it.
func (r *relay) logAttempt(m *message, a *policy.Action) {
	x := r.list.byNumber[a.Endpoint]
	one := &attempt{message: m, number: m.attempts - 1, endpoint: a.Endpoint, heapIndex: -1, endsAt: r.began.Add(time.Duration(a.Deadline-clockStart) * time.Microsecond)}
	if m.completed || x == nil || x.phase != discovery.Up || x.cell != m.record.Dest || a.Deadline <= r.now() || a.SendBy != 0 && a.SendBy <= r.now() {
		one.outcome = policy.NotSent
		r.finishAttempt(one, time.Now())
		return
	}
	m.inFlight = one
	r.wal.Submit(&wal.Record{Kind: wal.KindAttempt, ID: m.record.ID, At: time.Now().UnixMicro(), Endpoint: x.id, Process: r.wal.Process}, func(error) { r.inbox.Put(event{attemptLogged: one}) })
}

// startAttempt begins an attempt that the log has.
func (r *relay) startAttempt(started *attempt) {
	if started.message.inFlight != started {
		return // called off meanwhile
	}
	r.updateCounts(func(c *simrelay.Counts) { c.Calls++ })
	started.began = time.Now()
	r.arrivals.settle(started, started.endsAt.Sub(started.began))
	heap.Push(&r.inFlight, started)
}

// finishAttempt books the end of an attempt.
func (r *relay) finishAttempt(finished *attempt, now time.Time) {
	m := finished.message
	m.inFlight = nil
	settled := m.completed || finished.outcome == policy.Delivered
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.number, Attempt: finished.number, Endpoint: finished.endpoint, Outcome: finished.outcome, Final: settled, NewConnection: true}
	if !finished.began.IsZero() {
		e.Latency = now.Sub(finished.began).Microseconds()
	}
	if finished.outcome == policy.Delivered {
		e.Load = policy.LoadReport{Remaining: 1, Present: true}
	}
	r.events = append(r.events, e)
	record := &wal.Record{Kind: wal.KindOutcome, ID: m.record.ID, MayHaveRun: !finished.outcome.NeverRan()}
	if finished.outcome == policy.Delivered {
		record.Kind = wal.KindCompleted
	}
	r.wal.Submit(record, nil)
	switch {
	case finished.outcome == policy.Delivered && m.completed:
		delete(r.messages, m.number) // its notice is under way: the call ran on
	case finished.outcome == policy.Delivered:
		r.complete(m, func(c *simrelay.Counts) { c.Delivered++ })
		delete(r.messages, m.number)
	case m.completed:
		delete(r.messages, m.number)
	}
}

// complete books the end of a message that was taken on.
func (r *relay) complete(m *message, f func(*simrelay.Counts)) {
	r.updateCounts(func(c *simrelay.Counts) {
		if m.completed {
			c.DuplicateCompletions++
			return
		}
		c.InFlight--
		f(c)
	})
	m.completed = true
}

// respond carries out a final answer.
func (r *relay) respond(a *policy.Action, outcome string) {
	m := r.messages[a.Message]
	if m == nil {
		return
	}
	if !m.accepted { // not taken on: its client hears it at once
		m.completed = true
		delete(r.messages, m.number)
		r.updateCounts(func(c *simrelay.Counts) { c.Rejected++ })
		return
	}
	r.complete(m, func(c *simrelay.Counts) {
		if outcome == discovery.Failed {
			c.Failed++
		} else {
			c.Returned++
		}
	})
	if m.inFlight == nil && m.pendingSend == nil {
		delete(r.messages, m.number)
	}
	notice := discovery.Notice{Message: m.record.ID, Outcome: outcome, RetryMS: (a.Delay + 999) / 1000}
	if outcome == discovery.Failed {
		notice.RetryMS = 0
	}
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleting, ID: m.record.ID, Notice: outcome, RetryMS: notice.RetryMS}, func(error) { r.notices.Put(notice) })
}

// addStatus adds what the relay has to show to a process's.
func (r *relay) addStatus(s *simrelay.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Counts.Add(r.counts)
	if r.published.listed {
		s.Hashes[fmt.Sprintf("%016x", r.published.hash)]++
		s.Members[r.published.members]++
	}
}

// result is what came of the relay. After run.
func (r *relay) result() simrelay.RelayResult {
	out := simrelay.RelayResult{Name: r.name, Hash: r.list.hash, Members: r.list.members, CompleteLists: r.list.completeLists, Changes: r.list.applied, OutOfOrder: r.list.outOfOrder, Counts: r.counts}
	report, err := wal.Inspect(nil, r.folder)
	if err != nil {
		out.LogErr = err.Error()
		return out
	}
	out.Pending = report.Pending
	return out
}

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

const (
	clockStart = policy.Time(3600e6) // of the policy's clock, as in a real relay
	maxIdle    = time.Hour
)

// event is an input of the relay's loop; one field is set.
type event struct {
	list          *discovery.List
	durable       *message // a message that the log has
	attemptLogged *attempt // an attempt that the log has
	noticeSent    string   // a message's ID
	command       command
}

// command is an order of the process to its relays.
type command int

const (
	commandNone command = iota
	commandStartTraffic
	commandStopTraffic
	commandFinish
)

// relay is one simulated relay. Its loop is the one goroutine that uses the policy
// and the fields without a lock.
type relay struct {
	name       string
	folder     string
	log        *slog.Logger
	policy     *policy.Policy
	inbox      *mailbox.Mailbox[event]
	wal        *wal.Log
	lock       *wal.Lock // of the folder
	stopLog    chan struct{}
	watch      *discovery.Watch
	notices    *discovery.Notices
	list       *list
	arrivals   arrivals
	onLateness func(time.Duration)
	began      time.Time
	lastNumber uint32
	messages   map[uint32]*message // by number
	inFlight   attempts
	timers     []policy.Time  // sorted
	events     []policy.Event // for the policy's next step
	actions    []policy.Action
	body       []byte

	mu        sync.Mutex // guards what status reads
	counts    simrelay.Counts
	published listState
}

// listState is what a relay shows of its list.
type listState struct {
	listed  bool
	hash    uint64
	members int
}

// newRelay opens the log of one relay and makes its policy; run starts it.
func newRelay(config *simrelay.Config, index int, log *slog.Logger, onLateness func(time.Duration)) (*relay, error) {
	number := config.First + index
	seed := config.Seed + uint64(number)
	relayPolicy, err := newPolicy(config.Settings[index], seed)
	if err != nil {
		return nil, fmt.Errorf("simrelay: settings: %w", err)
	}
	name := fmt.Sprintf("h%d", number)
	r := &relay{
		name:       name,
		folder:     filepath.Join(config.Folder, name),
		log:        log,
		policy:     relayPolicy,
		inbox:      mailbox.New[event](),
		stopLog:    make(chan struct{}),
		list:       newList(config.Zones, config.Flavors),
		arrivals:   arrivals{stream: &config.Stream, random: rand.New(rand.NewPCG(seed, arrivalSeed))},
		onLateness: onLateness,
		began:      time.Now(),
		messages:   map[uint32]*message{},
		body:       make([]byte, config.Stream.Body),
	}
	if err := r.openLog(int64(config.DiskMB) << 20); err != nil {
		return nil, err
	}
	addr := config.Discovery[index%len(config.Discovery)]
	r.watch = discovery.NewWatch(addr, config.Fleet, log, func(l *discovery.List) { r.inbox.Put(event{list: l}) })
	r.notices = discovery.NewNotices(addr, log, func(id string) { r.inbox.Put(event{noticeSent: id}) })
	return r, nil
}

// newPolicy makes the policy that a real relay would run with the settings.
func newPolicy(text []byte, seed uint64) (*policy.Policy, error) {
	parsed, err := wire.ParseSettings(text)
	if err != nil {
		return nil, err
	}
	policySettings, err := settings.ToPolicy(parsed)
	if err != nil {
		return nil, err
	}
	policySettings.StreamsPerConnection = 1 // as a real relay has it
	return policy.New(policySettings, seed)
}

// errLogInUse is a message log that another process has open.
var errLogInUse = errors.New("message log in use")

// openLog opens the message log, with a limit in bytes.
func (r *relay) openLog(limit int64) (err error) {
	if err := os.MkdirAll(r.folder, 0o700); err != nil {
		return fmt.Errorf("simrelay: %w", err)
	}
	if r.lock, err = wal.OpenLock(r.folder, wal.LockName); err != nil {
		return fmt.Errorf("simrelay: %w", err)
	}
	if ok, err := r.lock.TryLock(); err != nil || !ok {
		return fmt.Errorf("simrelay: %s: %w", r.name, errors.Join(errLogInUse, err))
	}
	r.wal, err = wal.Open(wal.Options{Dir: r.folder, Limit: limit, Log: r.log,
		OnFailure: func(err error) { r.log.Error("message log failed", "relay", r.name, "err", err) }})
	if err != nil {
		return fmt.Errorf("simrelay: %w", err)
	}
	return nil
}

// now is the time of the policy's clock.
func (r *relay) now() policy.Time { return clockStart + time.Since(r.began).Microseconds() }

// run serves until commandFinish, and returns once its goroutines have ended.
func (r *relay) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var discoveryLoops sync.WaitGroup
	discoveryLoops.Add(2)
	go func() { defer discoveryLoops.Done(); r.watch.Run(ctx) }()
	go func() { defer discoveryLoops.Done(); r.notices.Run(ctx) }()
	go r.wal.Run(r.stopLog)
	r.loop()
	cancel()
	discoveryLoops.Wait()
	close(r.stopLog)
	<-r.wal.Done()
	r.lock.Close()
}

// loop handles events and timers until commandFinish.
func (r *relay) loop() {
	timer := time.NewTimer(maxIdle)
	defer timer.Stop()
	var received []event
	for finished := false; !finished; {
		timer.Reset(r.untilDue())
		select {
		case <-r.inbox.Ready():
		case <-timer.C:
		}
		received = r.inbox.TakeAll(received)
		for i := range received {
			finished = r.handleEvent(&received[i]) || finished
		}
		now := time.Now()
		r.receiveDue(now)
		r.finishDue(now)
		r.fireTimers()
		if len(r.events) > 0 {
			r.step()
		}
	}
}

// untilDue is how long the loop has nothing to do unless an event comes.
func (r *relay) untilDue() time.Duration {
	wait := maxIdle
	if len(r.timers) > 0 {
		wait = time.Duration(r.timers[0]-r.now()+1) * time.Microsecond
	}
	if !r.arrivals.nextAt.IsZero() {
		wait = min(wait, time.Until(r.arrivals.nextAt))
	}
	if len(r.inFlight) > 0 {
		wait = min(wait, time.Until(r.inFlight[0].endsAt))
	}
	return max(wait, 0)
}

// handleEvent handles one event; it reports whether the loop is to end.
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

// finishDue finishes the attempts that end by now.
func (r *relay) finishDue(now time.Time) {
	for len(r.inFlight) > 0 && !r.inFlight[0].endsAt.After(now) {
		r.finishAttempt(heap.Pop(&r.inFlight).(*attempt), now)
	}
}

// fireTimers passes the timers that are due to the policy.
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

// step has the policy decide on the events, and carries out its actions in the order
// in which a real relay does.
func (r *relay) step() {
	received := r.receivedMessages()
	r.actions = r.policy.Step(r.now(), r.events, r.actions[:0])
	r.events = nil
	if r.list.updated {
		r.list.markApplied(time.Now())
		r.publishList()
	}
	for i := range r.actions {
		switch action := &r.actions[i]; action.Kind {
		case policy.ActionReject:
			r.respond(action, discovery.Returned)
		case policy.ActionFail:
			r.respond(action, discovery.Failed)
		}
	}
	for _, m := range received {
		if !m.completed {
			r.accept(m)
		}
	}
	for i := range r.actions {
		r.apply(&r.actions[i])
	}
}

// receivedMessages are the new messages among the events.
func (r *relay) receivedMessages() (received []*message) {
	for i := range r.events {
		if r.events[i].Kind == policy.EventMessage {
			received = append(received, r.messages[r.events[i].Message])
		}
	}
	return received
}

func (r *relay) updateCounts(update func(*simrelay.Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.counts)
}

// publishList publishes the state of the list.
func (r *relay) publishList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = listState{listed: true, hash: r.list.hash, members: r.list.members}
}

// addStatus adds the relay's status to its process's.
func (r *relay) addStatus(s *simrelay.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Counts.Add(r.counts)
	if r.published.listed {
		s.Hashes[fmt.Sprintf("%016x", r.published.hash)]++
		s.Members[r.published.members]++
	}
}

// result is the relay's result; run must have returned.
func (r *relay) result() simrelay.RelayResult {
	result := simrelay.RelayResult{
		Name:          r.name,
		Hash:          r.list.hash,
		Members:       r.list.members,
		CompleteLists: r.list.completeLists,
		Changes:       r.list.applied,
		OutOfOrder:    r.list.outOfOrder,
		Counts:        r.counts,
	}
	report, err := wal.Inspect(nil, r.folder)
	if err != nil {
		result.LogErr = err.Error()
		return result
	}
	result.Pending = report.Pending
	return result
}

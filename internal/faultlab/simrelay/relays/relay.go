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
	clockStart = policy.Time(3600e6) // time at which the policy's clock starts, the same as in a real relay
	maxIdle    = time.Hour
)

// event is an input of the relay's loop. Exactly one field is set.
type event struct {
	list          *discovery.List
	durable       *message // a message that has been written to the log
	attemptLogged *attempt // an attempt that has been written to the log
	noticeSent    string   // the ID of a message whose notice discovery has accepted
	command       command
}

// command is what the process tells its relays to do.
type command int

const (
	commandNone command = iota
	commandStartTraffic
	commandStopTraffic
	commandFinish
)

// relay is one simulated relay. Only the goroutine of its loop uses the policy and the
// other fields that mu does not guard.
type relay struct {
	name       string
	folder     string
	log        *slog.Logger
	policy     *policy.Policy
	inbox      *mailbox.Mailbox[event]
	wal        *wal.Log
	lock       *wal.Lock // lock on the relay's directory, against a second process
	stopLog    chan struct{}
	watch      *discovery.Watch
	notices    *discovery.Notices
	list       *list
	arrivals   arrivals
	onLateness func(time.Duration)
	began      time.Time
	lastNumber uint32
	messages   map[uint32]*message // by message number
	inFlight   attempts
	timers     []policy.Time  // sorted times at which the policy wants a timer event
	events     []policy.Event // events for the policy's next step
	actions    []policy.Action
	body       []byte

	mu        sync.Mutex // guards the fields below, which the process reads for its status
	counts    simrelay.Counts
	published listState
}

// listState is the state of a relay's list that its status reports.
type listState struct {
	listed  bool
	hash    uint64
	members int
}

// newRelay makes one relay and opens its message log. Its run method starts it.
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

// newPolicy makes the policy that a real relay would have with the same settings.
func newPolicy(text []byte, seed uint64) (*policy.Policy, error) {
	parsed, err := wire.ParseSettings(text)
	if err != nil {
		return nil, err
	}
	policySettings, err := settings.ToPolicy(parsed)
	if err != nil {
		return nil, err
	}
	policySettings.StreamsPerConnection = 1 // the same value as in a real relay
	return policy.New(policySettings, seed)
}

// errLogInUse means that another process has the message log open.
var errLogInUse = errors.New("message log in use")

// openLog locks the relay's directory and opens the message log, whose size limit is in
// bytes.
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

// now returns the time of the policy's clock.
func (r *relay) now() policy.Time { return clockStart + time.Since(r.began).Microseconds() }

// run runs the relay until commandFinish and returns once its goroutines have ended.
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

// loop handles events, due messages, ending attempts and timers until commandFinish.
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

// untilDue returns the time until the next timer, message or end of an attempt.
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

// handleEvent handles one event and reports whether the loop must end.
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

// finishDue finishes the attempts whose end has come.
func (r *relay) finishDue(now time.Time) {
	for len(r.inFlight) > 0 && !r.inFlight[0].endsAt.After(now) {
		r.finishAttempt(heap.Pop(&r.inFlight).(*attempt), now)
	}
}

// fireTimers removes the timers that are due and queues a timer event for the policy.
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

// step runs one step of the policy on the queued events and carries out its actions in the
// same order as a real relay: rejections and failures, then writes of accepted messages to
// the log, then all others.
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

// receivedMessages returns the messages that the queued events submit.
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

// publishList copies the state of the list to where addStatus reads it.
func (r *relay) publishList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = listState{listed: true, hash: r.list.hash, members: r.list.members}
}

// addStatus adds the relay's counts and list to the status of its process.
func (r *relay) addStatus(s *simrelay.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Counts.Add(r.counts)
	if r.published.listed {
		s.Hashes[fmt.Sprintf("%016x", r.published.hash)]++
		s.Members[r.published.members]++
	}
}

// result returns the relay's result. Call it only after run has returned.
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

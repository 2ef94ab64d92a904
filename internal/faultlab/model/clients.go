package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
)

const (
	clientSeed   = 0x636c6965
	maxLeaveWait = 100 * time.Millisecond // longest time after which a leaving client disconnects

	// A client notices that a relay lost its message after resubmitAfter plus a random
	// time of up to resubmitSpread.
	resubmitAfter  = 800 * time.Millisecond
	resubmitSpread = 1100 * time.Millisecond
)

// Clients simulates the clients of all relays and their load balancer. Messages are
// submitted at a given rate, regardless of whether earlier ones were answered; the
// load balancer spreads them over the relays that it believes to be alive. It is safe
// for concurrent use.
type Clients struct {
	OnLateness func(time.Duration) // called for each message with how late its submission started; set before Run

	world *World
	load  Load
	wg    sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	addrs      map[string]string        // address of each relay
	alive      []string                 // relays that the load balancer believes to be alive
	generation map[string]int           // by relay, the number of calls of RelayUp and RelayDown
	idle       map[string][]*clientConn // idle connections by relay
	closed     bool                     // Run is ending: nothing new is submitted
}

// NewClients returns clients that draw from a seed. addrs holds the address of each
// relay; the caller may still fill it until it calls Run.
func NewClients(w *World, load Load, addrs map[string]string, seed uint64) *Clients {
	return &Clients{
		world:      w,
		load:       load,
		OnLateness: func(time.Duration) {},
		random:     rand.New(rand.NewPCG(seed, clientSeed)),
		addrs:      addrs,
		generation: map[string]int{},
		idle:       map[string][]*clientConn{},
	}
}

// RelayUp records that a relay answers; the load balancer uses it from now on.
func (c *Clients) RelayUp(relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation[relay]++
	if !slices.Contains(c.alive, relay) {
		c.alive = append(c.alive, relay)
	}
}

// RelayDown records that a relay died or drains. The load balancer notices after a
// time drawn from Load.FailureDetection.
func (c *Clients) RelayDown(ctx context.Context, relay string) {
	c.mu.Lock()
	c.generation[relay]++
	generation := c.generation[relay]
	after := c.drawBetween(c.load.FailureDetection)
	c.mu.Unlock()
	c.startWork(func() {
		if Sleep(ctx, after) {
			c.removeRelay(relay, generation)
		}
	})
}

// removeRelay removes a relay from the load balancer, unless the relay went up or down
// again since generation.
func (c *Clients) removeRelay(relay string, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation[relay] == generation {
		c.alive = slices.DeleteFunc(c.alive, func(name string) bool { return name == relay })
	}
}

// startWork runs work in a goroutine that Run waits for. It does nothing once Run is
// ending.
func (c *Clients) startWork(work func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		work()
	}()
}

// Run submits messages when they are due until arriving ends, then waits for the
// clients that are still at work; they end with ctx at the latest.
func (c *Clients) Run(ctx, arriving context.Context, seed uint64) {
	start := time.Now()
	for arrivals := NewArrivals(c.load, seed); ; {
		arrival := arrivals.Next()
		due := start.Add(arrival.At)
		if !Sleep(arriving, time.Until(due)) {
			break
		}
		c.OnLateness(time.Since(due))
		m := &Message{Class: arrival.Class, Destination: arrival.Destination, Due: due,
			Deadline: due.Add(Classes()[arrival.Class].Deadline), Body: c.drawBody(arrival.Size)}
		c.startWork(func() { c.submit(ctx, m, false) })
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
	c.closeIdle()
}

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// drawBetween draws a duration between two limits. The caller holds c.mu.
func (c *Clients) drawBetween(limits minMax) time.Duration {
	return limits[0] + time.Duration(c.random.Float64()*float64(limits[1]-limits[0]))
}

func (c *Clients) drawFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *Clients) drawBody(size int) []byte {
	body := make([]byte, size)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range body {
		body[i] = byte(c.random.Uint32())
	}
	return body
}

// backoff draws how long a client waits before a retry. retryAfterMS is the wait that
// the relay asked for, or 0 if it asked for none. The client follows it with the
// probability Load.HonorRetryAfter, and otherwise waits as long as drawn from
// Load.Backoff.
func (c *Clients) backoff(retryAfterMS int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	drawn := c.drawBetween(c.load.Backoff)
	if retryAfterMS > 0 && c.random.Float64() < c.load.HonorRetryAfter {
		return time.Duration(retryAfterMS) * time.Millisecond
	}
	return drawn
}

// Resubmit submits a message that was lost with its relay's disk again, after the time
// in which its client notices the loss.
func (c *Clients) Resubmit(ctx context.Context, m Message) {
	c.submitLater(ctx, &m, resubmitAfter+time.Duration(c.drawFloat()*float64(resubmitSpread)), true)
}

// MessageReturned handles the notice that a relay handed a message back; its client
// submits it again if it has retries left.
func (c *Clients) MessageReturned(ctx context.Context, id string, retryAfterMS int64) {
	var returned *Message
	c.world.Ledger.update(id, func(m *Message) {
		copied := *m
		returned = &copied
	})
	if returned != nil {
		c.retry(ctx, returned, retryAfterMS, false)
	}
}

// retry submits a message again after a backoff, if its client has retries left.
func (c *Clients) retry(ctx context.Context, m *Message, retryAfterMS int64, resubmit bool) {
	if m.Attempt < c.load.Retries {
		c.submitLater(ctx, m, c.backoff(retryAfterMS), resubmit)
	}
}

// submitLater submits a message again after d, under a new ID, if its deadline leaves
// time for an answer then.
func (c *Clients) submitLater(ctx context.Context, m *Message, d time.Duration, resubmit bool) {
	next := &Message{FirstID: m.FirstID, Class: m.Class, Destination: m.Destination, Due: m.Due, Deadline: m.Deadline, Body: m.Body, Attempt: m.Attempt + 1}
	c.startWork(func() {
		if Sleep(ctx, d) && time.Until(next.Deadline) > c.load.ResponseTimeout {
			c.submit(ctx, next, resubmit)
		}
	})
}

// submit submits one message, and records the answer and retries as its client would.
// resubmit marks a message that a relay may have accepted before.
func (c *Clients) submit(ctx context.Context, m *Message, resubmit bool) {
	leaveAfter := c.prepare(m)
	if m.Relay == "" {
		c.retry(ctx, m, 0, resubmit)
		return
	}
	world := c.world
	world.Ledger.Add(m)
	world.Recorder.Record(history.Event{Kind: history.MessageSubmitted, Relay: m.Relay, Message: m.ID, FirstMessage: m.FirstID,
		Class: Classes()[m.Class].Name, Destination: m.Destination, DueAt: world.Recorder.At(m.Due), ValidFor: time.Until(m.Deadline).Microseconds()})
	line, err := c.exchange(ctx, m, resubmit, leaveAfter)
	switch {
	case err != nil:
		c.record(m, history.SubmitUnanswered, err.Error(), 0)
		world.Ledger.Complete(m.ID)
		if leaveAfter == 0 && ctx.Err() == nil {
			c.retry(ctx, m, 0, true)
		}
	case isAccepted(line):
		world.Ledger.Accept(m.ID)
		c.record(m, history.MessageAccepted, "", 0)
	case strings.HasPrefix(line, answerBusy):
		retryAfterMS, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimPrefix(line, answerBusy)), 10, 64) // 0 if the answer has no wait
		world.Ledger.Complete(m.ID)
		c.record(m, history.MessageRejected, "", time.Duration(retryAfterMS)*time.Millisecond)
		c.retry(ctx, m, retryAfterMS, false)
	default:
		world.Ledger.Complete(m.ID)
		c.record(m, history.SubmitFailed, line, 0)
	}
}

// prepare draws the ID and the relay of a message; the relay is empty if none is
// alive. It returns after how long the client disconnects, or 0 if it stays.
func (c *Clients) prepare(m *Message) (leaveAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.ID = fmt.Sprintf("%016x", c.random.Uint64())
	if m.FirstID == "" {
		m.FirstID = m.ID
	}
	if len(c.alive) > 0 {
		m.Relay = c.alive[c.random.IntN(len(c.alive))]
	}
	if c.random.Float64() < c.load.LeaverFraction {
		leaveAfter = time.Duration(c.random.Float64() * float64(maxLeaveWait))
	}
	return leaveAfter
}

// record records the outcome of a client's request.
func (c *Clients) record(m *Message, kind history.Kind, text string, retryAfter time.Duration) {
	c.world.Recorder.Record(history.Event{Kind: kind, Relay: m.Relay, Message: m.ID, Text: text, RetryAfter: retryAfter.Microseconds()})
}

package model

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
)

// Load is what clients hand in.
type Load struct {
	Rate             float64       // messages a second over all relays
	Swing            float64       // by which the rate rises and falls, as a share of it
	Period           time.Duration // of that
	BurstFraction    float64       // share of messages that come together for one destination
	BurstSize        int           // messages of a clump
	Weights          []float64     // of the destinations
	Retries          int
	HonorRetryAfter  float64 // share of clients that wait as long as they are told
	LeaverFraction   float64 // share of clients that leave before their answer
	Backoff          [2]time.Duration
	BodySize         [2]int // bytes of a body
	FailureDetection [2]time.Duration
	ResponseTimeout  time.Duration // for an answer
}

// StandardLoad is the traffic of a quiet day.
func StandardLoad(rate float64, weights []float64) Load {
	ms := time.Millisecond
	return Load{Rate: rate, Swing: 0.2, Period: 20 * time.Second, BurstFraction: 0.1, BurstSize: 8, Weights: weights, Retries: 2,
		HonorRetryAfter: 0.7, Backoff: [2]time.Duration{570 * ms, 1400 * ms}, BodySize: [2]int{40, 400},
		FailureDetection: [2]time.Duration{1300 * ms, 3500 * ms}, ResponseTimeout: 400 * ms}
}

// Arrival is one message before anybody has handed it in.
type Arrival struct {
	At          time.Duration
	Class       int
	Destination int
	Size        int
}

// Arrivals draws messages ahead of time, so that when they are due depends on
// nothing that the relays do.
type Arrivals struct {
	load Load
	rand *rand.Rand
	at   time.Duration
	next []Arrival
}

// NewArrivals makes the sequence of one seed.
func NewArrivals(l Load, seed uint64) *Arrivals {
	return &Arrivals{load: l, rand: rand.New(rand.NewPCG(seed, 0x61727269))}
}

// Next is the next message that is due.
func (a *Arrivals) Next() Arrival {
	if len(a.next) == 0 {
		a.draw()
	}
	x := a.next[0]
	a.next = a.next[1:]
	return x
}

func (a *Arrivals) draw() {
	l := &a.load
	n, dest := 1, pick(a.rand, l.Weights)
	rate := l.Rate
	if l.BurstSize > 1 && l.BurstFraction > 0 { // events come less often, since some bring many
		perEvent := 1 / (1 - l.BurstFraction + l.BurstFraction/float64(l.BurstSize))
		if a.rand.Float64() < l.BurstFraction/float64(l.BurstSize)*perEvent {
			n = l.BurstSize
		}
		rate /= perEvent
	}
	if l.Period > 0 {
		phase := float64(a.at%l.Period) / float64(l.Period)
		rate *= 1 + l.Swing*(1-4*abs(phase-0.5)) // a triangle between its extremes
	}
	a.at += time.Duration(a.rand.ExpFloat64() / rate * float64(time.Second))
	for i := range n {
		class := 0
		if a.rand.Float64() >= Classes()[0].Fraction {
			class = 1
		}
		a.next = append(a.next, Arrival{a.at + time.Duration(i)*time.Millisecond, class, dest, l.BodySize[0] + a.rand.IntN(l.BodySize[1]-l.BodySize[0]+1)})
	}
}

func abs(x float64) float64 { return max(x, -x) }

func pick(r *rand.Rand, weights []float64) int {
	all := 0.0
	for _, w := range weights {
		all += w
	}
	at := r.Float64() * all
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Clients hand messages in by an open loop, through a front that deals them out
// over the relays which it believes to be alive.
type Clients struct {
	world      *World
	load       Load
	OnLateness func(time.Duration) // hears how late each message was begun
	wg         sync.WaitGroup

	mu         sync.Mutex
	rand       *rand.Rand
	addrs      map[string]string
	alive      []string // that the front believes in
	generation map[string]int
	idle       map[string][]*clientConn
	began      time.Time
	closed     bool // nothing is handed in any more
}

// NewClients makes the clients of one seed. addrs says where each relay listens.
func NewClients(w *World, l Load, addrs map[string]string, seed uint64) *Clients {
	return &Clients{world: w, load: l, OnLateness: func(time.Duration) {}, rand: rand.New(rand.NewPCG(seed, 0x636c6965)),
		addrs: addrs, generation: map[string]int{}, idle: map[string][]*clientConn{}}
}

// RelayUp tells the front that a relay answers.
func (c *Clients) RelayUp(relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation[relay]++
	for _, a := range c.alive {
		if a == relay {
			return
		}
	}
	c.alive = append(c.alive, relay)
}

// RelayDown tells that a relay has died or leaves; the front notices only later.
func (c *Clients) RelayDown(ctx context.Context, relay string) {
	c.mu.Lock()
	c.generation[relay]++
	n := c.generation[relay]
	after := c.drawBetween(c.load.FailureDetection)
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		if !Sleep(ctx, after) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.generation[relay] != n {
			return // it is back
		}
		for i, a := range c.alive {
			if a == relay {
				c.alive = append(append([]string(nil), c.alive[:i]...), c.alive[i+1:]...)
			}
		}
	}()
}

// drawBetween draws from a span; c.mu is held.
func (c *Clients) drawBetween(s [2]time.Duration) time.Duration {
	return s[0] + time.Duration(c.rand.Float64()*float64(s[1]-s[0]))
}

// Sleep waits for d; false where ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run hands in what is due from now on until arriving ends, then waits for what
// its clients still do; they end with ctx.
func (c *Clients) Run(ctx, arriving context.Context, seed uint64) {
	c.began = time.Now()
	for arrivals := NewArrivals(c.load, seed); ; {
		a := arrivals.Next()
		due := c.began.Add(a.At)
		if !Sleep(arriving, time.Until(due)) {
			break
		}
		c.OnLateness(time.Since(due))
		m := &Message{Class: a.Class, Destination: a.Destination, Due: due, Deadline: due.Add(Classes()[a.Class].Deadline), Body: c.drawBody(a.Size)}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.submit(ctx, m, false)
		}()
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, x := range conns {
			x.Close()
		}
	}
}

func (c *Clients) drawBody(n int) []byte {
	b := make([]byte, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range b {
		b[i] = byte(c.rand.Uint32())
	}
	return b
}

// Resubmit hands in, after a while, what a relay held whose disk is lost.
func (c *Clients) Resubmit(ctx context.Context, m Message) {
	c.submitLater(ctx, &m, 800*time.Millisecond+time.Duration(c.drawFloat()*1.1*float64(time.Second)), true)
}

// MessageReturned hears of a notice; the client may hand the message in again.
func (c *Clients) MessageReturned(ctx context.Context, id string, retryMS int64) {
	var m *Message
	c.world.Ledger.update(id, func(x *Message) { cp := *x; m = &cp })
	if m == nil || m.Attempt >= c.load.Retries {
		return
	}
	c.submitLater(ctx, m, c.backoff(retryMS), false)
}

func (c *Clients) drawFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64()
}

func (c *Clients) backoff(retryAfterMS int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.drawBetween(c.load.Backoff)
	if retryAfterMS > 0 && c.rand.Float64() < c.load.HonorRetryAfter {
		d = time.Duration(retryAfterMS) * time.Millisecond
	}
	return d
}

// submitLater hands a message in once more after d, under a new id.
func (c *Clients) submitLater(ctx context.Context, m *Message, d time.Duration, resubmit bool) {
	next := &Message{FirstID: m.FirstID, Class: m.Class, Destination: m.Destination, Due: m.Due, Deadline: m.Deadline, Body: m.Body, Attempt: m.Attempt + 1}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		if Sleep(ctx, d) && time.Until(next.Deadline) > c.load.ResponseTimeout {
			c.submit(ctx, next, resubmit)
		}
	}()
}

// submit hands one message in and does what its client does then.
func (c *Clients) submit(ctx context.Context, m *Message, resubmit bool) {
	c.mu.Lock()
	m.ID = fmt.Sprintf("%016x", c.rand.Uint64())
	if m.FirstID == "" {
		m.FirstID = m.ID
	}
	if len(c.alive) > 0 {
		m.Relay = c.alive[c.rand.IntN(len(c.alive))]
	}
	leaves := time.Duration(0)
	if c.rand.Float64() < c.load.LeaverFraction {
		leaves = time.Duration(c.rand.Float64() * float64(100*time.Millisecond))
	}
	c.mu.Unlock()
	if m.Relay == "" {
		if m.Attempt < c.load.Retries {
			c.submitLater(ctx, m, c.backoff(0), resubmit)
		}
		return
	}
	c.world.Ledger.Add(m)
	c.world.Recorder.Record(history.Event{Kind: history.MessageSubmitted, Relay: m.Relay, Message: m.ID, FirstMessage: m.FirstID, Class: Classes()[m.Class].Name,
		Destination: m.Destination, DueAt: c.world.Recorder.At(m.Due), ValidFor: time.Until(m.Deadline).Microseconds()})
	line, err := c.exchange(ctx, m, resubmit, leaves)
	say := func(k history.Kind, text string, wait time.Duration) {
		c.world.Recorder.Record(history.Event{Kind: k, Relay: m.Relay, Message: m.ID, Text: text, RetryAfter: wait.Microseconds()})
	}
	switch {
	case err != nil:
		say(history.SubmitUnanswered, err.Error(), 0)
		c.world.Ledger.Complete(m.ID)
		if leaves == 0 && m.Attempt < c.load.Retries && ctx.Err() == nil {
			c.submitLater(ctx, m, c.backoff(0), true)
		}
	case strings.HasPrefix(line, "+"), strings.HasPrefix(line, "$"):
		c.world.Ledger.Accept(m.ID)
		say(history.MessageAccepted, "", 0)
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")), 10, 64) // none told reads as 0
		c.world.Ledger.Complete(m.ID)
		say(history.MessageRejected, "", time.Duration(ms)*time.Millisecond)
		if m.Attempt < c.load.Retries {
			c.submitLater(ctx, m, c.backoff(ms), false)
		}
	default:
		c.world.Ledger.Complete(m.ID)
		say(history.SubmitFailed, line, 0)
	}
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	last string // the message that was answered last; empty for none
}

// extraResponse gives what came after the last answer, where nothing may come.
func (x *clientConn) extraResponse() string {
	x.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	if _, err := x.in.Peek(1); err != nil {
		return "" // nothing, or a close: the next request finds out
	}
	x.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	line, _ := x.in.ReadString('\n') // what there is of it
	return line
}

func (c *Clients) conn(relay string, fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle[relay]); n > 0 && !fresh {
		x := c.idle[relay][n-1]
		c.idle[relay] = c.idle[relay][:n-1]
		c.mu.Unlock()
		if line := x.extraResponse(); line != "" {
			c.world.Recorder.Record(history.Event{Kind: history.ExtraResponse, Relay: relay, Message: x.last, Text: line})
			x.Close()
			return c.conn(relay, fresh)
		}
		return x, nil
	}
	addr := c.addrs[relay]
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", addr, c.load.ResponseTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// exchange sends the request and reads its answer. A kept connection that the relay
// closed meanwhile is no answer: the request goes out once more on a new one.
func (c *Clients) exchange(ctx context.Context, m *Message, resubmit bool, leaves time.Duration) (string, error) {
	for fresh := false; ; fresh = true {
		x, err := c.conn(m.Relay, fresh)
		if err != nil {
			return "", err
		}
		stop := context.AfterFunc(ctx, func() { x.Close() })
		wait := c.load.ResponseTimeout
		if leaves > 0 {
			wait = leaves
		}
		x.SetDeadline(time.Now().Add(wait))
		line, err := x.exchange(putRequest(m, resubmit))
		stop()
		if err == nil {
			x.last = m.ID
			c.mu.Lock()
			c.idle[m.Relay] = append(c.idle[m.Relay], x)
			c.mu.Unlock()
			return line, nil
		}
		x.Close()
		if x.last == "" || fresh || isTimeout(err) || ctx.Err() != nil {
			return "", err
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func (x *clientConn) exchange(req []byte) (string, error) {
	if _, err := x.Write(req); err != nil {
		return "", err
	}
	line, err := x.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if n, ok := strings.CutPrefix(line, "$"); ok { // a bulk string: its text follows
		size, err := strconv.Atoi(strings.TrimSpace(n))
		if err != nil || size < 0 || size > maxBody {
			return "", fmt.Errorf("answer %q", line)
		}
		if _, err := x.in.Discard(size + 2); err != nil {
			return "", err
		}
	}
	return strings.TrimRight(line, "\r\n"), nil
}

// putRequest is MSG.PUT as the protocol page has it.
func putRequest(m *Message, resubmit bool) []byte {
	list := fmt.Sprintf("c=%s,d=%d,dest=%d", Classes()[m.Class].Name, max(1, time.Until(m.Deadline).Milliseconds()), m.Destination)
	if resubmit {
		list += ",again=1"
	} else if m.Attempt > 0 {
		list += ",r=1"
	}
	out := []byte("*5\r\n")
	for _, s := range []string{"MSG.PUT", "0000000000000000", m.ID, list} {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(s), s)
	}
	out = fmt.Appendf(out, "$%d\r\n", len(m.Body))
	out = append(out, m.Body...)
	return append(out, "\r\n"...)
}

// InvalidPeers are the kinds of peer that send no proper request.
var InvalidPeers = []string{"garbage", "silent", "half", "unknown", "long"}

// ConnectInvalidPeer connects to a relay as a bad peer of one kind and records whether it
// got an error line or a close in the time that the terms give it.
func ConnectInvalidPeer(ctx context.Context, w *World, relay, addr, kind string) {
	began := time.Now()
	say := func(status int, text string) {
		w.Recorder.Record(history.Event{Kind: history.InvalidPeer, Relay: relay, Status: status, Took: time.Since(began).Microseconds(), Text: kind + ": " + text})
	}
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return // the relay is not there: nothing is owed
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	limit := w.Rules.InvalidPeerTimeout
	if kind == "long" {
		limit = w.Rules.LongRequestTimeout
	}
	conn.SetDeadline(began.Add(limit + 500*time.Millisecond))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		switch kind {
		case "garbage":
			io.WriteString(conn, "\x16\x03\x01\x02\x00\x01\x00GET / HTTP/1.1\r\n\r\n")
		case "half":
			io.WriteString(conn, "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000")
		case "unknown":
			io.WriteString(conn, "*1\r\n$8\r\nFLUSHALL\r\n")
		case "long":
			io.WriteString(conn, "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$16\r\n0123456789abcdef\r\n$18\r\nc=alert-update,d=9\r\n$62914560\r\n")
			piece := make([]byte, 64<<10)
			for n := 0; n < 60<<20; n += len(piece) {
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		}
	}()
	line, err := bufio.NewReader(conn).ReadString('\n')
	switch {
	case ctx.Err() != nil:
	case err == nil && strings.HasPrefix(line, "-"):
		say(1, "an error line")
	case err == nil:
		say(0, fmt.Sprintf("answered %q", line))
	case isTimeout(err):
		say(0, "neither an error line nor a close")
	default:
		say(1, "a close")
	}
	conn.Close()
	<-sent
}

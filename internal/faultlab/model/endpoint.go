package model

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
)

const (
	bodyMost   = 64 << 10
	itemsMost  = 64 // of a batch that is read at all
	retryAfter = "Retry-After: %.3f\r\n"
)

// Endpoint is one server of a partner.
type Endpoint struct {
	ID        string
	Zone      string
	Partner   *Partner
	Servers   int // calls that it serves at once
	Queue     int // that wait beyond those
	Conns     int // connections that it holds, idle ones counted
	Batch     int
	KeepAlive time.Duration
	world     *World
	ln        net.Listener

	mu      sync.Mutex
	own     Spell
	isDown  bool
	open    map[net.Conn]struct{}
	waiting int
	slots   chan struct{}
}

// World is what all stand-ins of a run share.
type World struct {
	Rec    *history.Recorder
	Ledger *Ledger
	Net    *link.Net
	Rules  Rules
	Served func(class int, after time.Duration) // hears of each first delivery; may be nil
	calls  atomic.Int64
}

// reached books that a relay has heard that a message is delivered.
func (w *World) reached(id string) {
	var class int
	var due time.Time
	w.Ledger.set(id, func(m *Message) {
		if !m.Reached {
			class, due = m.Class, m.Due
		}
		m.Reached, m.Over = true, true
	})
	if w.Served != nil && !due.IsZero() {
		w.Served(class, time.Since(due))
	}
}

// Serve starts an endpoint at addr; it ends with ctx.
func (e *Endpoint) Serve(ctx context.Context, w *World, addr string, done *sync.WaitGroup) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.ID, err)
	}
	e.world, e.ln, e.open = w, ln, map[net.Conn]struct{}{}
	e.slots = make(chan struct{}, e.Servers)
	e.Partner.mu.Lock()
	e.Partner.members++
	e.Partner.mu.Unlock()
	context.AfterFunc(ctx, func() {
		ln.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for c := range e.open {
			c.Close()
		}
	})
	done.Add(1)
	go func() {
		defer done.Done()
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(5 * time.Millisecond) // out of descriptors, say
				continue
			}
			e.mu.Lock()
			e.open[c] = struct{}{}
			surplus := len(e.open) > e.Conns
			e.mu.Unlock()
			done.Add(1)
			go func() {
				defer done.Done()
				e.converse(ctx, c, surplus)
				e.mu.Lock()
				delete(e.open, c)
				e.mu.Unlock()
			}()
		}
	}()
	return nil
}

// Addr is where it listens.
func (e *Endpoint) Addr() string { return e.ln.Addr().String() }

// SetSpell puts a trouble on this endpoint alone.
func (e *Endpoint) SetSpell(s Spell) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own = s
}

// SetDown books that its process is gone or back; its links do the refusing.
func (e *Endpoint) SetDown(on bool) {
	e.mu.Lock()
	was := e.isDown
	e.isDown = on
	e.mu.Unlock()
	if was != on {
		e.Partner.endpointDown(on)
	}
}

// converse serves one connection, and owns it.
func (e *Endpoint) converse(ctx context.Context, c net.Conn, surplus bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	var sent int64
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(e.KeepAlive))
		if _, err := in.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(10 * time.Second)) // the rest of a call follows its first byte
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		conn := e.world.Net.Find(c)
		if conn == nil {
			return // the link is gone already
		}
		e.mu.Lock()
		own := e.own
		e.mu.Unlock()
		spell, fell := e.Partner.trouble(own)
		if spell.Reset > 0 && e.Partner.draw() < spell.Reset {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, bodyMost+1))
		if err != nil {
			return // not whole: it never was a call
		}
		c.SetReadDeadline(time.Time{})
		called, cancel := context.WithCancel(ctx)
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := in.Peek(1); err != nil {
				cancel()
			}
		}()
		id := e.world.calls.Add(1)
		conn.Leaves(func() { e.world.Rec.Put(history.Event{Kind: history.Left, Call: id}) })
		a := e.call(called, id, conn, req, body, spell, fell, surplus)
		ended := called.Err() != nil
		cancel()
		if ended || a.text == nil {
			e.world.Rec.Put(history.Event{Kind: history.Ended, Call: a.call, Endpoint: e.ID})
			if a.reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			<-peeked
			return
		}
		sent += int64(len(a.text))
		e.world.Rec.Put(history.Event{Kind: history.Answer, Call: a.call, Endpoint: e.ID, Status: a.status, Wait: a.wait.Microseconds(), States: a.states})
		conn.Expect(sent, func(time.Time) {
			for _, id := range a.reached {
				e.world.reached(id)
			}
			for _, id := range a.over {
				e.world.Ledger.Over(id)
			}
			e.world.Rec.Put(history.Event{Kind: history.Heard, Call: a.call})
		})
		c.SetReadDeadline(time.Now().Add(e.KeepAlive))
		if _, err := c.Write(a.text); err != nil || a.last {
			c.Close()
		}
		<-peeked
	}
}

// answer is what comes back for a call.
type answer struct {
	call    int64
	status  int // 0 where it cannot be read
	wait    time.Duration
	states  []string
	text    []byte // nil for no answer at all
	reset   bool
	last    bool // the connection ends after it
	reached []string
	over    []string
}

// item is a message of a batch.
type item struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// call takes one whole call to its answer.
func (e *Endpoint) call(ctx context.Context, id int64, conn *link.Conn, req *http.Request, body []byte, spell Spell, fell, surplus bool) answer {
	now := time.Now()
	a := answer{call: id}
	items, batch, bad := e.items(req, body)
	ids := make([]string, len(items))
	for i, x := range items {
		ids[i] = x.ID
	}
	e.world.Rec.Put(history.Event{Kind: history.Call, Call: a.call, Relay: conn.From(), Endpoint: e.ID, Dest: e.Partner.Cell,
		Msgs: ids, From: e.world.Rec.At(conn.First())})
	if bad != 0 {
		e.wrong(conn.From(), "", fmt.Sprintf("a call that is answered %d", bad))
		return e.plain(a, bad, 0, false)
	}
	verdicts := make([]verdict, len(items))
	worst, took := time.Duration(0), time.Duration(0)
	for i, x := range items {
		var class int
		verdicts[i], class = e.world.Ledger.arrive(x.ID, e.Partner.Cell, x.Body, e.world.Rules.Attempts, now)
		switch verdicts[i] {
		case unknown:
			e.wrong(conn.From(), x.ID, "a message that no client handed in in this form")
			return e.plain(a, http.StatusBadRequest, 0, false)
		case elsewhere:
			e.wrong(conn.From(), x.ID, fmt.Sprintf("a message of another destination, at %d", e.Partner.Cell))
			return e.plain(a, http.StatusBadRequest, 0, false)
		}
		t := Classes()[class].Took
		took = t[0] + time.Duration(e.Partner.draw()*float64(t[1]-t[0]))
		worst = max(worst, took)
	}
	if surplus {
		a.last = true
		return e.plain(a, http.StatusServiceUnavailable, 0, false)
	}
	if r := e.Partner.admit(conn.From(), now); r.away || fell {
		if r.wait > 0 {
			a.wait = r.wait
			return e.plain(a, http.StatusTooManyRequests, r.wait, !fell)
		}
		return e.plain(a, http.StatusServiceUnavailable, 0, !fell)
	}
	if !batch {
		switch verdicts[0] {
		case overdue:
			a.over = ids
			return e.plain(a, http.StatusGone, 0, true)
		case tooMany:
			return e.plain(a, http.StatusGatewayTimeout, 0, true)
		}
	}
	if !e.enter(ctx) {
		if ctx.Err() != nil {
			return a
		}
		return e.plain(a, http.StatusServiceUnavailable, 0, true)
	}
	defer func() { <-e.slots }()
	if spell.Silent {
		<-ctx.Done()
		return a
	}
	worst += worst / 10 * time.Duration(len(items)-1)
	if !Pause(ctx, time.Duration(float64(worst)*e.Partner.Pace*max(1, spell.Slow))) && e.Partner.draw() < 0.5 {
		return a // called off, and it stopped in time
	}
	fails := e.Partner.draw() < spell.Fail
	if fails && e.Partner.draw() < 0.5 {
		return e.plain(a, http.StatusInternalServerError, 0, true)
	}
	for i, x := range items {
		if verdicts[i] == callable || verdicts[i] == again || verdicts[i] == twice {
			e.world.Rec.Put(history.Event{Kind: history.Ran, Call: a.call, Endpoint: e.ID, Msg: x.ID})
		}
	}
	if fails {
		return e.plain(a, http.StatusInternalServerError, 0, true)
	}
	if e.Partner.draw() < spell.Lose {
		a.reset = true
		return a
	}
	if e.Partner.draw() < spell.Spoil {
		return e.spoilt(a, items, batch)
	}
	if !batch {
		a.reached = ids
		return e.plain(a, http.StatusOK, 0, true)
	}
	return e.each(a, items, verdicts)
}

// items reads what a call carries, or says by which status it is refused.
func (e *Endpoint) items(req *http.Request, body []byte) (items []item, batch bool, bad int) {
	switch {
	case req.Method != http.MethodPost:
		return nil, false, http.StatusMethodNotAllowed
	case len(body) > bodyMost:
		return nil, false, http.StatusRequestEntityTooLarge
	case req.URL.Path == "/v1/messages":
		return []item{{req.Header.Get("X-Request-ID"), body}}, false, 0
	case req.URL.Path != "/v1/messages:batch":
		return nil, false, http.StatusNotFound
	}
	if json.Unmarshal(body, &items) != nil || len(items) == 0 {
		return nil, true, http.StatusBadRequest
	}
	if len(items) > max(1, e.Batch) || len(items) > itemsMost {
		return items, true, http.StatusRequestEntityTooLarge
	}
	seen := map[string]bool{}
	for _, x := range items {
		if seen[x.ID] {
			return items, true, http.StatusBadRequest
		}
		seen[x.ID] = true
	}
	return items, true, 0
}

func (e *Endpoint) wrong(relay, msg, text string) {
	e.world.Rec.Put(history.Event{Kind: history.Wrong, Relay: relay, Endpoint: e.ID, Msg: msg, Text: text})
}

// enter takes one of the endpoint's servers, or a place in its queue until one
// is free; false where both are full or the call is called off.
func (e *Endpoint) enter(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	full := e.waiting >= e.Queue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		return false
	}
	defer func() { e.mu.Lock(); e.waiting--; e.mu.Unlock() }()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) header(status int, wait time.Duration, reports bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if wait > 0 {
		fmt.Fprintf(&b, retryAfter, math.Ceil(wait.Seconds()*1000)/1000)
	}
	if reports {
		x0, x1 := e.Partner.report(time.Now())
		fmt.Fprintf(&b, "X-Server-Load: x0=%.3f,x1=%.2f\r\n", x0, x1)
	}
	return b.Bytes()
}

func (e *Endpoint) plain(a answer, status int, wait time.Duration, reports bool) answer {
	a.status = status
	a.text = e.header(status, wait, reports)
	if a.last {
		a.text = append(a.text, "Connection: close\r\n"...)
	}
	a.text = append(a.text, "Content-Length: 0\r\n\r\n"...)
	return a
}

// each answers a batch message by message.
func (e *Endpoint) each(a answer, items []item, verdicts []verdict) answer {
	words := map[verdict]string{callable: "accepted", again: "accepted", twice: "accepted", overdue: "expired", tooMany: "no_more"}
	out := make([]map[string]string, len(items))
	for i, x := range items {
		word := words[verdicts[i]]
		a.states = append(a.states, word)
		out[i] = map[string]string{"id": x.ID, "state": word}
		switch word {
		case "accepted":
			a.reached = append(a.reached, x.ID)
		case "expired":
			a.over = append(a.over, x.ID)
		}
	}
	text, _ := json.Marshal(out) // strings alone: cannot fail
	a.status = http.StatusOK
	a.text = append(e.header(http.StatusOK, 0, true), fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)...)
	return a
}

// spoilt answers what cannot be read. For one message a first line that still
// reads 200 is true all the same.
func (e *Endpoint) spoilt(a answer, items []item, batch bool) answer {
	a.last = true
	if !batch && e.Partner.draw() < 0.5 {
		a.status, a.reached = http.StatusOK, []string{items[0].ID}
		a.text = []byte("HTTP/1.1 200 OK\r\nContent-Length: x\x00\r\n\r\n")
		return a
	}
	a.text = []byte("HTQP/1,1 2\xff0 \r\n\r\n\r\n")
	return a
}

// CallsIn reads the ids of the call that a relay wrote on a connection, and
// whether it wrote all of it.
func CallsIn(written []byte) (ids []string, whole bool) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(written)))
	if err != nil {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, bodyMost+1))
	if err != nil {
		return nil, false
	}
	if req.URL.Path != "/v1/messages:batch" {
		return []string{req.Header.Get("X-Request-ID")}, true
	}
	var items []item
	if json.Unmarshal(body, &items) != nil {
		return nil, true
	}
	for _, x := range items {
		ids = append(ids, x.ID)
	}
	return ids, true
}

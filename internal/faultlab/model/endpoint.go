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
	maxBody          = 64 << 10
	maxItems         = 64 // of a batch that is read at all
	retryAfterHeader = "Retry-After: %.3f\r\n"
)

// Endpoint is one server of a partner.
type Endpoint struct {
	ID          string
	Zone        string
	Upstream    *Upstream
	Servers     int // calls that it serves at once
	QueueSize   int // that wait beyond those
	MaxConns    int // connections that it holds, idle ones counted
	MaxBatch    int
	IdleTimeout time.Duration
	world       *World
	listener    net.Listener

	mu      sync.Mutex
	fault   Fault
	isDown  bool
	conns   map[net.Conn]struct{}
	waiting int
	servers chan struct{}
}

// World is what all stand-ins of a run share.
type World struct {
	Recorder    *history.Recorder
	Ledger      *Ledger
	Net         *link.Net
	Rules       Rules
	OnDelivered func(class int, after time.Duration) // hears of each first delivery; may be nil
	calls       atomic.Int64
}

// recordDelivery books that a relay has heard that a message is delivered.
func (w *World) recordDelivery(id string) {
	var class int
	var due time.Time
	w.Ledger.update(id, func(m *Message) {
		if !m.Delivered {
			class, due = m.Class, m.Due
		}
		m.Delivered, m.Completed = true, true
	})
	if w.OnDelivered != nil && !due.IsZero() {
		w.OnDelivered(class, time.Since(due))
	}
}

// Serve starts an endpoint at addr; it ends with ctx.
func (e *Endpoint) Serve(ctx context.Context, w *World, addr string, done *sync.WaitGroup) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.ID, err)
	}
	e.world, e.listener, e.conns = w, ln, map[net.Conn]struct{}{}
	e.servers = make(chan struct{}, e.Servers)
	e.Upstream.mu.Lock()
	e.Upstream.endpoints++
	e.Upstream.mu.Unlock()
	context.AfterFunc(ctx, func() {
		ln.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for c := range e.conns {
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
			e.conns[c] = struct{}{}
			surplus := len(e.conns) > e.MaxConns
			e.mu.Unlock()
			done.Add(1)
			go func() {
				defer done.Done()
				e.serveConn(ctx, c, surplus)
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
			}()
		}
	}()
	return nil
}

// Addr is where it listens.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// SetFault puts a trouble on this endpoint alone.
func (e *Endpoint) SetFault(s Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = s
}

// SetDown books that its process is gone or back; its links do the refusing.
func (e *Endpoint) SetDown(on bool) {
	e.mu.Lock()
	was := e.isDown
	e.isDown = on
	e.mu.Unlock()
	if was != on {
		e.Upstream.setEndpointDown(on)
	}
}

// serveConn serves one connection, and owns it.
func (e *Endpoint) serveConn(ctx context.Context, c net.Conn, surplus bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	var sent int64
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(e.IdleTimeout))
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
		own := e.fault
		e.mu.Unlock()
		spell, fell := e.Upstream.faultFor(own)
		if spell.Reset > 0 && e.Upstream.drawFloat() < spell.Reset {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
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
		conn.OnClientClosed(func() { e.world.Recorder.Record(history.Event{Kind: history.CallAborted, Call: id}) })
		a := e.call(called, id, conn, req, body, spell, fell, surplus)
		ended := called.Err() != nil
		cancel()
		if ended || a.text == nil {
			e.world.Recorder.Record(history.Event{Kind: history.CallBroken, Call: a.call, Endpoint: e.ID})
			if a.reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			<-peeked
			return
		}
		sent += int64(len(a.text))
		e.world.Recorder.Record(history.Event{Kind: history.ResponseSent, Call: a.call, Endpoint: e.ID, Status: a.status, RetryAfter: a.wait.Microseconds(), States: a.states})
		conn.OnDelivered(sent, func(time.Time) {
			for _, id := range a.reached {
				e.world.recordDelivery(id)
			}
			for _, id := range a.over {
				e.world.Ledger.Complete(id)
			}
			e.world.Recorder.Record(history.Event{Kind: history.ResponseReceived, Call: a.call})
		})
		c.SetReadDeadline(time.Now().Add(e.IdleTimeout))
		if _, err := c.Write(a.text); err != nil || a.last {
			c.Close()
		}
		<-peeked
	}
}

// response is what comes back for a call.
type response struct {
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
func (e *Endpoint) call(ctx context.Context, id int64, conn *link.Conn, req *http.Request, body []byte, spell Fault, fell, surplus bool) response {
	now := time.Now()
	a := response{call: id}
	items, batch, bad := e.parseItems(req, body)
	ids := make([]string, len(items))
	for i, x := range items {
		ids[i] = x.ID
	}
	e.world.Recorder.Record(history.Event{Kind: history.CallReceived, Call: a.call, Relay: conn.Source(), Endpoint: e.ID, Destination: e.Upstream.Destination,
		Messages: ids, SentAt: e.world.Recorder.At(conn.FirstByteAt())})
	if bad != 0 {
		e.recordInvalidCall(conn.Source(), "", fmt.Sprintf("a call that is answered %d", bad))
		return e.plainResponse(a, bad, 0, false)
	}
	verdicts := make([]callVerdict, len(items))
	worst, took := time.Duration(0), time.Duration(0)
	for i, x := range items {
		var class int
		verdicts[i], class = e.world.Ledger.receive(x.ID, e.Upstream.Destination, x.Body, e.world.Rules.MaxAttempts, now)
		switch verdicts[i] {
		case unknownMessage:
			e.recordInvalidCall(conn.Source(), x.ID, "a message that no client handed in in this form")
			return e.plainResponse(a, http.StatusBadRequest, 0, false)
		case wrongDestination:
			e.recordInvalidCall(conn.Source(), x.ID, fmt.Sprintf("a message of another destination, at %d", e.Upstream.Destination))
			return e.plainResponse(a, http.StatusBadRequest, 0, false)
		}
		t := Classes()[class].ServiceTime
		took = t[0] + time.Duration(e.Upstream.drawFloat()*float64(t[1]-t[0]))
		worst = max(worst, took)
	}
	if surplus {
		a.last = true
		return e.plainResponse(a, http.StatusServiceUnavailable, 0, false)
	}
	if r := e.Upstream.admit(conn.Source(), now); r.rejected || fell {
		if r.retryAfter > 0 {
			a.wait = r.retryAfter
			return e.plainResponse(a, http.StatusTooManyRequests, r.retryAfter, !fell)
		}
		return e.plainResponse(a, http.StatusServiceUnavailable, 0, !fell)
	}
	if !batch {
		switch verdicts[0] {
		case expired:
			a.over = ids
			return e.plainResponse(a, http.StatusGone, 0, true)
		case attemptsExhausted:
			return e.plainResponse(a, http.StatusGatewayTimeout, 0, true)
		}
	}
	if !e.acquireServer(ctx) {
		if ctx.Err() != nil {
			return a
		}
		return e.plainResponse(a, http.StatusServiceUnavailable, 0, true)
	}
	defer func() { <-e.servers }()
	if spell.Silent {
		<-ctx.Done()
		return a
	}
	worst += worst / 10 * time.Duration(len(items)-1)
	if !Sleep(ctx, time.Duration(float64(worst)*e.Upstream.LatencyFactor*max(1, spell.Slow))) && e.Upstream.drawFloat() < 0.5 {
		return a // called off, and it stopped in time
	}
	fails := e.Upstream.drawFloat() < spell.Fail
	if fails && e.Upstream.drawFloat() < 0.5 {
		return e.plainResponse(a, http.StatusInternalServerError, 0, true)
	}
	for i, x := range items {
		if verdicts[i] == callable || verdicts[i] == duplicate || verdicts[i] == unsafeDuplicate {
			e.world.Recorder.Record(history.Event{Kind: history.MessageExecuted, Call: a.call, Endpoint: e.ID, Message: x.ID})
		}
	}
	if fails {
		return e.plainResponse(a, http.StatusInternalServerError, 0, true)
	}
	if e.Upstream.drawFloat() < spell.LoseResponse {
		a.reset = true
		return a
	}
	if e.Upstream.drawFloat() < spell.CorruptResponse {
		return e.corruptResponse(a, items, batch)
	}
	if !batch {
		a.reached = ids
		return e.plainResponse(a, http.StatusOK, 0, true)
	}
	return e.batchResponse(a, items, verdicts)
}

// parseItems reads what a call carries, or says by which status it is refused.
func (e *Endpoint) parseItems(req *http.Request, body []byte) (items []item, batch bool, bad int) {
	switch {
	case req.Method != http.MethodPost:
		return nil, false, http.StatusMethodNotAllowed
	case len(body) > maxBody:
		return nil, false, http.StatusRequestEntityTooLarge
	case req.URL.Path == "/v1/messages":
		return []item{{req.Header.Get("X-Request-ID"), body}}, false, 0
	case req.URL.Path != "/v1/messages:batch":
		return nil, false, http.StatusNotFound
	}
	if json.Unmarshal(body, &items) != nil || len(items) == 0 {
		return nil, true, http.StatusBadRequest
	}
	if len(items) > max(1, e.MaxBatch) || len(items) > maxItems {
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

func (e *Endpoint) recordInvalidCall(relay, msg, text string) {
	e.world.Recorder.Record(history.Event{Kind: history.InvalidCall, Relay: relay, Endpoint: e.ID, Message: msg, Text: text})
}

// acquireServer takes one of the endpoint's servers, or a place in its queue until one
// is free; false where both are full or the call is called off.
func (e *Endpoint) acquireServer(ctx context.Context) bool {
	select {
	case e.servers <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	full := e.waiting >= e.QueueSize
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		return false
	}
	defer func() { e.mu.Lock(); e.waiting--; e.mu.Unlock() }()
	select {
	case e.servers <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) header(status int, wait time.Duration, reports bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if wait > 0 {
		fmt.Fprintf(&b, retryAfterHeader, math.Ceil(wait.Seconds()*1000)/1000)
	}
	if reports {
		x0, x1 := e.Upstream.loadReport(time.Now())
		fmt.Fprintf(&b, "X-Server-Load: x0=%.3f,x1=%.2f\r\n", x0, x1)
	}
	return b.Bytes()
}

func (e *Endpoint) plainResponse(a response, status int, wait time.Duration, reports bool) response {
	a.status = status
	a.text = e.header(status, wait, reports)
	if a.last {
		a.text = append(a.text, "Connection: close\r\n"...)
	}
	a.text = append(a.text, "Content-Length: 0\r\n\r\n"...)
	return a
}

// batchResponse answers a batch message by message.
func (e *Endpoint) batchResponse(a response, items []item, verdicts []callVerdict) response {
	words := map[callVerdict]string{callable: "accepted", duplicate: "accepted", unsafeDuplicate: "accepted", expired: "expired", attemptsExhausted: "no_more"}
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

// corruptResponse answers what cannot be read. For one message a first line that still
// reads 200 is true all the same.
func (e *Endpoint) corruptResponse(a response, items []item, batch bool) response {
	a.last = true
	if !batch && e.Upstream.drawFloat() < 0.5 {
		a.status, a.reached = http.StatusOK, []string{items[0].ID}
		a.text = []byte("HTTP/1.1 200 OK\r\nContent-Length: x\x00\r\n\r\n")
		return a
	}
	a.text = []byte("HTQP/1,1 2\xff0 \r\n\r\n\r\n")
	return a
}

// ParseCall reads the ids of the call that a relay wrote on a connection, and
// whether it wrote all of it.
func ParseCall(written []byte) (ids []string, complete bool) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(written)))
	if err != nil {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
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

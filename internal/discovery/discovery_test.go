package discovery_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// watchList runs a watch until the test ends, and returns the channel of its updates.
// The watch fails after receiving nothing for silence.
func watchList(t *testing.T, d *discoverytest.Server, silence time.Duration) chan *discovery.List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	updates, done := make(chan *discovery.List, 64), make(chan struct{})
	x := discovery.NewWatch(d.Addr(), 1, slog.New(slog.DiscardHandler), func(l *discovery.List) { updates <- l })
	x.Tune(silence, 100*time.Millisecond, nil)
	go func() { defer close(done); x.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return updates
}

func next(t *testing.T, updates chan *discovery.List) *discovery.List {
	t.Helper()
	select {
	case l := <-updates:
		return l
	case <-time.After(30 * time.Second):
		t.Fatal("no update was delivered within 30 s")
		return nil
	}
}

// Changes are delivered after the complete list. After a broken connection the
// watch resumes from the revision that was reached, and after a malformed update
// the complete list is fetched again.
func TestWatch(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	d := discoverytest.New(t, m)
	updates := watchList(t, d, time.Minute)
	if l := next(t, updates); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("the first list is %+v", l)
	}
	m.Phase = discovery.Draining
	d.Send(t, discoverytest.Change(2, m))
	if l := next(t, updates); l.Revision != 2 || l.Complete || l.Members[0].Phase != discovery.Draining {
		t.Fatalf("the change is %+v", l)
	}
	d.Set(func(d *discoverytest.Server) { close(d.Lines[0]) }) // the connection ends
	discoverytest.WaitFor(t, "a second watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 2 })
	d.Mu.Lock()
	from, fetches := d.Froms[1], d.Fetches
	d.Mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("the watch resumes from revision %s after %d fetches, want 2 after 1", from, fetches)
	}
	for i, bad := range []string{`{"revision":3,"members":[{"id":"s-1"`, `{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		d.Send(t, bad)
		if l := next(t, updates); !l.Complete {
			t.Fatalf("after malformed line %d the list is not complete: %+v", i, l)
		}
		discoverytest.WaitFor(t, "a further watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 3+i })
	}
}

// Updates that are indented over several lines are applied like any other. Guards
// against taking them for malformed, which would fetch the complete list.
func TestWatchIndented(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	d := discoverytest.New(t, m)
	updates := watchList(t, d, time.Minute)
	next(t, updates)
	m.Phase = discovery.Draining
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(discoverytest.Change(2, m)), "", "  "); err != nil {
		t.Fatal(err)
	}
	d.Send(t, text.String())
	if l := next(t, updates); l.Revision != 2 || l.Complete || l.Members[0].Phase != discovery.Draining {
		t.Fatalf("the indented change is %+v", l)
	}
	m.Phase = discovery.Up
	d.Send(t, "\n"+text.String()+"\n"+discoverytest.Change(3, m))
	next(t, updates)
	if l := next(t, updates); l.Revision != 3 {
		t.Fatalf("the last change is %+v", l)
	}
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Fetches != 1 || len(d.Froms) != 1 {
		t.Errorf("%d fetches, %d watches, want one of each", d.Fetches, len(d.Froms))
	}
}

// Guards against a revision that goes back: a change older than the known list
// cannot be applied, and the complete list is fetched again.
func TestWatchGoesBack(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	d := discoverytest.New(t, m)
	updates := watchList(t, d, time.Minute)
	next(t, updates)
	d.Send(t, discoverytest.Change(5, m))
	next(t, updates)
	gone := m
	gone.Phase = discovery.Removed
	d.Send(t, discoverytest.Change(3, gone))
	if l := next(t, updates); !l.Complete {
		t.Fatalf("after a change with an older revision the list is not complete: %+v", l)
	}
}

// Guards against staying on a dead connection: a watch on which nothing is
// received, not even a keepalive, is closed and reopened.
func TestSilentWatch(t *testing.T) {
	d := discoverytest.New(t, discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up})
	updates := watchList(t, d, 100*time.Millisecond)
	next(t, updates)
	discoverytest.WaitFor(t, "a second watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) >= 2 })
}

// Notices are sent until they are acknowledged. One that the agent rejects as
// malformed is not sent again, and does not hold up the others.
func TestNotices(t *testing.T) {
	d := discoverytest.New(t)
	d.Set(func(d *discoverytest.Server) { d.Answer = http.StatusInternalServerError })
	acknowledged := make(chan string, 16)
	n := discovery.NewNotices(d.Addr(), slog.New(slog.DiscardHandler), func(id string) { acknowledged <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	defer func() { cancel(); <-done }()
	n.Put(discovery.Notice{Message: "a", Outcome: discovery.Failed, RetryMS: 0})
	n.Put(discovery.Notice{Message: "b", Outcome: discovery.Returned, RetryMS: 500})
	select {
	case id := <-acknowledged:
		t.Fatalf("notice %s counts as acknowledged after status 500", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.Set(func(d *discoverytest.Server) { d.Answer = http.StatusNoContent })
	for range 2 {
		<-acknowledged
	}
	if b, _ := d.Notice("b"); b != (discovery.Notice{Message: "b", Outcome: discovery.Returned, RetryMS: 500}) {
		t.Errorf("the agent has received %+v as notice b", b)
	}
	d.Set(func(d *discoverytest.Server) { d.Answer = http.StatusBadRequest })
	n.Put(discovery.Notice{Message: "c", Outcome: discovery.Failed, RetryMS: 0})
	if id := <-acknowledged; id != "c" {
		t.Errorf("notice %s is reported in place of c", id)
	}
}

// Guards against late notices: if the idle connection to the agent no longer
// responds, the first retry comes soon enough for the notice to be in time.
func TestNoticeOnSilentConnection(t *testing.T) {
	var attempts atomic.Int32
	addr := rawAgent(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if attempts.Add(1) != 2 {
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
	})
	acknowledged := make(chan string, 4)
	n := discovery.NewNotices(addr, slog.New(slog.DiscardHandler), func(id string) { acknowledged <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, id := range []string{"a", "b"} {
		n.Put(discovery.Notice{Message: id, Outcome: discovery.Failed, RetryMS: 0})
		if got := <-acknowledged; got != id {
			t.Fatalf("notice %s is acknowledged in place of %s", got, id)
		}
	}
	if got := attempts.Load(); got != 3 {
		t.Errorf("the agent received %d calls, want 3", got)
	}
	if discovery.NoticeAgain >= 300*time.Millisecond {
		t.Error("the first retry of a notice comes after 300 ms or more")
	}
}

// Guards against missing drains after a change of address: a backoff that began
// because of the old address ends when the address changes.
func TestMoveEndsPause(t *testing.T) {
	old, now := discoverytest.New(t), discoverytest.New(t)
	old.Set(func(d *discoverytest.Server) { d.RejectCalls = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	x := discovery.NewWatch(old.Addr(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {})
	x.Known = &discovery.List{Revision: 7, Complete: true, Members: []discovery.Member{}}
	x.Tune(0, 0, func() float64 { return 1000 }) // every backoff would outlast the test
	rejected, done := make(chan bool, 4), make(chan struct{})
	x.OnRejected = func() { rejected <- true }
	go func() { defer close(done); x.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-rejected
	x.SetAddress(now.Addr())
	discoverytest.WaitFor(t, "a watch at the new address", func() bool { now.Mu.Lock(); defer now.Mu.Unlock(); return len(now.Froms) == 1 })
}

// A relay whose known list is valid starts with a watch from that list's revision,
// and otherwise fetches the complete list first. When the first call is delayed for
// long, OnRejected is called, so that the relay can serve meanwhile.
func TestWatchFromKnown(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}
	for _, known := range []*discovery.List{{Revision: 7, Complete: true, Members: []discovery.Member{m}}, {Revision: 7, Members: []discovery.Member{m}},
		{Revision: 7, Complete: true, Members: []discovery.Member{{ID: "s-2", Phase: "asleep"}}}} {
		d := discoverytest.New(t, m)
		ctx, cancel := context.WithCancel(context.Background())
		x := discovery.NewWatch(d.Addr(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {})
		x.Known = known
		x.Tune(0, time.Second, func() float64 { return 1 })
		delayed, done := make(chan bool, 1), make(chan struct{})
		x.OnRejected = func() { delayed <- true }
		go func() { defer close(done); x.Run(ctx) }()
		<-delayed
		discoverytest.WaitFor(t, "a watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 1 })
		cancel()
		<-done
		if sound := known.Valid(); sound && (d.Fetches != 0 || d.Froms[0] != "7") || !sound && d.Fetches != 1 {
			t.Errorf("known list %+v: %d fetches, then a watch from revision %s", known, d.Fetches, d.Froms[0])
		}
	}
}

// A rejected watch is retried from its revision, without fetching the complete list
// again.
func TestWatchTurnedAway(t *testing.T) {
	d := discoverytest.New(t, discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up})
	d.Set(func(d *discoverytest.Server) { d.RejectCalls = 2 })
	next(t, watchList(t, d, time.Minute))
	discoverytest.WaitFor(t, "a watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 1 })
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Fetches != 1 || d.Froms[0] != "1" || d.RejectCalls != 0 {
		t.Errorf("%d fetches, then watches from %v, want 1 fetch, then from 1; %d calls were not rejected yet", d.Fetches, d.Froms, d.RejectCalls)
	}
}

// rawAgent listens until the test ends, serves each connection with serve on a
// goroutine of its own, and returns the address.
func rawAgent(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	return ln.Addr().String()
}

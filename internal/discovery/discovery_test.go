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

// watchList runs discovery and hands on what it hears.
func watchList(t *testing.T, d *discoverytest.Server, silence time.Duration) chan *discovery.List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	news, done := make(chan *discovery.List, 64), make(chan struct{})
	x := discovery.NewWatch(d.Addr(), 1, slog.New(slog.DiscardHandler), func(l *discovery.List) { news <- l })
	x.Tune(silence, 100*time.Millisecond, nil)
	go func() { defer close(done); x.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return news
}

func next(t *testing.T, news chan *discovery.List) *discovery.List {
	t.Helper()
	select {
	case l := <-news:
		return l
	case <-time.After(30 * time.Second):
		t.Fatal("no news")
		return nil
	}
}

// Changes follow the whole list; after a break the watch goes on from the
// version that was reached, and a line that cannot be read makes the whole
// list be fetched again.
func TestWatch(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	d := discoverytest.New(t, m)
	news := watchList(t, d, time.Minute)
	if l := next(t, news); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("first %+v", l)
	}
	m.Phase = discovery.Draining
	d.Send(t, discoverytest.Change(2, m))
	if l := next(t, news); l.Revision != 2 || l.Complete || l.Members[0].Phase != discovery.Draining {
		t.Fatalf("then %+v", l)
	}
	d.Set(func(d *discoverytest.Server) { close(d.Lines[0]) }) // the connection ends
	discoverytest.WaitFor(t, "a second watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 2 })
	d.Mu.Lock()
	from, fetches := d.Froms[1], d.Fetches
	d.Mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("goes on from %s after %d fetches", from, fetches)
	}
	for i, bad := range []string{`{"revision":3,"members":[{"id":"s-1"`, `{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		d.Send(t, bad)
		if l := next(t, news); !l.Complete {
			t.Fatalf("after line %d: %+v", i, l)
		}
		discoverytest.WaitFor(t, "a further watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 3+i })
	}
}

// Guards against lists that come indented over several lines: they are news like
// any other, and no reason to ask for the whole list.
func TestWatchIndented(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	d := discoverytest.New(t, m)
	news := watchList(t, d, time.Minute)
	next(t, news)
	m.Phase = discovery.Draining
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(discoverytest.Change(2, m)), "", "  "); err != nil {
		t.Fatal(err)
	}
	d.Send(t, text.String())
	if l := next(t, news); l.Revision != 2 || l.Complete || l.Members[0].Phase != discovery.Draining {
		t.Fatalf("then %+v", l)
	}
	m.Phase = discovery.Up
	d.Send(t, "\n"+text.String()+"\n"+discoverytest.Change(3, m))
	next(t, news)
	if l := next(t, news); l.Revision != 3 {
		t.Fatalf("at last %+v", l)
	}
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Fetches != 1 || len(d.Froms) != 1 {
		t.Errorf("%d fetches, %d watches, want one of each", d.Fetches, len(d.Froms))
	}
}

// Guards against a version that goes back: a change from before what is known
// fits nothing, and the whole list is had again.
func TestWatchGoesBack(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	d := discoverytest.New(t, m)
	news := watchList(t, d, time.Minute)
	next(t, news)
	d.Send(t, discoverytest.Change(5, m))
	next(t, news)
	gone := m
	gone.Phase = discovery.Removed
	d.Send(t, discoverytest.Change(3, gone))
	if l := next(t, news); !l.Complete {
		t.Fatalf("then %+v", l)
	}
}

// Guards against a watch that is open and dead: one that sends nothing, not
// even an empty line, is given up.
func TestSilentWatch(t *testing.T) {
	d := discoverytest.New(t, discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up})
	news := watchList(t, d, 100*time.Millisecond)
	next(t, news)
	discoverytest.WaitFor(t, "a second watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) >= 2 })
}

// Notices are sent until they are taken; one that cannot be read does not hold
// up the others.
func TestNotices(t *testing.T) {
	d := discoverytest.New(t)
	d.Set(func(d *discoverytest.Server) { d.Answer = http.StatusInternalServerError })
	taken := make(chan string, 16)
	n := discovery.NewNotices(d.Addr(), slog.New(slog.DiscardHandler), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	defer func() { cancel(); <-done }()
	n.Put(discovery.Notice{Message: "a", Outcome: discovery.Failed, RetryMS: 0})
	n.Put(discovery.Notice{Message: "b", Outcome: discovery.Returned, RetryMS: 500})
	select {
	case id := <-taken:
		t.Fatalf("%s held to be told", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.Set(func(d *discoverytest.Server) { d.Answer = http.StatusNoContent })
	for range 2 {
		<-taken
	}
	if b, _ := d.Notice("b"); b != (discovery.Notice{Message: "b", Outcome: discovery.Returned, RetryMS: 500}) {
		t.Errorf("told %+v", b)
	}
	d.Set(func(d *discoverytest.Server) { d.Answer = http.StatusBadRequest })
	n.Put(discovery.Notice{Message: "c", Outcome: discovery.Failed, RetryMS: 0})
	if id := <-taken; id != "c" {
		t.Errorf("%s in place of c", id)
	}
}

// Guards the time of a notice: where the connection that was kept to the agent
// has gone silent, a second try comes soon enough for the notice to be in time.
func TestNoticeOnSilentConnection(t *testing.T) {
	var tries atomic.Int32
	addr := rawAgent(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if tries.Add(1) != 2 {
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
	})
	taken := make(chan string, 4)
	n := discovery.NewNotices(addr, slog.New(slog.DiscardHandler), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, id := range []string{"a", "b"} {
		n.Put(discovery.Notice{Message: id, Outcome: discovery.Failed, RetryMS: 0})
		if got := <-taken; got != id {
			t.Fatalf("%s in place of %s", got, id)
		}
	}
	if got := tries.Load(); got != 3 {
		t.Errorf("%d tries, want 3", got)
	}
	if discovery.NoticeAgain >= 300*time.Millisecond {
		t.Error("a second try would be late")
	}
}

// Guards word of a drain across a move: what is put off at the old address is
// not put off at the new one.
func TestMoveEndsPause(t *testing.T) {
	old, now := discoverytest.New(t), discoverytest.New(t)
	old.Set(func(d *discoverytest.Server) { d.RejectCalls = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	x := discovery.NewWatch(old.Addr(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {})
	x.Known = &discovery.List{Revision: 7, Complete: true, Members: []discovery.Member{}}
	x.Tune(0, 0, func() float64 { return 1000 }) // pauses outlast the test
	pausing, done := make(chan bool, 4), make(chan struct{})
	x.OnRejected = func() { pausing <- true }
	go func() { defer close(done); x.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-pausing
	x.SetAddress(now.Addr())
	discoverytest.WaitFor(t, "a watch at the new address", func() bool { now.Mu.Lock(); defer now.Mu.Unlock(); return len(now.Froms) == 1 })
}

// A start costs discovery one call where the list in the configuration can be
// used, and that call may be put off; the relay is told, so that it serves.
func TestWatchFromKnown(t *testing.T) {
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}
	for _, known := range []*discovery.List{{Revision: 7, Complete: true, Members: []discovery.Member{m}}, {Revision: 7, Members: []discovery.Member{m}},
		{Revision: 7, Complete: true, Members: []discovery.Member{{ID: "s-2", Phase: "asleep"}}}} {
		d := discoverytest.New(t, m)
		ctx, cancel := context.WithCancel(context.Background())
		x := discovery.NewWatch(d.Addr(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {})
		x.Known = known
		x.Tune(0, time.Second, func() float64 { return 1 })
		putOff, done := make(chan bool, 1), make(chan struct{})
		x.OnRejected = func() { putOff <- true }
		go func() { defer close(done); x.Run(ctx) }()
		<-putOff
		discoverytest.WaitFor(t, "a watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 1 })
		cancel()
		<-done
		if sound := known.Valid(); sound && (d.Fetches != 0 || d.Froms[0] != "7") || !sound && d.Fetches != 1 {
			t.Errorf("%+v: %d fetches, watch from %s", known, d.Fetches, d.Froms[0])
		}
	}
}

// A watch that is turned away goes on from where it was: the whole list is not
// asked for again.
func TestWatchTurnedAway(t *testing.T) {
	d := discoverytest.New(t, discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up})
	d.Set(func(d *discoverytest.Server) { d.RejectCalls = 2 })
	next(t, watchList(t, d, time.Minute))
	discoverytest.WaitFor(t, "a watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Froms) == 1 })
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Fetches != 1 || d.Froms[0] != "1" || d.RejectCalls != 0 {
		t.Errorf("%d fetches, then from %v; %d calls left to turn away", d.Fetches, d.Froms, d.RejectCalls)
	}
}

// rawAgent serves connections by hand.
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

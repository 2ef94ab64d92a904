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

// startWatch runs a watch until the test ends, and returns the channel of its updates.
// The watch fails if it receives nothing for the duration silence.
func startWatch(t *testing.T, agent *discoverytest.Server, silence time.Duration) chan *discovery.List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	updates, done := make(chan *discovery.List, 64), make(chan struct{})
	watch := discovery.NewWatch(agent.Addr(), 1, slog.New(slog.DiscardHandler), func(l *discovery.List) { updates <- l })
	watch.Tune(silence, 100*time.Millisecond, nil)
	go func() { defer close(done); watch.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return updates
}

func nextUpdate(t *testing.T, updates chan *discovery.List) *discovery.List {
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
func TestWatchResumesFromRevisionAndRefetchesAfterMalformedUpdate(t *testing.T) {
	member := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	agent := discoverytest.New(t, member)
	updates := startWatch(t, agent, time.Minute)
	if l := nextUpdate(t, updates); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("the first list is %+v", l)
	}
	member.Phase = discovery.Draining
	agent.Send(t, discoverytest.Change(2, member))
	if l := nextUpdate(t, updates); l.Revision != 2 || l.Complete || l.Members[0].Phase != discovery.Draining {
		t.Fatalf("the change is %+v", l)
	}
	agent.Set(func(agent *discoverytest.Server) { close(agent.Lines[0]) }) // the connection ends
	discoverytest.WaitFor(t, "a second watch", func() bool { agent.Mu.Lock(); defer agent.Mu.Unlock(); return len(agent.Froms) == 2 })
	agent.Mu.Lock()
	from, fetches := agent.Froms[1], agent.Fetches
	agent.Mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("the watch resumes from revision %s after %d fetches, want 2 after 1", from, fetches)
	}
	for i, malformed := range []string{`{"revision":3,"members":[{"id":"s-1"`, `{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		agent.Send(t, malformed)
		if l := nextUpdate(t, updates); !l.Complete {
			t.Fatalf("after malformed line %d the list is not complete: %+v", i, l)
		}
		discoverytest.WaitFor(t, "a further watch", func() bool { agent.Mu.Lock(); defer agent.Mu.Unlock(); return len(agent.Froms) == 3+i })
	}
}

// Updates that are indented over several lines are applied like any other. Guards
// against taking them for malformed, which would fetch the complete list.
func TestWatchAppliesIndentedUpdates(t *testing.T) {
	member := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	agent := discoverytest.New(t, member)
	updates := startWatch(t, agent, time.Minute)
	nextUpdate(t, updates)
	member.Phase = discovery.Draining
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(discoverytest.Change(2, member)), "", "  "); err != nil {
		t.Fatal(err)
	}
	agent.Send(t, text.String())
	if l := nextUpdate(t, updates); l.Revision != 2 || l.Complete || l.Members[0].Phase != discovery.Draining {
		t.Fatalf("the indented change is %+v", l)
	}
	member.Phase = discovery.Up
	agent.Send(t, "\n"+text.String()+"\n"+discoverytest.Change(3, member))
	nextUpdate(t, updates)
	if l := nextUpdate(t, updates); l.Revision != 3 {
		t.Fatalf("the last change is %+v", l)
	}
	agent.Mu.Lock()
	defer agent.Mu.Unlock()
	if agent.Fetches != 1 || len(agent.Froms) != 1 {
		t.Errorf("%d fetches, %d watches, want one of each", agent.Fetches, len(agent.Froms))
	}
}

// Guards against a revision that goes back: a change older than the known list
// cannot be applied, and the complete list is fetched again.
func TestWatchRefetchesAfterRevisionGoesBack(t *testing.T) {
	member := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: discovery.Up}
	agent := discoverytest.New(t, member)
	updates := startWatch(t, agent, time.Minute)
	nextUpdate(t, updates)
	agent.Send(t, discoverytest.Change(5, member))
	nextUpdate(t, updates)
	removed := member
	removed.Phase = discovery.Removed
	agent.Send(t, discoverytest.Change(3, removed))
	if l := nextUpdate(t, updates); !l.Complete {
		t.Fatalf("after a change with an older revision the list is not complete: %+v", l)
	}
}

// Guards against staying on a dead connection: a watch on which nothing is
// received, not even a keepalive, is closed and reopened.
func TestSilentWatchIsReopened(t *testing.T) {
	agent := discoverytest.New(t, discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up})
	updates := startWatch(t, agent, 100*time.Millisecond)
	nextUpdate(t, updates)
	discoverytest.WaitFor(t, "a second watch", func() bool { agent.Mu.Lock(); defer agent.Mu.Unlock(); return len(agent.Froms) >= 2 })
}

// Notices are sent until they are acknowledged. One that the agent rejects as
// malformed is reported like an acknowledged one, so that it does not hold up the
// others.
func TestNoticesAreSentUntilAcknowledged(t *testing.T) {
	agent := discoverytest.New(t)
	agent.Set(func(agent *discoverytest.Server) { agent.Answer = http.StatusInternalServerError })
	acknowledged := make(chan string, 16)
	notices := discovery.NewNotices(agent.Addr(), slog.New(slog.DiscardHandler), func(id string) { acknowledged <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); notices.Run(ctx) }()
	defer func() { cancel(); <-done }()
	notices.Put(discovery.Notice{Message: "a", Outcome: discovery.Failed, RetryMS: 0})
	notices.Put(discovery.Notice{Message: "b", Outcome: discovery.Returned, RetryMS: 500})
	select {
	case id := <-acknowledged:
		t.Fatalf("notice %s counts as acknowledged after status 500", id)
	case <-time.After(50 * time.Millisecond):
	}
	agent.Set(func(agent *discoverytest.Server) { agent.Answer = http.StatusNoContent })
	for range 2 {
		<-acknowledged
	}
	if noticeB, _ := agent.Notice("b"); noticeB != (discovery.Notice{Message: "b", Outcome: discovery.Returned, RetryMS: 500}) {
		t.Errorf("the agent has received %+v as notice b", noticeB)
	}
	agent.Set(func(agent *discoverytest.Server) { agent.Answer = http.StatusBadRequest })
	notices.Put(discovery.Notice{Message: "c", Outcome: discovery.Failed, RetryMS: 0})
	if id := <-acknowledged; id != "c" {
		t.Errorf("notice %s is reported in place of c", id)
	}
}

// Guards against late notices: if the idle connection to the agent no longer
// responds, the first retry comes soon enough for the notice to be in time.
func TestNoticeOnSilentConnectionIsRetriedSoon(t *testing.T) {
	var attempts atomic.Int32
	addr := startRawAgent(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if attempts.Add(1) != 2 {
				io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
	})
	acknowledged := make(chan string, 4)
	notices := discovery.NewNotices(addr, slog.New(slog.DiscardHandler), func(id string) { acknowledged <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); notices.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, id := range []string{"a", "b"} {
		notices.Put(discovery.Notice{Message: id, Outcome: discovery.Failed, RetryMS: 0})
		if got := <-acknowledged; got != id {
			t.Fatalf("notice %s is acknowledged in place of %s", got, id)
		}
	}
	if got := attempts.Load(); got != 3 {
		t.Errorf("the agent received %d calls, want 3", got)
	}
	if discovery.NoticeRetryDelay >= 300*time.Millisecond {
		t.Error("the first retry of a notice comes after 300 ms or more")
	}
}

// Guards against missing drains after a change of address: a backoff that began
// because of the old address ends when the address changes.
func TestChangeOfAddressEndsBackoff(t *testing.T) {
	oldAgent, newAgent := discoverytest.New(t), discoverytest.New(t)
	oldAgent.Set(func(agent *discoverytest.Server) { agent.RejectCalls = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	watch := discovery.NewWatch(oldAgent.Addr(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {})
	watch.Known = &discovery.List{Revision: 7, Complete: true, Members: []discovery.Member{}}
	watch.Tune(0, 0, func() float64 { return 1000 }) // every backoff would outlast the test
	rejected, done := make(chan bool, 4), make(chan struct{})
	watch.OnRejected = func() { rejected <- true }
	go func() { defer close(done); watch.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-rejected
	watch.SetAddress(newAgent.Addr())
	discoverytest.WaitFor(t, "a watch at the new address", func() bool { newAgent.Mu.Lock(); defer newAgent.Mu.Unlock(); return len(newAgent.Froms) == 1 })
}

// A relay whose known list is valid starts with a watch from that list's revision,
// and otherwise fetches the complete list first. When the first call is delayed for
// long, OnRejected is called, so that the relay can serve meanwhile.
func TestWatchStartsFromKnownListOnlyIfValid(t *testing.T) {
	member := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}
	for _, known := range []*discovery.List{{Revision: 7, Complete: true, Members: []discovery.Member{member}}, {Revision: 7, Members: []discovery.Member{member}},
		{Revision: 7, Complete: true, Members: []discovery.Member{{ID: "s-2", Phase: "asleep"}}}} {
		agent := discoverytest.New(t, member)
		ctx, cancel := context.WithCancel(context.Background())
		watch := discovery.NewWatch(agent.Addr(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {})
		watch.Known = known
		watch.Tune(0, time.Second, func() float64 { return 1 })
		delayed, done := make(chan bool, 1), make(chan struct{})
		watch.OnRejected = func() { delayed <- true }
		go func() { defer close(done); watch.Run(ctx) }()
		<-delayed
		discoverytest.WaitFor(t, "a watch", func() bool { agent.Mu.Lock(); defer agent.Mu.Unlock(); return len(agent.Froms) == 1 })
		cancel()
		<-done
		if valid := known.Valid(); valid && (agent.Fetches != 0 || agent.Froms[0] != "7") || !valid && agent.Fetches != 1 {
			t.Errorf("known list %+v: %d fetches, then a watch from revision %s", known, agent.Fetches, agent.Froms[0])
		}
	}
}

// A rejected watch is retried from its revision, without fetching the complete list
// again.
func TestRejectedWatchIsRetriedWithoutRefetch(t *testing.T) {
	agent := discoverytest.New(t, discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up})
	agent.Set(func(agent *discoverytest.Server) { agent.RejectCalls = 2 })
	nextUpdate(t, startWatch(t, agent, time.Minute))
	discoverytest.WaitFor(t, "a watch", func() bool { agent.Mu.Lock(); defer agent.Mu.Unlock(); return len(agent.Froms) == 1 })
	agent.Mu.Lock()
	defer agent.Mu.Unlock()
	if agent.Fetches != 1 || agent.Froms[0] != "1" || agent.RejectCalls != 0 {
		t.Errorf("%d fetches, then watches from %v, want 1 fetch, then from 1; %d calls were not rejected yet", agent.Fetches, agent.Froms, agent.RejectCalls)
	}
}

// startRawAgent listens until the test ends, serves each connection with serve on a
// goroutine of its own, and returns the address.
func startRawAgent(t *testing.T, serve func(net.Conn)) string {
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

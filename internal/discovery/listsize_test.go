package discovery_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// membersWithLongIDs returns members whose ids have 34 characters, the longest planned.
func membersWithLongIDs(count int) []discovery.Member {
	var members []discovery.Member
	for i := range count {
		members = append(members, discovery.Member{ID: fmt.Sprintf("s-%032d", i), HostPort: "127.0.0.1:6379", Locality: "a", Flavor: "agent",
			Cell: i, Phase: discovery.Up, Size: 1})
	}
	return members
}

// A list of 31,000 members with ids of 34 characters, the largest planned, is
// received by a fetch and as an update of the watch, both on one line and indented.
func TestListOfLargestPlannedFleetIsReceived(t *testing.T) {
	t.Parallel()
	const count = 31000
	agent := discoverytest.New(t, membersWithLongIDs(count)...)
	updates := startWatch(t, agent, time.Minute)
	if l := nextUpdate(t, updates); !l.Complete || len(l.Members) != count {
		t.Fatalf("the list has %d members", len(l.Members))
	}
	line, err := json.Marshal(discovery.List{Revision: 2, Complete: true, Members: membersWithLongIDs(count)})
	if err != nil {
		t.Fatal(err)
	}
	if len(line) <= 4<<20 {
		t.Fatalf("the list has only %d bytes, want more than the former limit of 4 MiB", len(line))
	}
	agent.Send(t, string(line))
	if l := nextUpdate(t, updates); l.Revision != 2 || len(l.Members) != count {
		t.Fatalf("the list on one line has revision %d, %d members", l.Revision, len(l.Members))
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, line, "", "  "); err != nil {
		t.Fatal(err)
	}
	agent.Send(t, strings.Replace(indented.String(), `"revision": 2`, `"revision": 3`, 1))
	if l := nextUpdate(t, updates); l.Revision != 3 || len(l.Members) != count {
		t.Fatalf("the indented list has revision %d, %d members", l.Revision, len(l.Members))
	}
	agent.Mu.Lock()
	defer agent.Mu.Unlock()
	if agent.Fetches != 1 || len(agent.Froms) != 1 {
		t.Errorf("%d fetches, %d watches, want one of each", agent.Fetches, len(agent.Froms))
	}
}

// sizedAgent is a discovery agent that serves complete lists of any size, with
// or without a Content-Length, and writes lines on its watches.
type sizedAgent struct {
	mu         sync.Mutex
	list       discovery.List
	sendLength bool
	fetches    []time.Time // times at which the complete list was fetched
	lines      chan string
}

func (a *sizedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		a.mu.Lock()
		a.fetches = append(a.fetches, time.Now())
		text, _ := json.Marshal(a.list) // cannot fail
		sendLength := a.sendLength
		a.mu.Unlock()
		if sendLength {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		} else {
			w.(http.Flusher).Flush()
		}
		w.Write(text)
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case line := <-a.lines:
			fmt.Fprintln(w, line)
		case <-r.Context().Done():
			return
		}
	}
}

// logBuffer collects the text of a log, and can be read while the log is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// A list that is too large is not delivered. It is logged with its size and the
// limit, and fetched again with growing delays, until the next list within the limit
// is delivered.
func TestTooLargeListIsLoggedAndFetchedAgainWithBackoff(t *testing.T) {
	t.Parallel()
	for _, sendLength := range []bool{true, false} {
		t.Run(fmt.Sprintf("length_sent=%v", sendLength), func(t *testing.T) {
			t.Parallel()
			const limit = 4096
			agent := &sizedAgent{list: discovery.List{Revision: 1, Complete: true, Members: membersWithLongIDs(3)}, sendLength: sendLength, lines: make(chan string, 1)}
			srv := httptest.NewServer(agent)
			var log logBuffer
			updates, done := make(chan *discovery.List, 8), make(chan struct{})
			watch := discovery.NewWatch(srv.Listener.Addr().String(), 1, slog.New(slog.NewTextHandler(&log, nil)), func(l *discovery.List) { updates <- l })
			watch.LimitLists(limit)
			ctx, cancel := context.WithCancel(t.Context())
			go func() { defer close(done); watch.Run(ctx) }()
			defer func() { cancel(); <-done; srv.CloseClientConnections(); srv.Close() }()
			nextUpdate(t, updates)

			tooLarge := discovery.List{Revision: 2, Complete: true, Members: membersWithLongIDs(200)}
			text, err := json.Marshal(tooLarge)
			if err != nil {
				t.Fatal(err)
			}
			agent.mu.Lock()
			agent.list = tooLarge
			agent.mu.Unlock()
			agent.lines <- string(text) // the watch rejects it as too large, too, and then fetches the complete list
			discoverytest.WaitFor(t, "three more fetches", func() bool { agent.mu.Lock(); defer agent.mu.Unlock(); return len(agent.fetches) >= 4 })
			agent.mu.Lock()
			fetchTimes := agent.fetches
			agent.list = discovery.List{Revision: 3, Complete: true, Members: membersWithLongIDs(2)}
			agent.mu.Unlock()
			if len(updates) > 0 {
				t.Errorf("a list that is too large is delivered, with %d members", len((<-updates).Members))
			}
			firstDelay, secondDelay := fetchTimes[2].Sub(fetchTimes[1]), fetchTimes[3].Sub(fetchTimes[2])
			t.Logf("fetched again after %v and %v", firstDelay, secondDelay)
			if firstDelay < time.Second || secondDelay < 2*time.Second {
				t.Errorf("fetched again after %v and %v, want at least 1 s and 2 s", firstDelay, secondDelay)
			}
			wantSize := fmt.Sprintf("a list of %d bytes", len(text))
			if !sendLength {
				wantSize = fmt.Sprintf("a list of %d bytes", limit+1)
			}
			if !log.contains(wantSize) || !log.contains(fmt.Sprintf("limit of %d", limit)) {
				t.Errorf("the log lacks the size (%q) or the limit", wantSize)
			}
			if l := nextUpdate(t, updates); l.Revision != 3 || len(l.Members) != 2 {
				t.Errorf("the list within the limit has revision %d, %d members, want 3 and 2", l.Revision, len(l.Members))
			}
		})
	}
}

// After a watch was answered with status 410 or 404, which is no rejection, it
// cannot resume from its revision, and the complete list is fetched again. After a
// rejection, with status 429 or 500, the watch resumes without a fetch.
func TestWatchResponseStatusDecidesRefetch(t *testing.T) {
	t.Parallel()
	for status, wantFetches := range map[int]int{http.StatusGone: 2, http.StatusNotFound: 2, http.StatusTooManyRequests: 1, http.StatusInternalServerError: 1} {
		var mu sync.Mutex
		fetches, watches := 0, 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if r.URL.Query().Get("watch") != "" {
				if watches++; watches == 1 {
					w.WriteHeader(status)
				}
				return // the second watch ends at once
			}
			fetches++
			json.NewEncoder(w).Encode(discovery.List{Revision: 1, Complete: true, Members: membersWithLongIDs(1)})
		}))
		ctx, cancel := context.WithCancel(t.Context())
		watch, done := discovery.NewWatch(srv.Listener.Addr().String(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {}), make(chan struct{})
		go func() { defer close(done); watch.Run(ctx) }()
		discoverytest.WaitFor(t, "a second watch", func() bool { mu.Lock(); defer mu.Unlock(); return watches >= 2 })
		mu.Lock()
		gotFetches := fetches
		mu.Unlock()
		if gotFetches != wantFetches {
			t.Errorf("a watch answered by %d: the complete list was fetched %d times, want %d", status, gotFetches, wantFetches)
		}
		cancel()
		<-done
		srv.Close()
	}
}

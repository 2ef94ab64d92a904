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

// longNames gives members as many and with names as long as are planned for.
func longNames(count int) []discovery.Member {
	var all []discovery.Member
	for i := range count {
		all = append(all, discovery.Member{ID: fmt.Sprintf("s-%032d", i), HostPort: "127.0.0.1:6379", Locality: "a", Flavor: "agent",
			Cell: i, Phase: discovery.Up, Size: 1})
	}
	return all
}

// A list of 31,000 members with ids of 34 letters arrives, when it is asked
// for and as a line of the watch, on one line and indented.
func TestListOfTargetSize(t *testing.T) {
	t.Parallel()
	const count = 31000
	d := discoverytest.New(t, longNames(count)...)
	news := watchList(t, d, time.Minute)
	if l := next(t, news); !l.Complete || len(l.Members) != count {
		t.Fatalf("the list has %d members", len(l.Members))
	}
	line, err := json.Marshal(discovery.List{Revision: 2, Complete: true, Members: longNames(count)})
	if err != nil {
		t.Fatal(err)
	}
	if len(line) <= 4<<20 {
		t.Fatalf("%d bytes are no test of the limit that was", len(line))
	}
	d.Send(t, string(line))
	if l := next(t, news); l.Revision != 2 || len(l.Members) != count {
		t.Fatalf("the line has revision %d, %d members", l.Revision, len(l.Members))
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, line, "", "  "); err != nil {
		t.Fatal(err)
	}
	d.Send(t, strings.Replace(indented.String(), `"revision": 2`, `"revision": 3`, 1))
	if l := next(t, news); l.Revision != 3 || len(l.Members) != count {
		t.Fatalf("the indented list has revision %d, %d members", l.Revision, len(l.Members))
	}
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Fetches != 1 || len(d.Froms) != 1 {
		t.Errorf("%d fetches, %d watches, want one of each", d.Fetches, len(d.Froms))
	}
}

// sizedDiscovery serves whole lists of any size, with their length told before
// them or not, and lines on its watches.
type sizedDiscovery struct {
	mu      sync.Mutex
	list    discovery.List
	tellLen bool
	asked   []time.Time // for the whole list
	lines   chan string
}

func (d *sizedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		d.asked = append(d.asked, time.Now())
		text, _ := json.Marshal(d.list) // cannot fail
		tellLen := d.tellLen
		d.mu.Unlock()
		if tellLen {
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
		case line := <-d.lines:
			fmt.Fprintln(w, line)
		case <-r.Context().Done():
			return
		}
	}
}

// logText is a log that can be read while it is written.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logText) has(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// A list that is too large is told with both sizes and asked for again less and
// less often; the last good one stays in use, and the next good one follows.
func TestListTooLarge(t *testing.T) {
	t.Parallel()
	for _, tellLen := range []bool{true, false} {
		t.Run(fmt.Sprintf("length_told=%v", tellLen), func(t *testing.T) {
			t.Parallel()
			const limit = 4096
			d := &sizedDiscovery{list: discovery.List{Revision: 1, Complete: true, Members: longNames(3)}, tellLen: tellLen, lines: make(chan string, 1)}
			srv := httptest.NewServer(d)
			var log logText
			news, done := make(chan *discovery.List, 8), make(chan struct{})
			x := discovery.NewWatch(srv.Listener.Addr().String(), 1, slog.New(slog.NewTextHandler(&log, nil)), func(l *discovery.List) { news <- l })
			x.LimitLists(limit)
			ctx, cancel := context.WithCancel(t.Context())
			go func() { defer close(done); x.Run(ctx) }()
			defer func() { cancel(); <-done; srv.CloseClientConnections(); srv.Close() }()
			next(t, news)

			large := discovery.List{Revision: 2, Complete: true, Members: longNames(200)}
			text, err := json.Marshal(large)
			if err != nil {
				t.Fatal(err)
			}
			d.mu.Lock()
			d.list = large
			d.mu.Unlock()
			d.lines <- string(text) // as a change first: it makes the whole list be asked for
			discoverytest.WaitFor(t, "three more tries", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.asked) >= 4 })
			d.mu.Lock()
			asked := d.asked
			d.list = discovery.List{Revision: 3, Complete: true, Members: longNames(2)}
			d.mu.Unlock()
			if len(news) > 0 {
				t.Errorf("a list that is too large counts as news: %d members", len((<-news).Members))
			}
			first, second := asked[2].Sub(asked[1]), asked[3].Sub(asked[2])
			t.Logf("asked again after %v and %v", first, second)
			if first < time.Second || second < 2*time.Second {
				t.Errorf("asked again after %v and %v: no backoff", first, second)
			}
			size := fmt.Sprintf("a list of %d bytes", len(text))
			if !tellLen {
				size = fmt.Sprintf("a list of %d bytes", limit+1)
			}
			if !log.has(size) || !log.has(fmt.Sprintf("limit of %d", limit)) {
				t.Errorf("the log does not tell the size (%q) and the limit", size)
			}
			if l := next(t, news); l.Revision != 3 || len(l.Members) != 2 {
				t.Errorf("at last revision %d, %d members", l.Revision, len(l.Members))
			}
		})
	}
}

// A watch that is answered by a status that does not turn it away, such as 410,
// cannot go on from where it was: the whole list is asked for again. One that
// is turned away goes on.
func TestWatchStatus(t *testing.T) {
	t.Parallel()
	for status, fetches := range map[int]int{http.StatusGone: 2, http.StatusNotFound: 2, http.StatusTooManyRequests: 1, http.StatusInternalServerError: 1} {
		var mu sync.Mutex
		asked, watches := 0, 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if r.URL.Query().Get("watch") != "" {
				if watches++; watches == 1 {
					w.WriteHeader(status)
				}
				return // the second one ends at once
			}
			asked++
			json.NewEncoder(w).Encode(discovery.List{Revision: 1, Complete: true, Members: longNames(1)})
		}))
		ctx, cancel := context.WithCancel(t.Context())
		x, done := discovery.NewWatch(srv.Listener.Addr().String(), 1, slog.New(slog.DiscardHandler), func(*discovery.List) {}), make(chan struct{})
		go func() { defer close(done); x.Run(ctx) }()
		discoverytest.WaitFor(t, "a second watch", func() bool { mu.Lock(); defer mu.Unlock(); return watches >= 2 })
		mu.Lock()
		got := asked
		mu.Unlock()
		if got != fetches {
			t.Errorf("a watch answered by %d: the whole list was asked for %d times, want %d", status, got, fetches)
		}
		cancel()
		<-done
		srv.Close()
	}
}

// Package discoverytest is an agent of discovery for tests: what it says and
// when is the test's.
package discoverytest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
)

// WaitFor waits for a condition, never for a time.
func WaitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// Server is the agent on a relay's machine.
type Server struct {
	*httptest.Server
	Mu          sync.Mutex // of what follows
	List        discovery.List
	Lines       []chan string // of the watches that are open
	Froms       []string      // what watches asked for
	Fetches     int
	Notices     map[string]discovery.Notice
	Answer      int // status of notices
	Silent      bool
	RejectCalls int // so many watches more
	Unheard     int // requests that came while silent
	released    chan struct{}
}

func New(t *testing.T, members ...discovery.Member) *Server {
	d := &Server{List: discovery.List{Revision: 1, Complete: true, Members: members}, Notices: map[string]discovery.Notice{},
		Answer: http.StatusNoContent, released: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, d.serveList)
	mux.HandleFunc("POST "+discovery.NoticePath, d.serveNotices)
	d.Server = httptest.NewServer(mux)
	t.Cleanup(func() { close(d.released); d.CloseClientConnections(); d.Close() })
	return d
}

func (d *Server) serveList(w http.ResponseWriter, r *http.Request) {
	d.Mu.Lock()
	if d.Silent {
		d.Unheard++
		d.Mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-d.released:
		}
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.Fetches++
		json.NewEncoder(w).Encode(d.List)
		d.Mu.Unlock()
		return
	}
	if d.RejectCalls > 0 {
		d.RejectCalls--
		d.Mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lines := make(chan string, 16)
	d.Lines = append(d.Lines, lines)
	d.Froms = append(d.Froms, r.URL.Query().Get("from"))
	d.Mu.Unlock()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		select {
		case s, ok := <-lines:
			if !ok {
				return
			}
			io.WriteString(w, s+"\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		case <-d.released:
			return
		case <-time.After(time.Second):
			d.Mu.Lock()
			silent := d.Silent
			d.Mu.Unlock()
			if !silent {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	}
}

func (d *Server) serveNotices(w http.ResponseWriter, r *http.Request) {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Answer == http.StatusNoContent {
		for dec := json.NewDecoder(r.Body); dec.More(); {
			var n discovery.Notice
			if dec.Decode(&n) != nil {
				break
			}
			d.Notices[n.Message] = n
		}
	}
	w.WriteHeader(d.Answer)
}

func (d *Server) Addr() string { return d.Listener.Addr().String() }

func (d *Server) Notice(id string) (discovery.Notice, bool) {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	n, ok := d.Notices[id]
	return n, ok
}

func (d *Server) Set(f func(*Server)) {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	f(d)
}

// Send sends a line on the newest watch.
func (d *Server) Send(t *testing.T, line string) {
	t.Helper()
	WaitFor(t, "a watch", func() bool { d.Mu.Lock(); defer d.Mu.Unlock(); return len(d.Lines) > 0 })
	d.Mu.Lock()
	defer d.Mu.Unlock()
	d.Lines[len(d.Lines)-1] <- line
}

// Change is a line of a watch with one member.
func Change(rev int64, m discovery.Member) string {
	text, _ := json.Marshal(discovery.List{Revision: rev, Members: []discovery.Member{m}}) // cannot fail
	return string(text)
}

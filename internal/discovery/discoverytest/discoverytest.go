// Package discoverytest provides a discovery agent for tests, which control its
// responses.
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

// WaitFor polls cond until it is true. After 30 s it fails the test, naming what it
// waited for.
func WaitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out after 30 s waiting for %s", what)
}

// Server is a discovery agent, as it runs on a relay's machine. Use New to make one;
// it is closed when the test ends.
type Server struct {
	*httptest.Server

	Mu          sync.Mutex                  // guards the fields below
	List        discovery.List              // the complete list that a fetch returns
	Lines       []chan string               // a channel of updates for each accepted watch; closing one ends its connection
	Froms       []string                    // the revision from which each accepted watch was opened
	Fetches     int                         // number of fetches of the complete list
	Notices     map[string]discovery.Notice // the acknowledged notices, by message id
	Answer      int                         // HTTP status of the response to notices
	Silent      bool                        // if true, no fetch or watch gets a response, and open watches send no keepalive
	RejectCalls int                         // number of watches that are still to be rejected, with status 503
	Unheard     int                         // number of fetches and watches that were requested while Silent was set

	isEnded  map[chan string]bool // the watches in Lines that have ended, such as those of a killed relay
	released chan struct{}        // closed when the test ends
}

// New starts an agent whose complete list has revision 1 and the given members.
func New(t *testing.T, members ...discovery.Member) *Server {
	d := &Server{List: discovery.List{Revision: 1, Complete: true, Members: members}, Notices: map[string]discovery.Notice{},
		Answer: http.StatusNoContent, isEnded: map[chan string]bool{}, released: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, d.serveList)
	mux.HandleFunc("POST "+discovery.NoticePath, d.serveNotices)
	d.Server = httptest.NewServer(mux)
	t.Cleanup(func() { close(d.released); d.CloseClientConnections(); d.Close() })
	return d
}

// serveList serves a fetch of the complete list, or a watch.
func (d *Server) serveList(w http.ResponseWriter, r *http.Request) {
	if d.countUnanswered() {
		select {
		case <-r.Context().Done():
		case <-d.released:
		}
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.serveCompleteList(w)
		return
	}
	lines := d.openWatch(r.URL.Query().Get("from"))
	if lines == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	d.serveWatch(w, r, lines)
	d.Set(func(d *Server) { d.isEnded[lines] = true })
}

// countUnanswered counts a request in Unheard if the agent is silent, and reports
// whether it is silent.
func (d *Server) countUnanswered() bool {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.Silent {
		d.Unheard++
	}
	return d.Silent
}

func (d *Server) serveCompleteList(w http.ResponseWriter) {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	d.Fetches++
	json.NewEncoder(w).Encode(d.List)
}

// openWatch records a watch and returns the channel of its updates, or nil if the
// watch is rejected.
func (d *Server) openWatch(from string) chan string {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	if d.RejectCalls > 0 {
		d.RejectCalls--
		return nil
	}
	lines := make(chan string, 16)
	d.Lines = append(d.Lines, lines)
	d.Froms = append(d.Froms, from)
	return lines
}

// serveWatch writes updates, and a keepalive after each second without one, until the
// watch or the test ends.
func (d *Server) serveWatch(w http.ResponseWriter, r *http.Request, lines chan string) {
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			io.WriteString(w, line+"\n")
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

// Addr returns the host and port of the agent.
func (d *Server) Addr() string { return d.Listener.Addr().String() }

// Notice returns the acknowledged notice of a message, if there is one.
func (d *Server) Notice(id string) (discovery.Notice, bool) {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	n, ok := d.Notices[id]
	return n, ok
}

// Set calls f with Mu held.
func (d *Server) Set(f func(*Server)) {
	d.Mu.Lock()
	defer d.Mu.Unlock()
	f(d)
}

// Send waits until the newest watch is open, and writes a line on it. A line on the watch of a
// relay that was killed would be lost to the next process, which has not opened its own yet.
func (d *Server) Send(t *testing.T, line string) {
	t.Helper()
	WaitFor(t, "an open watch", func() bool {
		d.Mu.Lock()
		defer d.Mu.Unlock()
		if len(d.Lines) == 0 || d.isEnded[d.Lines[len(d.Lines)-1]] {
			return false
		}
		d.Lines[len(d.Lines)-1] <- line
		return true
	})
}

// Change returns an update of a watch as JSON: revision rev with a change of one
// member.
func Change(rev int64, m discovery.Member) string {
	text, _ := json.Marshal(discovery.List{Revision: rev, Members: []discovery.Member{m}}) // cannot fail
	return string(text)
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// record writes the lines of record.txt, each with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// printf writes one line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", args...)
}

// member is an entry of the endpoint list, as PROTOCOL describes it.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// memberList is the endpoint list on the wire.
type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// notice is one line of POST /reports.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms"`
	at      time.Time
}

// platform is the agent on the relay's machine: it serves the endpoint list and takes
// the notices.
type platform struct {
	rec     *record
	addr    string
	members []member

	mu      sync.Mutex
	notices map[string][]notice
}

// startPlatform serves the list of the given members on a loopback address.
func startPlatform(rec *record, members []member) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, addr: ln.Addr().String(), members: members, notices: map[string][]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", p.serveList)
	mux.HandleFunc("POST /reports", p.takeNotices)
	go http.Serve(ln, mux)
	return p, nil
}

func (p *platform) list() memberList {
	return memberList{Revision: 41, Complete: true, Members: p.members}
}

// serveList answers with the whole list or, for a watch, with a keep-alive every 2 s.
func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch") == "1"
	if !watch || r.URL.Query().Get("from") != "41" {
		json.NewEncoder(w).Encode(p.list())
	}
	if !watch {
		return
	}
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
	}
}

func (p *platform) takeNotices(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		n := notice{at: now}
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			http.Error(w, "cannot be read", http.StatusBadRequest)
			return
		}
		p.rec.printf("notice %s %s", n.Message, n.Outcome)
		p.mu.Lock()
		p.notices[n.Message] = append(p.notices[n.Message], n)
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

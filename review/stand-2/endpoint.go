package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one message that an endpoint has begun to run.
type run struct {
	at       time.Time
	endpoint string
	answered time.Time // when its 200 was written; zero for none
}

// endpoint is a server of a destination. It runs each message that it is sent and answers
// 200 after its delay.
type endpoint struct {
	rec   *record
	id    string
	addr  string
	delay func(ids []string) time.Duration

	mu   sync.Mutex
	runs map[string][]run
}

func startEndpoint(rec *record, id string, delay func([]string) time.Duration) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{rec: rec, id: id, addr: ln.Addr().String(), delay: delay, runs: map[string][]run{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/messages", e.takeOne)
	mux.HandleFunc("POST /v1/messages:batch", e.takeBatch)
	go http.Serve(ln, mux)
	return e, nil
}

func (e *endpoint) member(cell int, kind string) member {
	return member{ID: e.id, HostPort: e.addr, Locality: "colombo-dc", Flavor: kind, Cell: cell, Phase: "up", Size: 1}
}

// begin runs messages and waits for the time that this takes.
func (e *endpoint) begin(ids []string) {
	e.mu.Lock()
	for _, id := range ids {
		e.runs[id] = append(e.runs[id], run{at: time.Now(), endpoint: e.id})
	}
	e.mu.Unlock()
	for _, id := range ids {
		e.rec.printf("run %s at %s", id, e.id)
	}
	time.Sleep(e.delay(ids))
}

func (e *endpoint) finish(ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		runs := e.runs[id]
		runs[len(runs)-1].answered = time.Now()
	}
}

func (e *endpoint) takeOne(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-ID")
	if _, err := io.ReadAll(r.Body); err != nil || id == "" {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	e.begin([]string{id})
	w.WriteHeader(http.StatusOK)
	e.finish([]string{id})
}

func (e *endpoint) takeBatch(w http.ResponseWriter, r *http.Request) {
	var items []struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&items); err != nil || len(items) == 0 || len(items) > 5 {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	type state struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ids []string
	var states []state
	for _, item := range items {
		ids = append(ids, item.ID)
		states = append(states, state{item.ID, "accepted"})
	}
	e.begin(ids)
	json.NewEncoder(w).Encode(states)
	e.finish(ids)
}

// runsOf returns how often a message was run and whether one of the runs was answered 200.
func (e *endpoint) runsOf(id string) (count int, isDelivered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs[id] {
		isDelivered = isDelivered || !r.answered.IsZero()
	}
	return len(e.runs[id]), isDelivered
}

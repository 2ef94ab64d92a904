package faultlab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// discoveryAgent is discovery on one relay's machine.
type discoveryAgent interface {
	Addr() string
	Known() model.List
	Started(model.List)
	Rebind(context.Context) error
	SetSilent(bool)
	Close()
}

// agentProxy is a proxy between a relay and its real agent. It records the changes
// that the relay receives and the notices that the agent takes. It replaces each
// endpoint's address by that of the relay's own link.
type agentProxy struct {
	*model.Listener
	relay    string
	agent    string // address
	links    map[string]string
	recorder *history.Recorder
	onNotice func(id, outcome string, retryMS int64)

	mu              sync.Mutex
	deliveredPhases map[string]string
}

func newAgentProxy(relay, ip, agent string, links map[string]string, rec *history.Recorder, noticed func(string, string, int64)) (*agentProxy, error) {
	t := &agentProxy{relay: relay, agent: agent, links: links, recorder: rec, onNotice: noticed, deliveredPhases: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, t.serveList)
	mux.HandleFunc("POST "+discovery.NoticePath, t.serveNotices)
	var err error
	if t.Listener, err = model.NewListener(ip, mux); err != nil {
		return nil, fmt.Errorf("tap of %s: %w", relay, err)
	}
	return t, nil
}

// Known is the list as the agent has it now; empty if it does not answer.
func (t *agentProxy) Known() model.List {
	c := http.Client{Timeout: 2 * time.Second}
	l := model.List{Complete: true, Members: []model.Member{}}
	resp, err := c.Get("http://" + t.agent + discovery.ListPath)
	if err != nil {
		return l
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&l) != nil {
		return model.List{Complete: true, Members: []model.Member{}}
	}
	t.rewrite(&l)
	return l
}

func (t *agentProxy) rewrite(l *model.List) {
	for i := range l.Members {
		if addr := t.links[l.Members[i].ID]; addr != "" {
			l.Members[i].HostPort = addr
		}
	}
}

// Started records the list that a process begins with.
func (t *agentProxy) Started(l model.List) { t.recordDelivered(l) }

func (t *agentProxy) recordDelivered(l model.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range model.DeliveredChanges(t.deliveredPhases, l) {
		e.Relay = t.relay
		t.recorder.Record(e)
	}
}

func (t *agentProxy) serveList(w http.ResponseWriter, r *http.Request) {
	if !t.WaitWhileSilent(r.Context()) {
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.agent+r.URL.RequestURI(), nil)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler) // the agent is gone: so is its connection
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	out := http.NewResponseController(w)
	out.Flush()
	in := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		text, err := in.ReadBytes('\n')
		if !t.WaitWhileSilent(r.Context()) {
			return
		}
		var l model.List
		if bytes.HasPrefix(text, []byte("{")) && json.Unmarshal(text, &l) == nil && l.Members != nil {
			t.rewrite(&l)
			text, _ = json.Marshal(l) // strings and numbers alone
			text = append(text, '\n')
		}
		if len(text) > 0 {
			if _, werr := w.Write(text); werr != nil || out.Flush() != nil {
				return
			}
			if l.Members != nil {
				t.recordDelivered(l)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (t *agentProxy) serveNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := http.Post("http://"+t.agent+discovery.NoticePath, "application/json", bytes.NewReader(text))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		all, _ := discovery.ReadNotices(bytes.NewReader(text)) // the agent has read them
		model.RecordNotices(t.recorder, t.relay, all, t.onNotice)
	}
	w.WriteHeader(resp.StatusCode)
}

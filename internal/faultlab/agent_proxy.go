package faultlab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

const (
	agentTimeout = 2 * time.Second // for one request of the list
	listBuffer   = 64 << 10        // bytes
	maxNotices   = 1 << 20         // bytes of one request that carries notices
)

// discoveryAgent is the agent that serves the endpoint list to one relay: the lab's
// own, or a real one behind an agentProxy.
type discoveryAgent interface {
	// Addr is the address at which the relay connects to the agent.
	Addr() string
	// Known is the agent's current endpoint list.
	Known() model.List
	// Started records the list that a new process reads from its configuration.
	Started(model.List)
	// Rebind moves the agent to a new address.
	Rebind(context.Context) error
	// SetSilent makes the agent withhold the list from the relay, or send it again.
	SetSilent(bool)
	Close()
}

// agentProxy is a proxy between a relay and its real agent. It records the changes that
// the relay receives and the notices that the agent accepts. In each list it replaces
// an endpoint's address by that of the relay's own link, so that calls pass through the
// link.
type agentProxy struct {
	*model.Listener
	relay    string
	agent    string            // address of the real agent
	links    map[string]string // address of the relay's link by endpoint ID
	recorder *history.Recorder
	onNotice model.NoticeFunc

	mu              sync.Mutex
	deliveredPhases map[string]string // last phase sent to the relay, by endpoint ID
}

// singleUseTransport gives each request to an agent a connection of its own, so that a response
// is never taken for that to another request.
var singleUseTransport = &http.Transport{DisableKeepAlives: true}

// newAgentProxy starts a proxy on ip; links has the link's address for each endpoint
// ID.
func newAgentProxy(relay, ip, agent string, links map[string]string, recorder *history.Recorder, onNotice model.NoticeFunc) (*agentProxy, error) {
	p := &agentProxy{relay: relay, agent: agent, links: links, recorder: recorder, onNotice: onNotice, deliveredPhases: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, p.serveList)
	mux.HandleFunc("POST "+discovery.NoticePath, p.serveNotices)
	var err error
	if p.Listener, err = model.NewListener(ip, mux); err != nil {
		return nil, fmt.Errorf("agent proxy of %s: %w", relay, err)
	}
	return p, nil
}

// Known returns the agent's current list, or an empty one if it does not answer.
func (p *agentProxy) Known() model.List {
	client := http.Client{Timeout: agentTimeout, Transport: singleUseTransport}
	empty := model.List{Complete: true, Members: []model.Member{}}
	resp, err := client.Get("http://" + p.agent + discovery.ListPath)
	if err != nil {
		return empty
	}
	defer resp.Body.Close()
	list := empty
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return empty
	}
	p.replaceAddresses(&list)
	return list
}

// replaceAddresses replaces the endpoints' addresses by those of the links.
func (p *agentProxy) replaceAddresses(list *model.List) {
	for i := range list.Members {
		if addr := p.links[list.Members[i].ID]; addr != "" {
			list.Members[i].HostPort = addr
		}
	}
}

// Started records the list that a new process has from its configuration.
func (p *agentProxy) Started(list model.List) { p.recordDelivered(list) }

// recordDelivered records the changes of phase that a list brought to the relay.
func (p *agentProxy) recordDelivered(list model.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range model.DeliveredChanges(p.deliveredPhases, list) {
		e.Relay = p.relay
		p.recorder.Record(e)
	}
}

// serveList forwards a request for the list, or a watch of it. If the agent cannot be
// reached or its response breaks off, the relay's connection is aborted as well.
func (p *agentProxy) serveList(w http.ResponseWriter, r *http.Request) {
	if !p.WaitWhileSilent(r.Context()) {
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+p.agent+r.URL.RequestURI(), nil)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := singleUseTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	flusher := http.NewResponseController(w)
	flusher.Flush()
	lines := bufio.NewReaderSize(resp.Body, listBuffer)
	for {
		line, err := lines.ReadBytes('\n')
		if !p.WaitWhileSilent(r.Context()) {
			return
		}
		if writeErr := p.forwardLine(w, flusher, line); writeErr != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// forwardLine forwards one line to the relay. If it holds a list, the addresses in the
// list are replaced and its changes are recorded.
func (p *agentProxy) forwardLine(w io.Writer, flusher *http.ResponseController, line []byte) error {
	if len(line) == 0 {
		return nil
	}
	var list model.List
	isList := bytes.HasPrefix(line, []byte("{")) && json.Unmarshal(line, &list) == nil && list.Members != nil
	if isList {
		p.replaceAddresses(&list)
		text, err := json.Marshal(list)
		if err != nil {
			return err
		}
		line = append(text, '\n')
	}
	if _, err := w.Write(line); err != nil {
		return err
	}
	if err := flusher.Flush(); err != nil {
		return err
	}
	if isList {
		p.recordDelivered(list)
	}
	return nil
}

// serveNotices forwards notices, and records those that the agent accepts.
func (p *agentProxy) serveNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxNotices))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	client := http.Client{Transport: singleUseTransport}
	resp, err := client.Post("http://"+p.agent+discovery.NoticePath, "application/json", bytes.NewReader(text))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		notices, _ := discovery.ReadNotices(bytes.NewReader(text)) // no error is possible: the agent has parsed the same text
		model.RecordNotices(p.recorder, p.relay, notices, p.onNotice)
	}
	w.WriteHeader(resp.StatusCode)
}

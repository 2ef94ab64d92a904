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
	agentTimeout = 2 * time.Second // of one list
	listBuffer   = 64 << 10
	maxNotices   = 1 << 20 // bytes of one request
)

// discoveryAgent is discovery on one relay's machine.
type discoveryAgent interface {
	// Addr is where the relay finds it.
	Addr() string
	// Known is the endpoint list as it has it.
	Known() model.List
	// Started records the list in the configuration of a new process.
	Started(model.List)
	// Rebind gives it a new address.
	Rebind(context.Context) error
	// SetSilent has it write nothing of the list, or everything again.
	SetSilent(bool)
	Close()
}

// agentProxy is a proxy between a relay and its real agent. It records the changes
// that the relay receives and the notices that the agent takes. It replaces each
// endpoint's address by that of the relay's own link.
type agentProxy struct {
	*model.Listener
	relay    string
	agent    string            // address
	links    map[string]string // address by endpoint
	recorder *history.Recorder
	onNotice model.NoticeFunc

	mu              sync.Mutex
	deliveredPhases map[string]string // of each endpoint, as the relay has it
}

// newAgentProxy serves at an address of ip; links has the address for each endpoint.
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

// Known is the list as the agent has it now; empty if it does not answer.
func (p *agentProxy) Known() model.List {
	client := http.Client{Timeout: agentTimeout}
	none := model.List{Complete: true, Members: []model.Member{}}
	resp, err := client.Get("http://" + p.agent + discovery.ListPath)
	if err != nil {
		return none
	}
	defer resp.Body.Close()
	list := none
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return none
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

// Started records the list that a process begins with.
func (p *agentProxy) Started(list model.List) { p.recordDelivered(list) }

// recordDelivered records what a list that the relay received changes for it.
func (p *agentProxy) recordDelivered(list model.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range model.DeliveredChanges(p.deliveredPhases, list) {
		e.Relay = p.relay
		p.recorder.Record(e)
	}
}

// serveList forwards a request for the list, or a watch of it. If the agent is gone,
// so is the relay's connection.
func (p *agentProxy) serveList(w http.ResponseWriter, r *http.Request) {
	if !p.WaitWhileSilent(r.Context()) {
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+p.agent+r.URL.RequestURI(), nil)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	out := http.NewResponseController(w)
	out.Flush()
	in := bufio.NewReaderSize(resp.Body, listBuffer)
	for {
		line, err := in.ReadBytes('\n')
		if !p.WaitWhileSilent(r.Context()) {
			return
		}
		if writeErr := p.forwardLine(w, out, line); writeErr != nil {
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

// forwardLine writes one line to the relay; a list in it is rewritten and recorded.
func (p *agentProxy) forwardLine(w io.Writer, out *http.ResponseController, line []byte) error {
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
	if err := out.Flush(); err != nil {
		return err
	}
	if isList {
		p.recordDelivered(list)
	}
	return nil
}

// serveNotices forwards notices, and records those that the agent takes.
func (p *agentProxy) serveNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxNotices))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := http.Post("http://"+p.agent+discovery.NoticePath, "application/json", bytes.NewReader(text))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		notices, _ := discovery.ReadNotices(bytes.NewReader(text)) // the agent has read them
		model.RecordNotices(p.recorder, p.relay, notices, p.onNotice)
	}
	w.WriteHeader(resp.StatusCode)
}

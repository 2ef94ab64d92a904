package model

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
)

// The words of the list, as relay and list service have them too.
const (
	Up       = discovery.Up
	Draining = discovery.Draining
	Removed  = discovery.Removed
)

// Member and List are discovery's.
type (
	Member = discovery.Member
	List   = discovery.List
)

const (
	watchKeepAlive = 2 * time.Second // an empty line, as long as nothing changes
	maxNotices     = 1 << 20
)

// Discovery holds the list and gives each relay an agent that hears of it.
type Discovery struct {
	world *World
	rand  *rand.Rand
	wg    sync.WaitGroup

	mu     sync.Mutex
	rev    int64
	agents []*Agent
	served float64 // calls a second that all agents serve together; 0 for no bound
	tokens float64
	filled time.Time
}

// NewDiscovery makes an empty one.
func NewDiscovery(w *World, seed uint64) *Discovery {
	return &Discovery{world: w, rand: rand.New(rand.NewPCG(seed, 0x64697363)), rev: 1, filled: time.Now()}
}

// LimitRate bounds the calls a second that are served; 0 lifts the bound.
func (d *Discovery) LimitRate(perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served, d.tokens, d.filled = perSecond, 1, time.Now()
}

// admits tells whether one more call is served.
func (d *Discovery) admits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.served <= 0 {
		return true
	}
	now := time.Now()
	d.tokens = min(max(1, d.served/2), d.tokens+now.Sub(d.filled).Seconds()*d.served)
	d.filled = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// Change tells all agents of a member's new phase; each hears of it after a
// delay of its own, up to late.
func (d *Discovery) Change(ctx context.Context, id, phase string, late time.Duration) {
	d.mu.Lock()
	d.rev++
	rev, agents := d.rev, slices.Clone(d.agents)
	delays := make([]time.Duration, len(agents))
	for i := range delays {
		delays[i] = time.Duration(d.rand.Float64() * float64(late))
	}
	d.mu.Unlock()
	d.world.Recorder.Record(history.Event{Kind: history.EndpointChanged, Endpoint: id, Phase: phase})
	for i, a := range agents {
		d.wg.Add(1)
		t := time.NewTimer(delays[i])
		go func() {
			defer d.wg.Done()
			defer t.Stop()
			select {
			case <-t.C:
				a.change(rev, id, phase)
			case <-ctx.Done():
			}
		}()
	}
}

// Agent is discovery on one relay's machine.
type Agent struct {
	*Listener
	Relay     string
	discovery *Discovery

	mu              sync.Mutex
	list            List
	log             []List // what changed, by revision
	removed         map[string]Member
	deliveredPhases map[string]string // the phase of each member, as the relay was last told
	changed         chan struct{}
	onNotice        func(id, outcome string, retryMS int64)
}

// NewAgent starts the agent of one relay at an address of ip. noticed hears of
// each notice that is taken.
func (d *Discovery) NewAgent(relay, ip string, members []Member, noticed func(id, outcome string, retryMS int64)) (*Agent, error) {
	a := &Agent{Relay: relay, discovery: d, list: List{Revision: d.rev, Complete: true, Members: slices.Clone(members)},
		removed: map[string]Member{}, deliveredPhases: map[string]string{}, changed: make(chan struct{}), onNotice: noticed}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, a.serveList)
	mux.HandleFunc("POST "+discovery.NoticePath, a.serveNotices)
	var err error
	if a.Listener, err = NewListener(ip, mux); err != nil {
		return nil, fmt.Errorf("agent of %s: %w", relay, err)
	}
	d.mu.Lock()
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	return a, nil
}

// Known is the list as the agent has it.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.list
	l.Members = slices.Clone(l.Members)
	return l
}

func (a *Agent) change(rev int64, id, phase string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := slices.Clone(a.list.Members)
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	m, known := a.removed[id]
	switch {
	case i >= 0 && phase == Removed:
		m = members[i]
		members = slices.Delete(members, i, i+1)
		a.removed[id] = m
	case i >= 0:
		m = members[i]
		members[i].Phase = phase
	case known && phase == Up:
		m.Phase, m.UpSince = phase, time.Now().UnixMilli()
		members = append(members, m)
		delete(a.removed, id)
	default:
		return
	}
	m.Phase = phase
	a.list.Members = members
	a.list.Revision = max(a.list.Revision+1, rev)
	a.log = append(a.log, List{Revision: a.list.Revision, Members: []Member{m}})
	close(a.changed)
	a.changed = make(chan struct{})
}

// since gives what changed after a revision, or the whole list where that is
// not known, with what is closed at the next news.
func (a *Agent) since(rev int64) ([]List, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.list.Revision
	if len(a.log) > 0 {
		first = a.log[0].Revision - 1
	}
	if rev > a.list.Revision || rev < min(first, 1) {
		return []List{a.list}, a.changed
	}
	var out []List
	for _, l := range a.log {
		if l.Revision > rev {
			out = append(out, l)
		}
	}
	return out, a.changed
}

func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	if !a.WaitUntilAudible(r.Context()) {
		return
	}
	if !a.discovery.admits() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		l := a.Known()
		if json.NewEncoder(w).Encode(l) == nil {
			a.recordDelivered(l)
		}
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: a revision is wanted", http.StatusBadRequest)
		return
	}
	a.watch(w, r, from)
}

func (a *Agent) watch(w http.ResponseWriter, r *http.Request, from int64) {
	flush := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	flush.Flush()
	for enc := json.NewEncoder(w); a.WaitUntilAudible(r.Context()); {
		lists, news := a.since(from)
		for _, l := range lists {
			if enc.Encode(l) != nil || flush.Flush() != nil {
				return
			}
			from = l.Revision
			a.recordDelivered(l)
		}
		quiet := time.NewTimer(watchKeepAlive)
		select {
		case <-news:
		case <-quiet.C:
			if !a.WaitUntilAudible(r.Context()) {
				return
			}
			if _, err := io.WriteString(w, "\n"); err != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			quiet.Stop()
			return
		}
		quiet.Stop()
	}
}

// recordDelivered records what a list says that was written to the relay.
func (a *Agent) recordDelivered(l List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range DeliveredChanges(a.deliveredPhases, l) {
		e.Relay = a.Relay
		a.discovery.world.Recorder.Record(e)
	}
}

// DeliveredChanges gives what a list tells that is news beside what was said before, and
// books it there. A whole list also tells of each member that it no longer holds.
func DeliveredChanges(delivered map[string]string, l List) (all []history.Event) {
	deliver := func(id, phase string) {
		was, known := delivered[id]
		if delivered[id] = phase; was != phase && (known || phase != Up) {
			all = append(all, history.Event{Kind: history.ChangeDelivered, Endpoint: id, Phase: phase})
		}
	}
	listed := map[string]bool{}
	for _, m := range l.Members {
		listed[m.ID] = true
		deliver(m.ID, m.Phase)
	}
	for id := range delivered {
		if l.Complete && !listed[id] {
			deliver(id, Removed)
		}
	}
	return all
}

// Started books that a process of the relay begins with this list in its configuration.
func (a *Agent) Started(l List) { a.recordDelivered(l) }

func (a *Agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	all, err := discovery.ReadNotices(io.LimitReader(r.Body, maxNotices))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, n := range all {
		a.discovery.world.Recorder.Record(history.Event{Kind: history.Notice, Relay: a.Relay, Message: n.Message, Text: n.Outcome, RetryAfter: n.RetryMS * 1000})
		a.onNotice(n.Message, n.Outcome, n.RetryMS)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Close ends all agents and what is on its way to them; ctx of Change must be over.
func (d *Discovery) Close() {
	for _, a := range d.agents {
		a.Close()
	}
	d.wg.Wait()
}

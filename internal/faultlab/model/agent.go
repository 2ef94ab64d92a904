package model

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
)

const (
	watchIdleInterval = 2 * time.Second // interval of the empty lines that a watch without changes gets
	maxNotices        = 1 << 20         // largest request with notices, in bytes
)

// NoticeFunc is called for a notice with the message's ID, its outcome, and how long
// the client should wait before a retry; 0 if the notice does not say.
type NoticeFunc func(id, outcome string, retryAfterMS int64)

// Agent simulates the discovery agent on one relay's machine: it serves the endpoint
// list to the relay and receives its notices. It is safe for concurrent use.
type Agent struct {
	*Listener
	Relay string

	discovery *Discovery
	onNotice  NoticeFunc

	mu              sync.Mutex
	list            List
	log             []List // the changes in the order of their revisions
	removed         map[string]Member
	deliveredPhases map[string]string // by endpoint, the phase that was last written to the relay
	changed         chan struct{}     // closed and replaced at each change
}

// NewAgent starts the agent of one relay at an address of ip. onNotice is called
// for each notice. Discovery.Close closes the agent.
func (d *Discovery) NewAgent(relay, ip string, members []Member, onNotice NoticeFunc) (*Agent, error) {
	a := &Agent{
		Relay:           relay,
		discovery:       d,
		onNotice:        onNotice,
		list:            List{Revision: d.revision, Complete: true, Members: slices.Clone(members)},
		removed:         map[string]Member{},
		deliveredPhases: map[string]string{},
		changed:         make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, a.serveList)
	mux.HandleFunc("POST "+discovery.NoticePath, a.serveNotices)
	var err error
	if a.Listener, err = NewListener(ip, mux); err != nil {
		return nil, fmt.Errorf("agent of %s: %w", relay, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents = append(d.agents, a)
	return a, nil
}

// Known returns a copy of the list as the agent currently knows it.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list
	list.Members = slices.Clone(list.Members)
	return list
}

// Started records that a process of the relay starts with this list in its
// configuration; the list counts as delivered.
func (a *Agent) Started(list List) { a.recordDelivered(list) }

// applyChange applies a change of an endpoint's phase to the list and publishes it to
// watches. It ignores a change of an endpoint that is not known.
func (a *Agent) applyChange(revision int64, id, phase string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	member, ok := a.applyPhase(id, phase)
	if !ok {
		return
	}
	a.list.Revision = max(a.list.Revision+1, revision)
	a.log = append(a.log, List{Revision: a.list.Revision, Members: []Member{member}})
	close(a.changed)
	a.changed = make(chan struct{})
}

// applyPhase puts a member of the list into another phase and returns it. An endpoint
// that becomes up again after its removal returns to the list. It reports false for
// an endpoint that is not known. The caller holds a.mu.
func (a *Agent) applyPhase(id, phase string) (member Member, ok bool) {
	members := slices.Clone(a.list.Members)
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	removed, wasRemoved := a.removed[id]
	switch {
	case i >= 0 && phase == Removed:
		member = members[i]
		members = slices.Delete(members, i, i+1)
		a.removed[id] = member
	case i >= 0:
		members[i].Phase = phase
		member = members[i]
	case wasRemoved && phase == Up:
		member = removed
		member.Phase, member.UpSince = phase, time.Now().UnixMilli()
		members = append(members, member)
		delete(a.removed, id)
	default:
		return Member{}, false
	}
	member.Phase = phase
	a.list.Members = members
	return member, true
}

// changesSince returns the changes after a revision, or the complete list if that
// revision is not known, and a channel that is closed at the next change.
func (a *Agent) changesSince(revision int64) ([]List, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	oldestKnown := a.list.Revision
	if len(a.log) > 0 {
		oldestKnown = a.log[0].Revision - 1
	}
	if revision > a.list.Revision || revision < min(oldestKnown, 1) {
		return []List{a.list}, a.changed
	}
	var changes []List
	for _, change := range a.log {
		if change.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, a.changed
}

func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	if !a.WaitWhileSilent(r.Context()) {
		return
	}
	if !a.discovery.admits() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	if query.Get("watch") == "" {
		list := a.Known()
		if json.NewEncoder(w).Encode(list) == nil {
			a.recordDelivered(list)
		}
		return
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: a revision is wanted", http.StatusBadRequest)
		return
	}
	a.serveWatch(w, r, from)
}

// serveWatch writes the changes after a revision, and empty lines while there are
// none, until the request ends.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request, from int64) {
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	out.Flush()
	encoder := json.NewEncoder(w)
	for a.WaitWhileSilent(r.Context()) {
		lists, changed := a.changesSince(from)
		for _, list := range lists {
			if encoder.Encode(list) != nil || out.Flush() != nil {
				return
			}
			from = list.Revision
			a.recordDelivered(list)
		}
		keepAlive := time.NewTimer(watchIdleInterval)
		select {
		case <-changed:
		case <-keepAlive.C:
			if !a.WaitWhileSilent(r.Context()) {
				return
			}
			if _, err := io.WriteString(w, "\n"); err != nil || out.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			keepAlive.Stop()
			return
		}
		keepAlive.Stop()
	}
}

// recordDelivered records the phases that a list, which was written to the relay,
// changes compared with the lists before it.
func (a *Agent) recordDelivered(list List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range DeliveredChanges(a.deliveredPhases, list) {
		e.Relay = a.Relay
		a.discovery.world.Recorder.Record(e)
	}
}

// DeliveredChanges returns the changes between the phases that were delivered before
// and those of a list, and updates delivered to the list. A complete list removes each
// endpoint that it leaves out. An endpoint that is new and up is not a change.
func DeliveredChanges(delivered map[string]string, list List) (changes []history.Event) {
	deliver := func(id, phase string) {
		before, known := delivered[id]
		delivered[id] = phase
		if before != phase && (known || phase != Up) {
			changes = append(changes, history.Event{Kind: history.ChangeDelivered, Endpoint: id, Phase: phase})
		}
	}
	listed := map[string]bool{}
	for _, member := range list.Members {
		listed[member.ID] = true
		deliver(member.ID, member.Phase)
	}
	for id := range delivered {
		if list.Complete && !listed[id] {
			deliver(id, Removed)
		}
	}
	return changes
}

func (a *Agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	notices, err := discovery.ReadNotices(io.LimitReader(r.Body, maxNotices))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	RecordNotices(a.discovery.world.Recorder, a.Relay, notices, a.onNotice)
	w.WriteHeader(http.StatusNoContent)
}

// RecordNotices records the notices of a relay, or those sent on its behalf after a
// failover, and passes each to onNotice.
func RecordNotices(recorder *history.Recorder, from string, notices []discovery.Notice, onNotice NoticeFunc) {
	for _, n := range notices {
		retryAfter := time.Duration(n.RetryMS) * time.Millisecond
		recorder.Record(history.Event{Kind: history.Notice, Relay: from, Message: n.Message, Text: n.Outcome, RetryAfter: retryAfter.Microseconds()})
		onNotice(n.Message, n.Outcome, n.RetryMS)
	}
}

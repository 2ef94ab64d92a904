package relays

import (
	"fmt"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/policy"
)

// endpoint is what a hollow relay keeps of a member, as a real one does.
type endpoint struct {
	number   policy.Endpoint
	id       string
	hostPort string
	cell     int
	phase    string
	size     float64
	hash     uint64
}

// list is a relay's list of endpoints.
type list struct {
	zones, flavors map[string]int
	byID           map[string]*endpoint
	byNumber       map[policy.Endpoint]*endpoint
	last           policy.Endpoint
	hash           uint64
	members        int
	revision       int64
	whole          int // whole lists that were taken
	heard          []simrelay.Heard
	news           bool     // some was taken that the policy does not have yet
	pending        []uint64 // changes that are in the policy's next step
	wrong          []string
}

func newList(zones, flavors []string) *list {
	return &list{zones: places(zones), flavors: places(flavors), byID: map[string]*endpoint{}, byNumber: map[policy.Endpoint]*endpoint{}}
}

func places(names []string) map[string]int {
	all := make(map[string]int, len(names))
	for i, name := range names {
		all[name] = i
	}
	return all
}

func place(all map[string]int, name string) int {
	if i, ok := all[name]; ok {
		return i
	}
	return -1
}

// take makes an event for the policy of news of the list.
func (l *list) take(news *discovery.List) policy.Event {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListDelta}
	first := l.whole == 0
	if !news.Complete && (first || news.Revision <= l.revision) {
		l.wrong = append(l.wrong, fmt.Sprintf("a change to revision %d after %d, %d whole lists", news.Revision, l.revision, l.whole))
	}
	l.revision, l.news = news.Revision, true
	e.Entries = make([]policy.Entry, 0, len(news.Members))
	for i := range news.Members {
		e.Entries = append(e.Entries, l.member(&news.Members[i], !first))
	}
	if news.Complete {
		l.whole++
		e.ListUpdate = policy.ListFull
		l.dropUnlisted(news)
	}
	return e
}

// member books one line of the list; noted has a change of it counted as heard.
func (l *list) member(m *discovery.Member, noted bool) policy.Entry {
	x := l.byID[m.ID]
	if x == nil {
		l.last++
		x = &endpoint{number: l.last, id: m.ID, phase: discovery.Removed}
		l.byID[m.ID], l.byNumber[x.number] = x, x
	}
	if noted && (x.phase != m.Phase || x.size != m.Size) {
		l.pending = append(l.pending, simrelay.ChangeKey(m.ID, m.Phase, m.Size))
	}
	l.forget(x)
	x.phase, x.size = m.Phase, m.Size
	entry := policy.Entry{Endpoint: x.number, Zone: place(l.zones, m.Locality), Kind: place(l.flavors, m.Flavor), Dest: m.Cell,
		State: policy.Ready, Rate: m.Size}
	switch m.Phase {
	case discovery.Draining:
		entry.State = policy.Draining
	case discovery.Removed:
		entry.State, entry.Dest = policy.Removed, x.cell
		return entry
	}
	x.hostPort, x.cell, x.hash = m.HostPort, m.Cell, simrelay.MemberHash(m)
	l.hash += x.hash
	l.members++
	return entry
}

// forget takes a member out of what is counted.
func (l *list) forget(x *endpoint) {
	if x.phase != discovery.Removed {
		l.hash -= x.hash
		l.members--
	}
}

// dropUnlisted books that what a whole list leaves out is gone.
func (l *list) dropUnlisted(news *discovery.List) {
	listed := make(map[string]bool, len(news.Members))
	for i := range news.Members {
		listed[news.Members[i].ID] = true
	}
	for id, x := range l.byID {
		if !listed[id] && x.phase != discovery.Removed {
			l.forget(x)
			x.phase = discovery.Removed
			l.pending = append(l.pending, simrelay.ChangeKey(id, discovery.Removed, 0))
		}
	}
}

// inForce books that the policy has all news that was taken.
func (l *list) inForce(now time.Time) {
	for _, key := range l.pending {
		l.heard = append(l.heard, simrelay.Heard{Key: key, At: now.UnixMicro()})
	}
	l.pending, l.news = l.pending[:0], false
}

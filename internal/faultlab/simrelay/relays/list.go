package relays

import (
	"fmt"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/policy"
)

// endpoint holds the fields of a list member that a real relay keeps as well.
type endpoint struct {
	number      policy.Endpoint
	id          string
	hostPort    string
	destination int
	phase       string
	size        float64
	hash        uint64
}

// list is one relay's copy of the endpoint list.
type list struct {
	zones, flavors map[string]int
	byID           map[string]*endpoint
	byNumber       map[policy.Endpoint]*endpoint
	lastNumber     policy.Endpoint
	hash           uint64
	members        int
	revision       int64
	completeLists  int // complete lists received
	applied        []simrelay.AppliedChange
	updated        bool     // the list has updates that the policy has not received yet
	pendingKeys    []uint64 // keys of the changes that the policy receives in its next step
	outOfOrder     []string // descriptions of changes that came before the first complete list, or with a revision that was not higher than the last
}

func newList(zones, flavors []string) *list {
	return &list{zones: indexByName(zones), flavors: indexByName(flavors), byID: map[string]*endpoint{}, byNumber: map[policy.Endpoint]*endpoint{}}
}

// indexByName maps each name to its index.
func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// indexOf returns the index of a name, or -1 if the name is unknown.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}

// update applies a complete list or a change to the list and returns the event that passes
// it on to the policy.
func (l *list) update(update *discovery.List) policy.Event {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListDelta}
	first := l.completeLists == 0
	if !update.Complete && (first || update.Revision <= l.revision) {
		l.outOfOrder = append(l.outOfOrder, fmt.Sprintf("a change to revision %d after %d, %d complete lists", update.Revision, l.revision, l.completeLists))
	}
	l.revision, l.updated = update.Revision, true
	e.Entries = make([]policy.Entry, 0, len(update.Members))
	for i := range update.Members {
		e.Entries = append(e.Entries, l.applyMember(&update.Members[i], !first))
	}
	if update.Complete {
		l.completeLists++
		e.ListUpdate = policy.ListFull
		l.dropUnlisted(update)
	}
	return e
}

// applyMember applies one member of an update and returns its entry for the policy. With
// recordChange it adds the key of a change to pendingKeys.
func (l *list) applyMember(m *discovery.Member, recordChange bool) policy.Entry {
	known := l.byID[m.ID]
	if known == nil {
		l.lastNumber++
		known = &endpoint{number: l.lastNumber, id: m.ID, phase: discovery.Removed}
		l.byID[m.ID], l.byNumber[known.number] = known, known
	}
	if recordChange && (known.phase != m.Phase || known.size != m.Size) {
		l.pendingKeys = append(l.pendingKeys, simrelay.ChangeKey(m.ID, m.Phase, m.Size))
	}
	l.excludeFromHash(known)
	known.phase, known.size = m.Phase, m.Size
	entry := policy.Entry{Endpoint: known.number, Zone: indexOf(l.zones, m.Locality), Kind: indexOf(l.flavors, m.Flavor), Dest: m.Cell,
		State: policy.Ready, Rate: m.Size}
	switch m.Phase {
	case discovery.Draining:
		entry.State = policy.Draining
	case discovery.Removed:
		entry.State, entry.Dest = policy.Removed, known.destination
		return entry
	}
	known.hostPort, known.destination, known.hash = m.HostPort, m.Cell, simrelay.MemberHash(m)
	l.hash += known.hash
	l.members++
	return entry
}

// excludeFromHash subtracts a member from the list's hash and number of members, unless
// the member is removed already.
func (l *list) excludeFromHash(known *endpoint) {
	if known.phase != discovery.Removed {
		l.hash -= known.hash
		l.members--
	}
}

// dropUnlisted removes the members that a complete list does not contain.
func (l *list) dropUnlisted(update *discovery.List) {
	listed := make(map[string]bool, len(update.Members))
	for i := range update.Members {
		listed[update.Members[i].ID] = true
	}
	for id, known := range l.byID {
		if !listed[id] && known.phase != discovery.Removed {
			l.excludeFromHash(known)
			known.phase = discovery.Removed
			l.pendingKeys = append(l.pendingKeys, simrelay.ChangeKey(id, discovery.Removed, 0))
		}
	}
}

// markApplied records the time at which the policy has received all pending changes.
func (l *list) markApplied(now time.Time) {
	for _, key := range l.pendingKeys {
		l.applied = append(l.applied, simrelay.AppliedChange{Key: key, At: now.UnixMicro()})
	}
	l.pendingKeys, l.updated = l.pendingKeys[:0], false
}

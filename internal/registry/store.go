package registry

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"
	"sync"

	"plovershore/internal/discovery"
)

// store is one node's copy of the state, and wakes those who wait for its changes. It
// is safe for concurrent use.
type store struct {
	onApplied func(Command, Result) // called after each command, without mu

	mu           sync.RWMutex
	state        *State
	listChanged  chan struct{} // closed at the list's next change
	rolesChanged chan struct{} // closed at the next change of sessions or roles

	// Lines of watches, encoded once for all watchers.
	encodedChanges      map[int64][]byte // of the history, by revision
	encodedList         []byte           // the complete list; nil for not encoded
	encodedListRevision int64
}

func newStore() *store {
	return &store{
		onApplied:      func(Command, Result) {},
		state:          NewState(),
		listChanged:    make(chan struct{}),
		rolesChanged:   make(chan struct{}),
		encodedChanges: map[int64][]byte{},
	}
}

// wakeWatchers wakes all who wait for a change of the list. The caller holds s.mu.
func (s *store) wakeWatchers() {
	close(s.listChanged)
	s.listChanged = make(chan struct{})
	s.encodedList = nil
	if len(s.encodedChanges) > 2*maxHistory {
		s.encodedChanges = map[int64][]byte{}
	}
}

// wakeRolePolls wakes all who wait for a change of roles. The caller holds s.mu.
func (s *store) wakeRolePolls() {
	close(s.rolesChanged)
	s.rolesChanged = make(chan struct{})
}

// watchLine is one line of a watch: what a relay reads, and the epoch.
type watchLine struct {
	discovery.List
	Epoch string `json:"epoch"`
}

func encodeLine(list discovery.List, epoch string) []byte {
	text, _ := json.Marshal(watchLine{list, epoch}) // strings and numbers alone: cannot fail
	return append(text, '\n')
}

// list returns the complete list as a line, and its revision.
func (s *store) list() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLine(), s.state.Revision
}

// listLine encodes the complete list. The caller holds s.mu.
func (s *store) listLine() []byte {
	if s.encodedList == nil || s.encodedListRevision != s.state.Revision {
		s.encodedList = encodeLine(s.state.List(), s.state.Epoch)
		s.encodedListRevision = s.state.Revision
	}
	return s.encodedList
}

// changesSince returns the lines that bring a watch from a revision of an epoch up to
// date, the position that it reaches by them, and a channel that is closed at the next
// change.
func (s *store) changesSince(epoch string, revision int64) (lines [][]byte, newRevision int64, newEpoch string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.state.Since(revision)
	if !ok || epoch != s.state.Epoch {
		return [][]byte{s.listLine()}, s.state.Revision, s.state.Epoch, s.listChanged
	}
	for _, c := range s.state.History[first:] {
		lines = append(lines, s.changeLine(c))
	}
	return lines, s.state.Revision, s.state.Epoch, s.listChanged
}

// changeLine encodes one change. The caller holds s.mu.
func (s *store) changeLine(c Change) []byte {
	text := s.encodedChanges[c.Revision]
	if text == nil {
		text = encodeLine(discovery.List{Revision: c.Revision, Members: c.Members}, s.state.Epoch)
		s.encodedChanges[c.Revision] = text
	}
	return text
}

// position returns which list this is, and how many members it has.
func (s *store) position() (epoch string, revision int64, members int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Epoch, s.state.Revision, len(s.state.Members)
}

// members returns a copy of all members in order of ids. It costs as much as the list
// is long.
func (s *store) members() (all []Member, epoch string, revision int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, id := range s.state.memberIDs() {
		all = append(all, s.state.Members[id])
	}
	return all, s.state.Epoch, s.state.Revision
}

// eachMember yields all members, in no order and without a copy. No command is applied
// meanwhile.
func (s *store) eachMember() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		s.mu.RLock()
		defer s.mu.RUnlock()
		for _, m := range s.state.Members {
			if !yield(m) {
				return
			}
		}
	}
}

// sortHeartbeats separates heartbeats by whether the sender holds the registration.
// Its cost doesn't depend on the length of the list.
func (s *store) sortHeartbeats(heartbeats []Heartbeat) (known, unknown []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, h := range heartbeats {
		if m, ok := s.state.Members[h.ID]; ok && m.Holder == h.Holder {
			known = append(known, h.ID)
		} else {
			unknown = append(unknown, h.ID)
		}
	}
	return known, unknown
}

// zones returns every zone that has a region or a member, by name.
func (s *store) zones() []ZoneStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	byName := map[string]*ZoneStatus{}
	zone := func(name string) *ZoneStatus {
		if byName[name] == nil {
			byName[name] = &ZoneStatus{Zone: Zone{Name: name, Region: s.state.Zones[name]}}
		}
		return byName[name]
	}
	for name := range s.state.Zones {
		zone(name)
	}
	for _, m := range s.state.Members {
		z := zone(m.Locality)
		z.Members++
		if m.Phase == discovery.Draining {
			z.Draining++
		}
	}
	all := make([]ZoneStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, *byName[name])
	}
	return all
}

// roleList returns all roles and sessions, and a channel that is closed at their next
// change.
func (s *store) roleList() (RoleList, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.roleList(), s.rolesChanged
}

func (s *store) roles() map[string]Role {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Roles)
}

func (s *store) lastToken() (token, roleRevision int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.LastToken, s.state.RoleRevision
}

func (s *store) sessions() map[string]Session {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Sessions)
}

func (s *store) hasSession(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.state.Sessions[id]
	return ok
}

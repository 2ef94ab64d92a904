package registry

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"
	"sync"

	"plovershore/internal/discovery"
)

// store is one node's copy of the state. It wakes the goroutines that wait for a change
// of it. It is safe for concurrent use.
type store struct {
	onApplied func(Command, Result) // called after each applied command; mu isn't held

	mu           sync.RWMutex
	state        *State
	listChanged  chan struct{} // closed at the list's next change
	rolesChanged chan struct{} // closed at the next change of sessions or roles

	// Lines that are sent to watchers, encoded once for all of them.
	encodedChanges      map[int64][]byte // one line for each change of the history, keyed by revision
	encodedList         []byte           // the complete list; nil until a watcher needs it
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

// wakeWatchers wakes all goroutines that wait for a change of the list, and drops lines
// that are out of date. The caller holds s.mu.
func (s *store) wakeWatchers() {
	close(s.listChanged)
	s.listChanged = make(chan struct{})
	s.encodedList = nil
	if len(s.encodedChanges) > 2*maxHistory {
		s.encodedChanges = map[int64][]byte{}
	}
}

// wakeRolePolls wakes all goroutines that wait for a change of roles or sessions. The
// caller holds s.mu.
func (s *store) wakeRolePolls() {
	close(s.rolesChanged)
	s.rolesChanged = make(chan struct{})
}

// watchLine is one line of a watch: the list or the change in the form that relays read,
// with the epoch added.
type watchLine struct {
	discovery.List
	Epoch string `json:"epoch"`
}

func encodeLine(list discovery.List, epoch string) []byte {
	text, _ := json.Marshal(watchLine{list, epoch}) // cannot fail: a line has only strings, numbers and booleans
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

// changesSince returns the lines that bring a watch up to date from a revision of an
// epoch, the revision and the epoch that the watch is at after these lines, and a channel
// that is closed at the next change.
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

// position returns the list's epoch, its revision and the number of its members.
func (s *store) position() (epoch string, revision int64, members int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Epoch, s.state.Revision, len(s.state.Members)
}

// members returns a copy of all members in order of ids. Its cost grows with the length
// of the list.
func (s *store) members() (all []Member, epoch string, revision int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, id := range s.state.memberIDs() {
		all = append(all, s.state.Members[id])
	}
	return all, s.state.Epoch, s.state.Revision
}

// eachMember yields all members, in no order and without a copy. No command is applied
// during the iteration, which holds the read lock.
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

// partitionHeartbeats splits the member ids of heartbeats by whether the sender holds the
// registration: known if it does, unknown if it doesn't or there is none.
// Its cost doesn't depend on the length of the list.
func (s *store) partitionHeartbeats(heartbeats []Heartbeat) (known, unknown []string) {
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

// zones returns every zone that has a region or a member, sorted by name.
func (s *store) zones() []ZoneStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	byName := map[string]*ZoneStatus{}
	statusOf := func(name string) *ZoneStatus {
		if byName[name] == nil {
			byName[name] = &ZoneStatus{Zone: Zone{Name: name, Region: s.state.Zones[name]}}
		}
		return byName[name]
	}
	for name := range s.state.Zones {
		statusOf(name)
	}
	for _, m := range s.state.Members {
		status := statusOf(m.Locality)
		status.Members++
		if m.Phase == discovery.Draining {
			status.Draining++
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

package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"plovershore/internal/discovery"
)

// store is the state of one node, as the group's log drives it, with what is
// closed at each change.
type store struct {
	mu                  sync.RWMutex
	state               *State
	encodedChanges      map[int64][]byte // of the history, as a watch sends them: made once for all watchers
	encodedList         []byte           // the whole list as a line, at encodedListRevision
	encodedListRevision int64
	listChanged         chan struct{}
	rolesChanged        chan struct{} // closed when a session or a duty has changed
	onApplied           func(Command, Result)
}

func newStore() *store {
	return &store{state: NewState(), encodedChanges: map[int64][]byte{}, listChanged: make(chan struct{}), rolesChanged: make(chan struct{}), onApplied: func(Command, Result) {}}
}

// Apply is raft.FSM's: one committed command.
func (s *store) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return Result{Status: 400, Error: err.Error()} // the same on every node
	}
	s.mu.Lock()
	before, duties := s.state.Revision, s.state.RoleRevision
	a := s.state.Apply(c)
	if s.state.Revision != before {
		s.wakeWatchers()
	}
	if s.state.RoleRevision != duties {
		s.wakeRolePolls()
	}
	s.mu.Unlock()
	s.onApplied(c, a)
	return a
}

// wakeWatchers has every watch look; s.mu is held.
func (s *store) wakeWatchers() {
	close(s.listChanged)
	s.listChanged = make(chan struct{})
	s.encodedList = nil
	if len(s.encodedChanges) > 2*maxHistory {
		s.encodedChanges = map[int64][]byte{}
	}
}

// Snapshot is raft.FSM's. The state is copied as JSON, so that commands go on.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	text, err := json.Marshal(s.state)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot(text), nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), sink.Cancel())
	}
	if err := sink.Close(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

func (snapshot) Release() {}

// Restore is raft.FSM's.
func (s *store) Restore(r io.ReadCloser) error {
	defer r.Close()
	state, err := ReadState(r)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.encodedChanges = map[int64][]byte{}
	s.wakeWatchers()
	s.wakeRolePolls()
	return nil
}

// watchLine is what a watch sends, with an epoch beside what the relay reads.
type watchLine struct {
	discovery.List
	Epoch string `json:"epoch"`
}

func encodeLine(l discovery.List, epoch string) []byte {
	text, _ := json.Marshal(watchLine{l, epoch}) // strings and numbers alone: cannot fail
	return append(text, '\n')
}

// list is the whole list as a line, with its revision.
func (s *store) list() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLine(), s.state.Revision
}

func (s *store) listLine() []byte {
	if s.encodedList == nil || s.encodedListRevision != s.state.Revision {
		s.encodedList, s.encodedListRevision = encodeLine(s.state.List(), s.state.Epoch), s.state.Revision
	}
	return s.encodedList
}

// changesSince gives the lines that a watch at a revision of an epoch sends next, with
// the revision that it is at then, and what is closed at the next change.
func (s *store) changesSince(epoch string, revision int64) (lines [][]byte, at int64, now string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.state.Since(revision)
	if !ok || epoch != s.state.Epoch {
		return [][]byte{s.listLine()}, s.state.Revision, s.state.Epoch, s.listChanged
	}
	for _, c := range s.state.History[i:] {
		text := s.encodedChanges[c.Revision]
		if text == nil {
			text = encodeLine(discovery.List{Revision: c.Revision, Members: c.Members}, s.state.Epoch)
			s.encodedChanges[c.Revision] = text
		}
		lines = append(lines, text)
	}
	return lines, s.state.Revision, s.state.Epoch, s.listChanged
}

// zones gives every zone that is in a region or has a member, by name.
func (s *store) zones() []ZoneStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := map[string]*ZoneStatus{}
	of := func(name string) *ZoneStatus {
		if all[name] == nil {
			all[name] = &ZoneStatus{Zone: Zone{Name: name, Region: s.state.Zones[name]}}
		}
		return all[name]
	}
	for name := range s.state.Zones {
		of(name)
	}
	for _, m := range s.state.Members {
		z := of(m.Locality)
		if z.Members++; m.Phase == discovery.Draining {
			z.Draining++
		}
	}
	out := make([]ZoneStatus, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		out = append(out, *all[name])
	}
	return out
}

// wakeRolePolls has every poll of the duties look; s.mu is held.
func (s *store) wakeRolePolls() {
	close(s.rolesChanged)
	s.rolesChanged = make(chan struct{})
}

// roleList gives all duties, and what is closed at their next change.
func (s *store) roleList() (RoleList, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.roleList(), s.rolesChanged
}

func (s *store) hasSession(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.state.Sessions[id]
	return ok
}

func (s *store) sessions() map[string]Session {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Sessions)
}

func (s *store) roles() map[string]Role {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Roles)
}

func (s *store) lastToken() (last, dutyRev int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.LastToken, s.state.RoleRevision
}

// position tells which list this is, and how many members it has.
func (s *store) position() (epoch string, revision int64, members int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Epoch, s.state.Revision, len(s.state.Members)
}

// sortHeartbeats tells which heartbeats are of members that are registered by whoever
// sends them. Its cost is that of the heartbeats, however long the list is.
func (s *store) sortHeartbeats(beats []Heartbeat) (known, unknown []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, b := range beats {
		if m, ok := s.state.Members[b.ID]; ok && m.Holder == b.Holder {
			known = append(known, b.ID)
		} else {
			unknown = append(unknown, b.ID)
		}
	}
	return known, unknown
}

// eachMember goes through all members, in no order and with no copy; nothing is
// applied meanwhile.
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

// members gives a copy of all members, by id. It costs what the list is long.
func (s *store) members() (all []Member, epoch string, revision int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, id := range s.state.memberIDs() {
		all = append(all, s.state.Members[id])
	}
	return all, s.state.Epoch, s.state.Revision
}

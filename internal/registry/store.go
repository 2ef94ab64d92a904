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
	mu      sync.RWMutex
	state   *State
	lines   map[int64][]byte // of the history, as a watch sends them: made once for all watchers
	whole   []byte           // the whole list as a line, at wholeAt
	wholeAt int64
	changed chan struct{}
	stirred chan struct{} // closed when a session or a duty has changed
	applied func(Command, Result)
}

func newStore() *store {
	return &store{state: NewState(), lines: map[int64][]byte{}, changed: make(chan struct{}), stirred: make(chan struct{}), applied: func(Command, Result) {}}
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
		s.wake()
	}
	if s.state.RoleRevision != duties {
		s.stir()
	}
	s.mu.Unlock()
	s.applied(c, a)
	return a
}

// wake has every watch look; s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.whole = nil
	if len(s.lines) > 2*historyMost {
		s.lines = map[int64][]byte{}
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
	s.lines = map[int64][]byte{}
	s.wake()
	s.stir()
	return nil
}

// line is what a watch sends, with an epoch beside what the relay reads.
type line struct {
	discovery.List
	Epoch string `json:"epoch"`
}

func encode(l discovery.List, epoch string) []byte {
	text, _ := json.Marshal(line{l, epoch}) // strings and numbers alone: cannot fail
	return append(text, '\n')
}

// list is the whole list as a line, with its revision.
func (s *store) list() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wholeLine(), s.state.Revision
}

func (s *store) wholeLine() []byte {
	if s.whole == nil || s.wholeAt != s.state.Revision {
		s.whole, s.wholeAt = encode(s.state.List(), s.state.Epoch), s.state.Revision
	}
	return s.whole
}

// since gives the lines that a watch at a revision of an epoch sends next, with
// the revision that it is at then, and what is closed at the next change.
func (s *store) since(epoch string, revision int64) (lines [][]byte, at int64, now string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.state.Since(revision)
	if !ok || epoch != s.state.Epoch {
		return [][]byte{s.wholeLine()}, s.state.Revision, s.state.Epoch, s.changed
	}
	for _, c := range s.state.History[i:] {
		text := s.lines[c.Revision]
		if text == nil {
			text = encode(discovery.List{Revision: c.Revision, Members: c.Members}, s.state.Epoch)
			s.lines[c.Revision] = text
		}
		lines = append(lines, text)
	}
	return lines, s.state.Revision, s.state.Epoch, s.changed
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

// stir has every poll of the duties look; s.mu is held.
func (s *store) stir() {
	close(s.stirred)
	s.stirred = make(chan struct{})
}

// duties gives all duties, and what is closed at their next change.
func (s *store) duties() (RoleList, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.dutyList(), s.stirred
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

func (s *store) eachDuty() map[string]Role {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Roles)
}

func (s *store) tokens() (last, dutyRev int64) {
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

// sortBeats tells which heartbeats are of members that are registered by whoever
// sends them. Its cost is that of the heartbeats, however long the list is.
func (s *store) sortBeats(beats []Heartbeat) (known, unknown []string) {
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
	for _, id := range s.state.ids() {
		all = append(all, s.state.Members[id])
	}
	return all, s.state.Epoch, s.state.Revision
}

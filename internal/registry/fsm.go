package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hashicorp/raft"
)

// The store is the node's raft.FSM.
var _ raft.FSM = (*store)(nil)

// Apply implements raft.FSM: it applies one committed command and returns its Result.
func (s *store) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return Result{Status: http.StatusBadRequest, Error: err.Error()} // every node gives the same result
	}
	result := s.applyCommand(c)
	s.onApplied(c, result)
	return result
}

func (s *store) applyCommand(c Command) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, roleRevision := s.state.Revision, s.state.RoleRevision
	result := s.state.Apply(c)
	if s.state.Revision != revision {
		s.wakeWatchers()
	}
	if s.state.RoleRevision != roleRevision {
		s.wakeRolePolls()
	}
	return result
}

// Snapshot implements raft.FSM. It encodes the state as JSON at once, so that commands
// can be applied while raft writes the text to disk.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	text, err := json.Marshal(s.state)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot(text), nil
}

// snapshot is the state's JSON text.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), sink.Cancel())
	}
	if err := sink.Close(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Release implements raft.FSMSnapshot. It does nothing, since a snapshot is a copy of the
// state as text and holds no lock or file.
func (snapshot) Release() {}

// Restore implements raft.FSM.
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

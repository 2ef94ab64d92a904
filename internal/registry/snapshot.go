package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"plovershore/internal/discovery"
)

// ErrInvalidSnapshot is wrapped by the errors of ReadState for a snapshot that was
// decoded but whose contents contradict each other. Errors of the reader and of decoding
// the JSON don't wrap it.
var ErrInvalidSnapshot = errors.New("snapshot")

func invalidSnapshot(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrInvalidSnapshot, fmt.Errorf(format, args...))
}

// Write writes the state as a snapshot: one JSON object.
func (s *State) Write(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// ReadState reads a snapshot of this or an earlier version, and validates it.
func ReadState(r io.Reader) (*State, error) {
	s := NewState()
	if err := json.NewDecoder(r).Decode(s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.addMissingMaps()
	for _, validate := range []func() error{s.validateHistory, s.validateRoles, s.validateMembers, s.validateResults} {
		if err := validate(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addMissingMaps creates the maps that are null in a snapshot, except Members and
// Results, which are required.
func (s *State) addMissingMaps() {
	if s.Zones == nil {
		s.Zones = map[string]string{}
	}
	if s.Sessions == nil {
		s.Sessions = map[string]Session{}
	}
	if s.Operations == nil {
		s.Operations = map[string]Operation{}
	}
	if s.Roles == nil {
		s.Roles = map[string]Role{}
	}
}

func (s *State) validateHistory() error {
	last := int64(0)
	for i, c := range s.History {
		if c.Revision <= last || c.Revision > s.Revision {
			return invalidSnapshot("history[%d].revision: %d is out of order", i, c.Revision)
		}
		last = c.Revision
	}
	return nil
}

func (s *State) validateRoles() error {
	for name, role := range s.Roles {
		if role.Token > s.LastToken {
			return invalidSnapshot("duties.%s.token: %d is beyond the last, %d", name, role.Token, s.LastToken)
		}
	}
	return nil
}

func (s *State) validateMembers() error {
	for id, m := range s.Members {
		if m.ID != id || m.Phase == discovery.Removed {
			return invalidSnapshot("members.%s: not a member that can be held", id)
		}
		if err := m.Validate(); err != nil {
			return invalidSnapshot("%w", err)
		}
	}
	return nil
}

func (s *State) validateResults() error {
	if len(s.ResultOrder) != len(s.Results) {
		return invalidSnapshot("order: %d of %d answers", len(s.ResultOrder), len(s.Results))
	}
	if s.Members == nil || s.Results == nil {
		return invalidSnapshot("members or answers: missing")
	}
	return nil
}

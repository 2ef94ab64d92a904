// Package discovery is what relay, registry and lab share of the list of
// endpoints: its types and form on the wire, the watch by which a relay follows
// it, and the notices that it takes. It promises that news comes in order and
// with no gap, and that a notice is sent until it was taken; what follows from
// either is left to its users.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
)

// Phases of a member.
const (
	Up       = "up"
	Draining = "draining" // takes nothing new, and finishes what it has
	Removed  = "removed"  // occurs among changes alone
)

// Member is an endpoint in discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // the zone it is in
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"` // the destination that it serves
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // Unix time at which it last started; 0 for long ago
}

// Validate returns an error that says what keeps a member from being used, or nil.
func (m *Member) Validate() error {
	switch {
	case m.ID == "":
		return errors.New("member without id")
	case m.Phase != Up && m.Phase != Draining && m.Phase != Removed:
		return fmt.Errorf("member %s: unknown phase %q", m.ID, m.Phase)
	case m.Phase == Removed:
		return nil
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return fmt.Errorf("member %s: host_port: %w", m.ID, err)
	}
	return nil
}

// List is discovery's list, or what changed in it.
type List struct {
	Revision int64    `json:"revision"` // of the list with these changes; it never falls
	Complete bool     `json:"complete"` // the whole list: a member that is missing is gone
	Members  []Member `json:"members"`
}

// Valid reports whether this is a whole list that can be used as it stands.
func (l *List) Valid() bool {
	return l != nil && l.Complete && !slices.ContainsFunc(l.Members, func(m Member) bool { return m.Validate() != nil })
}

// Parse reads a list, or a line of a watch, and checks its members. Where the
// text ends in the middle of one the error wraps io.ErrUnexpectedEOF.
func Parse(text []byte) (*List, error) {
	l := &List{}
	in := json.NewDecoder(bytes.NewReader(text))
	if err := in.Decode(l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("discovery: something follows the list")
	}
	if l.Members == nil {
		return nil, errors.New("discovery: no members")
	}
	for i := range l.Members {
		if err := l.Members[i].Validate(); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	return l, nil
}

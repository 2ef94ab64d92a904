// Package discovery is the client side of service discovery, shared by the
// relay, the registry and the fault lab: the endpoint list with its JSON form,
// the watch by which a relay follows the list, and the notices by which it
// reports messages that were not delivered. Updates are delivered in order and
// without a gap, and a notice is sent until it is acknowledged, or rejected as
// malformed.
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

// Phases of a member, as they stand on the wire.
const (
	Up       = "up"       // the member takes calls
	Draining = "draining" // the member takes no new calls, and finishes those in flight
	Removed  = "removed"  // the member has left the list; only changes have this phase, never a complete list
)

// Member is an endpoint in the endpoint list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // the member's zone
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"` // the destination that the member serves
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`        // the member's capacity, relative to the other members
	UpSince  int64   `json:"up_since_ms"` // Unix milliseconds at which the member last started; 0 if that was long ago
}

// Validate returns an error if the member cannot be used: it has no id, an unknown
// phase or a malformed HostPort. A removed member needs only an id.
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

// List is the complete endpoint list, or the changes from one revision to a later one.
type List struct {
	Revision int64    `json:"revision"` // revision of the list with these changes applied; it never decreases
	Complete bool     `json:"complete"` // Members holds all members, and one that is missing was removed; if false, Members holds changes
	Members  []Member `json:"members"`
}

// Valid reports whether l is a complete list whose members are all valid. A nil
// list is not valid.
func (l *List) Valid() bool {
	return l != nil && l.Complete && !slices.ContainsFunc(l.Members, func(m Member) bool { return m.Validate() != nil })
}

// Parse decodes a list, or an update of a watch, from JSON and validates its
// members. If the text ends in the middle of the JSON value, the error wraps
// io.ErrUnexpectedEOF.
func Parse(text []byte) (*List, error) {
	l := &List{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("discovery: trailing data after the list")
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

// Package registry is the list service: a replicated list of endpoints with
// versions, watches and registrations that lapse. It promises that a change
// that was answered is never lost while a majority lasts, that its revision
// only grows, and that a watcher sees every change once and in order. Following
// a group from outside is left to package client, and serving a relay to package
// agent.
package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"plovershore/internal/discovery"
)

const (
	maxHistory = 4096 // changes that a watch may go on from
	maxResults = 8192 // of requests that are remembered by their id
)

// Member is a registration as the group holds it.
type Member struct {
	discovery.Member
	TTL     time.Duration `json:"ttl,omitempty"` // lapses when nothing was heard for so long; 0 for never
	Static  bool          `json:"static,omitempty"`
	Holder  string        `json:"holder,omitempty"` // who registered it: another may not renew it
	Since   int64         `json:"since"`            // revision at which it registered
	Changed int64         `json:"changed"`          // revision of its last change
}

// Op says what a command does.
type Op string

// The commands.
const (
	OpAdd    Op = "add"    // a registration, new or as it stands
	OpPhase  Op = "phase"  // up or draining
	OpRemove Op = "remove" // leaves, or was removed by an operator
	OpExpire Op = "lapse"  // several at once that were not heard of
	OpEpoch  Op = "epoch"  // the group begins, or was restored
	OpZone   Op = "zone"   // a zone is put into a region, or out of any

	OpSession    Op = "session"     // a warden opens one
	OpSessionEnd Op = "session-end" // it leaves, or was not heard of
	OpGrant      Op = "grant"       // a duty that nobody holds
	OpNote       Op = "note"        // where its work stands
	OpRelease    Op = "release"     // it is given up
	OpDisable    Op = "hold"        // operators: nobody may hold it; or anybody may again
	OpOperation  Op = "order"       // operators: something to be done by a duty
	OpProgress   Op = "progress"    // of it, by the duty's holder
)

// Command is one change, as it stands in the log.
type Command struct {
	Request        string           `json:"request"` // drawn by the client; a second command with it changes nothing
	Op             Op               `json:"op"`
	Member         Member           `json:"member,omitzero"`
	ID             string           `json:"id,omitempty"`
	Phase          string           `json:"phase,omitempty"`
	Holder         string           `json:"holder,omitempty"` // where told, it has to be the member's
	IfChanged      int64            `json:"if,omitempty"`     // where told, the member's Changed has to be this
	Expired        map[string]int64 `json:"lapsed,omitempty"` // by id, the Since of each
	Epoch          string           `json:"epoch,omitempty"`
	Zone           string           `json:"zone,omitempty"`
	Region         string           `json:"region,omitempty"` // empty: the zone is of none
	Session        Session          `json:"session,omitzero"`
	EndedSessions  []string         `json:"ended,omitempty"`  // sessions
	LeaseDurations map[string]int64 `json:"lasted,omitempty"` // by duty, the ms for which an ended session has held it; nil from an older leader
	Role           string           `json:"duty,omitempty"`   // of the duty's own; on any other, with Token, its fence
	Token          int64            `json:"token,omitempty"`
	Note           string           `json:"note,omitempty"`
	Successor      string           `json:"next,omitempty"`
	Healthy        bool             `json:"good,omitempty"` // the work goes well
	Failed         bool             `json:"failed,omitempty"`
	LeaseLost      bool             `json:"lost,omitempty"` // release: the lease ended under the work
	Disabled       bool             `json:"off,omitempty"`
	Operation      Operation        `json:"order,omitzero"`
	At             int64            `json:"at,omitempty"` // Unix ms, drawn by the leader: replicas read no clock
}

// Result is what a command came to.
type Result struct {
	Revision int64  `json:"revision"`
	Status   int    `json:"status"` // as HTTP has it: 200, 404, 409
	Error    string `json:"error,omitempty"`
	Changed  int64  `json:"changed,omitempty"` // of the member, where that was at odds
	Token    int64  `json:"token,omitempty"`   // of a grant; where a token was refused, the present one
	Note     string `json:"note,omitempty"`    // of a grant: where the holder before stood
	Term     int64  `json:"term,omitempty"`    // of a grant
}

// Change is one entry of the history.
type Change struct {
	Revision int64              `json:"revision"`
	Members  []discovery.Member `json:"members"`
}

// State is the replicated state. It is plain data and code: no clock, no draw,
// no goroutine; its user keeps calls apart.
type State struct {
	Epoch       string            `json:"epoch"`
	Revision    int64             `json:"revision"`
	Members     map[string]Member `json:"members"`
	History     []Change          `json:"history"`
	Results     map[string]Result `json:"answers"`
	ResultOrder []string          `json:"order"`           // of Answers, oldest first
	Zones       map[string]string `json:"zones,omitempty"` // the region of each that is in one

	Sessions     map[string]Session   `json:"sessions,omitempty"`
	Roles        map[string]Role      `json:"duties,omitempty"`
	LastToken    int64                `json:"tokens,omitempty"`   // the last that was granted
	RoleRevision int64                `json:"duty_rev,omitempty"` // of sessions and duties; only grows
	Operations   map[string]Operation `json:"orders,omitempty"`

	memberAt map[string]string // the member at each address; made anew where it is nil
}

// NewState makes that of a group which has just begun.
func NewState() *State {
	return &State{Members: map[string]Member{}, Results: map[string]Result{}, Zones: map[string]string{},
		Sessions: map[string]Session{}, Roles: map[string]Role{}, Operations: map[string]Operation{}}
}

// Apply takes one command. The same commands in the same order give the same
// state and answers everywhere.
func (s *State) Apply(c Command) Result {
	if a, ok := s.Results[c.Request]; ok && c.Request != "" {
		return a
	}
	a := s.apply(&c)
	a.Revision = s.Revision
	if c.Request != "" {
		s.Results[c.Request] = a
		s.ResultOrder = append(s.ResultOrder, c.Request)
		for len(s.ResultOrder) > maxResults {
			delete(s.Results, s.ResultOrder[0])
			s.ResultOrder = s.ResultOrder[1:]
		}
	}
	return a
}

func (s *State) apply(c *Command) Result {
	if a, done := s.applyDuty(c); done {
		return a
	}
	switch c.Op {
	case OpAdd:
		return s.addMember(c)
	case OpPhase, OpRemove:
		m, a := s.findMember(c)
		if a.Status != 200 {
			return a
		}
		if c.Op == OpRemove {
			s.removeMember(m)
			return a
		}
		if m.Phase != c.Phase {
			m.Phase = c.Phase
			s.putMember(&m)
		}
		return a
	case OpExpire:
		gone := Change{Revision: s.Revision + 1}
		for id, since := range c.Expired {
			if m, ok := s.Members[id]; ok && m.Since == since && m.TTL > 0 {
				m.Phase = discovery.Removed
				gone.Members = append(gone.Members, m.Member)
				s.deleteMember(m)
			}
		}
		if len(gone.Members) > 0 { // in one order on all nodes
			slices.SortFunc(gone.Members, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
			s.appendChange(gone)
		}
		return Result{Status: 200}
	case OpOperation:
		return s.putOperation(c)
	case OpProgress:
		return s.reportProgress(c)
	case OpZone:
		if c.Region == "" {
			delete(s.Zones, c.Zone)
		} else {
			s.Zones[c.Zone] = c.Region
		}
		return Result{Status: 200}
	case OpEpoch:
		s.Epoch, s.History = c.Epoch, nil // whoever watches from before gets the whole list
		s.LastToken = max(s.LastToken, c.At/1000*tokensPerSecond)
		s.RoleRevision++
		s.Revision++
		return Result{Status: 200}
	}
	return Result{Status: 400, Error: fmt.Sprintf("op: %q is unknown", c.Op)}
}

// addMember registers a member. One that registers again as it stands changes
// nothing; its address belongs to the id that registered it last, so an older
// one that still claims it is gone.
func (s *State) addMember(c *Command) Result {
	m := c.Member
	old, known := s.Members[m.ID]
	switch {
	case c.IfChanged > 0 && (!known || old.Changed != c.IfChanged):
		return Result{Status: 409, Error: "the member has changed since", Changed: old.Changed}
	case known && old.Holder != m.Holder && old.Phase != discovery.Removed && old.HostPort != m.HostPort && c.IfChanged == 0:
		return Result{Status: 409, Error: fmt.Sprintf("member %s is registered by another, at %s", m.ID, old.HostPort), Changed: old.Changed}
	}
	if id, ok := s.addressIndex()[m.HostPort]; ok && id != m.ID {
		s.removeMember(s.Members[id])
	}
	m.UpSince = c.At
	if m.Static {
		m.UpSince = 0
	}
	again := known && old.Holder == m.Holder && old.HostPort == m.HostPort
	if again {
		m.UpSince = old.UpSince
	}
	if known && old.Member == m.Member && old.TTL == m.TTL && old.Holder == m.Holder && old.Static == m.Static {
		return Result{Status: 200, Changed: old.Changed}
	}
	m.Since = s.Revision + 1
	if again {
		m.Since = old.Since
	}
	s.putMember(&m)
	return Result{Status: 200, Changed: m.Changed}
}

// findMember gives the member of a command that names one, or why not.
func (s *State) findMember(c *Command) (Member, Result) {
	m, ok := s.Members[c.ID]
	switch {
	case !ok:
		return m, Result{Status: 404, Error: fmt.Sprintf("member %s is unknown", c.ID)}
	case c.IfChanged > 0 && m.Changed != c.IfChanged:
		return m, Result{Status: 409, Error: "the member has changed since", Changed: m.Changed}
	case c.Holder != "" && m.Holder != c.Holder:
		return m, Result{Status: 409, Error: fmt.Sprintf("member %s is registered by another", c.ID), Changed: m.Changed}
	}
	return m, Result{Status: 200, Changed: m.Changed}
}

func (s *State) memberIDs() []string {
	ids := make([]string, 0, len(s.Members))
	for id := range s.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// addressIndex has the one member at each address, so that a registration costs
// the same however many there are.
func (s *State) addressIndex() map[string]string {
	if s.memberAt == nil {
		s.memberAt = make(map[string]string, len(s.Members))
		for id, m := range s.Members {
			s.memberAt[m.HostPort] = id
		}
	}
	return s.memberAt
}

// deleteMember takes a member out of the maps.
func (s *State) deleteMember(m Member) {
	delete(s.Members, m.ID)
	if s.addressIndex()[m.HostPort] == m.ID {
		delete(s.memberAt, m.HostPort)
	}
}

func (s *State) putMember(m *Member) {
	if old, ok := s.Members[m.ID]; ok {
		s.deleteMember(old)
	}
	s.addressIndex()[m.HostPort] = m.ID
	m.Changed = s.Revision + 1
	s.Members[m.ID] = *m
	s.appendChange(Change{s.Revision + 1, []discovery.Member{m.Member}})
}

func (s *State) removeMember(m Member) {
	s.deleteMember(m)
	m.Phase = discovery.Removed
	s.appendChange(Change{s.Revision + 1, []discovery.Member{m.Member}})
}

func (s *State) appendChange(c Change) {
	s.Revision = c.Revision
	s.History = append(s.History, c)
	if len(s.History) > maxHistory+maxHistory/4 { // cut now and then, not each time
		s.History = slices.Clone(s.History[len(s.History)-maxHistory:])
	}
}

// List is the whole list.
func (s *State) List() discovery.List {
	l := discovery.List{Revision: s.Revision, Complete: true, Members: make([]discovery.Member, 0, len(s.Members))}
	for _, id := range s.memberIDs() {
		l.Members = append(l.Members, s.Members[id].Member)
	}
	return l
}

// Since gives the place in the history from which a watch at a revision goes
// on; false where it has to have the whole list first.
func (s *State) Since(revision int64) (int, bool) {
	first := s.Revision + 1
	if len(s.History) > 0 {
		first = s.History[0].Revision
	}
	if revision > s.Revision || revision < first-1 {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(s.History, revision+1, func(c Change, r int64) int { return int(c.Revision - r) })
	return i, true
}

// Write and ReadState are a snapshot's form: one JSON object.
func (s *State) Write(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// ReadState reads a snapshot and checks that it can be used.
func ReadState(r io.Reader) (*State, error) {
	s := NewState()
	if err := json.NewDecoder(r).Decode(s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	last := int64(0)
	for i, c := range s.History {
		if c.Revision <= last || c.Revision > s.Revision {
			return nil, fmt.Errorf("snapshot: history[%d].revision: %d is out of order", i, c.Revision)
		}
		last = c.Revision
	}
	if s.Zones == nil { // of a version that had none
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
	for name, d := range s.Roles {
		if d.Token > s.LastToken {
			return nil, fmt.Errorf("snapshot: duties.%s.token: %d is beyond the last, %d", name, d.Token, s.LastToken)
		}
	}
	for id, m := range s.Members {
		if m.ID != id || m.Phase == discovery.Removed {
			return nil, fmt.Errorf("snapshot: members.%s: not a member that can be held", id)
		}
		if err := m.Validate(); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
	}
	if len(s.ResultOrder) != len(s.Results) {
		return nil, fmt.Errorf("snapshot: order: %d of %d answers", len(s.ResultOrder), len(s.Results))
	}
	if s.Members == nil || s.Results == nil {
		return nil, fmt.Errorf("snapshot: members or answers: missing")
	}
	return s, nil
}

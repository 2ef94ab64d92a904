// Package registry is the list service: a group of nodes that replicate a versioned
// list of endpoints by Raft, with watches, registrations that expire, sessions,
// leader-election roles with fencing tokens, and operations.
//
// A change that was answered with success is not lost as long as a majority of the
// nodes keep their data folders. The list's revision never decreases, and a watcher
// sees every change once and in order. Package client sends requests to a group and
// watches its list; package agent serves the list to a relay.
//
// The word role has two meanings here. A Role is leader-elected work that one
// controller holds at a time. A node's Raft role (leader, follower or candidate)
// appears only as Status.RaftRole.
package registry

import "net/http"

// maxResults is how many results of the latest requests the state keeps for retries.
const maxResults = 8192

// State is the replicated state. It is plain data and deterministic code: it reads no
// clock, draws no random number and starts no goroutine. It is not safe for
// concurrent use. Its JSON form is the snapshot; the keys are kept from earlier
// versions.
type State struct {
	Epoch       string            `json:"epoch"`
	Revision    int64             `json:"revision"`
	Members     map[string]Member `json:"members"` // keyed by member id
	History     []Change          `json:"history"` // the latest changes, oldest first
	Results     map[string]Result `json:"answers"` // keyed by request id
	ResultOrder []string          `json:"order"`   // the request ids in Results, oldest first

	Zones map[string]string `json:"zones,omitempty"` // the region of each zone; a zone without a region has no entry

	Sessions     map[string]Session   `json:"sessions,omitempty"` // keyed by session id
	Roles        map[string]Role      `json:"duties,omitempty"`   // keyed by role name
	LastToken    int64                `json:"tokens,omitempty"`   // fencing token of the latest grant; each grant has a greater one
	RoleRevision int64                `json:"duty_rev,omitempty"` // revision of Sessions and Roles; never decreases
	Operations   map[string]Operation `json:"orders,omitempty"`   // keyed by KIND/NAME

	memberIDByAddress map[string]string // member ids keyed by address; nil until addressIndex builds it
}

// NewState returns the state of a group that has applied no command.
func NewState() *State {
	return &State{
		Members:    map[string]Member{},
		Results:    map[string]Result{},
		Zones:      map[string]string{},
		Sessions:   map[string]Session{},
		Roles:      map[string]Role{},
		Operations: map[string]Operation{},
	}
}

// Apply applies one command. The same commands in the same order give the same state
// and results on every node.
func (s *State) Apply(c Command) Result {
	if result, ok := s.Results[c.Request]; ok && c.Request != "" {
		return result
	}
	result := s.apply(&c)
	result.Revision = s.Revision
	if c.Request != "" {
		s.rememberResult(c.Request, result)
	}
	return result
}

func (s *State) rememberResult(request string, result Result) {
	s.Results[request] = result
	s.ResultOrder = append(s.ResultOrder, request)
	for len(s.ResultOrder) > maxResults {
		delete(s.Results, s.ResultOrder[0])
		s.ResultOrder = s.ResultOrder[1:]
	}
}

// apply applies a command that has no earlier result. Opening and ending a session,
// granting a role and disabling one need no fencing token. Any other command that names
// a role is rejected unless its token is the role's current one.
func (s *State) apply(c *Command) Result {
	switch c.Op {
	case OpSession:
		return s.openSession(c)
	case OpSessionEnd:
		return s.endSessions(c)
	case OpGrant:
		return s.grantRole(c)
	case OpDisable:
		return s.disableRole(c)
	}
	if c.Role == "" {
		return s.applyUnfenced(c)
	}
	if role := s.Roles[c.Role]; role.Holder == "" || role.Token != c.Token {
		result := rejected(http.StatusPreconditionFailed, "duty %s: token %d is not the present one", c.Role, c.Token)
		result.Token = role.Token
		return result
	}
	switch c.Op {
	case OpNote:
		return s.saveNote(c)
	case OpRelease:
		return s.releaseRole(c)
	}
	return s.applyUnfenced(c)
}

// applyUnfenced applies a command that names no role, or whose token has been checked.
func (s *State) applyUnfenced(c *Command) Result {
	switch c.Op {
	case OpAdd:
		return s.addMember(c)
	case OpPhase:
		return s.setPhase(c)
	case OpRemove:
		return s.removeNamed(c)
	case OpExpire:
		return s.expireMembers(c)
	case OpOperation:
		return s.putOperation(c)
	case OpProgress:
		return s.reportProgress(c)
	case OpZone:
		return s.setZone(c)
	case OpEpoch:
		return s.beginEpoch(c)
	}
	return rejected(http.StatusBadRequest, "op: %q is unknown", c.Op)
}

func (s *State) setZone(c *Command) Result {
	if c.Region == "" {
		delete(s.Zones, c.Zone)
	} else {
		s.Zones[c.Zone] = c.Region
	}
	return succeeded()
}

// beginEpoch drops the history, so that watchers of the previous epoch are sent the
// complete list. It also raises the last token above every token that the group may have
// granted since the backup that it was restored from was taken.
func (s *State) beginEpoch(c *Command) Result {
	s.Epoch, s.History = c.Epoch, nil
	s.LastToken = max(s.LastToken, c.At/1000*tokensPerSecond)
	s.RoleRevision++
	s.Revision++
	return succeeded()
}

package registry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"plovershore/internal/discovery"
)

// Member is a registration as it is stored in the state.
type Member struct {
	discovery.Member
	TTL     time.Duration `json:"ttl,omitempty"`    // the member expires after this time without a heartbeat; 0 means never
	Static  bool          `json:"static,omitempty"` // from the configuration of the nodes
	Holder  string        `json:"holder,omitempty"` // who registered it; only the holder may renew it
	Since   int64         `json:"since"`            // revision of the registration; a renewal keeps it
	Changed int64         `json:"changed"`          // revision of its last change
}

// addMember registers a member, or changes one. Registering again without a change
// leaves the revision as it is. An address belongs to the id that registered it last:
// an older member at the same address is removed.
func (s *State) addMember(c *Command) Result {
	m := c.Member
	old, known := s.Members[m.ID]
	sameHolder := known && old.Holder == m.Holder
	sameAddress := known && old.HostPort == m.HostPort
	switch {
	case c.IfChanged > 0 && (!known || old.Changed != c.IfChanged):
		return memberChanged(old)
	case known && !sameHolder && !sameAddress && old.Phase != discovery.Removed && c.IfChanged == 0:
		result := rejected(http.StatusConflict, "member %s is registered by another, at %s", m.ID, old.HostPort)
		result.Changed = old.Changed
		return result
	}
	if id, ok := s.addressIndex()[m.HostPort]; ok && id != m.ID {
		s.removeMember(s.Members[id])
	}

	renewed := sameHolder && sameAddress
	switch {
	case renewed:
		m.UpSince = old.UpSince
	case m.Static:
		m.UpSince = 0
	default:
		m.UpSince = c.At
	}
	if known && old.Member == m.Member && old.TTL == m.TTL && sameHolder && old.Static == m.Static {
		return memberFound(old)
	}
	m.Since = s.Revision + 1
	if renewed {
		m.Since = old.Since
	}
	s.putMember(&m)
	return memberFound(m)
}

func (s *State) setPhase(c *Command) Result {
	m, result := s.findMember(c)
	if result.Status == http.StatusOK && m.Phase != c.Phase {
		m.Phase = c.Phase
		s.putMember(&m)
	}
	return result
}

func (s *State) removeNamed(c *Command) Result {
	m, result := s.findMember(c)
	if result.Status == http.StatusOK {
		s.removeMember(m)
	}
	return result
}

// expireMembers removes members as one change. It skips those that have registered
// again since the leader found them overdue.
func (s *State) expireMembers(c *Command) Result {
	expired := Change{Revision: s.Revision + 1}
	for id, since := range c.Expired {
		m, ok := s.Members[id]
		if !ok || m.Since != since || m.TTL <= 0 {
			continue
		}
		m.Phase = discovery.Removed
		expired.Members = append(expired.Members, m.Member)
		s.deleteMember(m)
	}
	if len(expired.Members) > 0 {
		// Sorted, since the order of a map differs from node to node.
		slices.SortFunc(expired.Members, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
		s.appendChange(expired)
	}
	return succeeded()
}

// findMember returns the member that a command names, and a result. The status of the
// result is 200 if the command's conditions hold; otherwise it rejects the command.
func (s *State) findMember(c *Command) (Member, Result) {
	m, ok := s.Members[c.ID]
	switch {
	case !ok:
		return m, rejected(http.StatusNotFound, "member %s is unknown", c.ID)
	case c.IfChanged > 0 && m.Changed != c.IfChanged:
		return m, memberChanged(m)
	case c.Holder != "" && m.Holder != c.Holder:
		result := rejected(http.StatusConflict, "member %s is registered by another", c.ID)
		result.Changed = m.Changed
		return m, result
	}
	return m, memberFound(m)
}

func memberFound(m Member) Result { return Result{Status: http.StatusOK, Changed: m.Changed} }

func memberChanged(m Member) Result {
	result := rejected(http.StatusConflict, "the member has changed since")
	result.Changed = m.Changed
	return result
}

// memberIDs returns the ids of all members in ascending order.
func (s *State) memberIDs() []string {
	ids := make([]string, 0, len(s.Members))
	for id := range s.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// addressIndex returns the member ids keyed by address. With this index the cost of a
// registration doesn't depend on the length of the list.
func (s *State) addressIndex() map[string]string {
	if s.memberIDByAddress == nil {
		s.memberIDByAddress = make(map[string]string, len(s.Members))
		for id, m := range s.Members {
			s.memberIDByAddress[m.HostPort] = id
		}
	}
	return s.memberIDByAddress
}

// putMember stores a member and appends the change to the history.
func (s *State) putMember(m *Member) {
	if old, ok := s.Members[m.ID]; ok {
		s.deleteMember(old)
	}
	s.addressIndex()[m.HostPort] = m.ID
	m.Changed = s.Revision + 1
	s.Members[m.ID] = *m
	s.appendChange(Change{s.Revision + 1, []discovery.Member{m.Member}})
}

// removeMember removes a member and appends the change to the history.
func (s *State) removeMember(m Member) {
	s.deleteMember(m)
	m.Phase = discovery.Removed
	s.appendChange(Change{s.Revision + 1, []discovery.Member{m.Member}})
}

// deleteMember deletes a member and its address without appending a change to the
// history.
func (s *State) deleteMember(m Member) {
	delete(s.Members, m.ID)
	if s.addressIndex()[m.HostPort] == m.ID {
		delete(s.memberIDByAddress, m.HostPort)
	}
}

package leader

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"plovershore/internal/registry"
)

// This file is an exhaustive model check of leader election. The model has two holders,
// one role, a list service that may change its leader, messages that may be delayed or
// lost, and holders that may stall. Its list service consists of registry.State and
// registry.SessionHeartbeats, and its holders use Lease, so that its transitions are those
// of the real code. The check explores all schedules within the bounds below.

type modelMessage struct {
	kind   string // of requests: renew, grant, effect; of responses: renewed, granted, unknown
	holder int    // index of the holder that sends or receives it
	token  int64
	sentAt int // tick at which the request was sent
}

type modelHolder struct {
	lease    Lease
	token    int64
	requests int
	effects  int
	renewals int
}

type model struct {
	state          *registry.State
	heartbeats     registry.SessionHeartbeats
	now            int // in ticks
	leaderChanges  int // leader changes of the list service so far
	holders        [2]modelHolder
	messages       []modelMessage
	newestAccepted int64 // the highest token of an accepted effect
	violation      string
	trace          *traceStep
}

// traceStep is the last transition to a state, with those before it. It is reported
// with a violation.
type traceStep struct {
	previous    *traceStep
	description string
}

func (s *traceStep) String() string {
	if s == nil {
		return ""
	}
	return s.previous.String() + "; " + s.description
}

// Bounds of the exploration, and the lease duration in ticks. The limits of effects,
// requests and renewals are for each holder.
const (
	modelTTL         = 3
	modelTicksMax    = 6
	modelMessagesMax = 2
	modelEffectsMax  = 1
	modelRequestsMax = 1
	modelRenewalsMax = 1
)

func ticks(n int) time.Duration { return time.Duration(n) * time.Second }

func (m *model) clone(description string) *model {
	c := *m
	state := *m.state
	state.Sessions, state.Roles = maps.Clone(m.state.Sessions), maps.Clone(m.state.Roles)
	c.state, c.heartbeats, c.messages = &state, maps.Clone(m.heartbeats), slices.Clone(m.messages)
	c.trace = &traceStep{m.trace, description}
	return &c
}

// key encodes the state, so that equal states have equal keys. Messages are sorted since
// their order does not matter.
func (m *model) key() string {
	role := m.state.Roles["d"]
	b := make([]byte, 0, 128)
	appendInts := func(values ...int64) {
		for _, value := range values {
			b = binary.AppendVarint(b, value)
		}
	}
	appendInts(int64(m.now), int64(m.leaderChanges), m.newestAccepted, role.Token, int64(len(role.Holder)))
	b = append(b, role.Holder...)
	for i := range m.holders {
		h, id := &m.holders[i], fmt.Sprint(i)
		heardAt, known := m.heartbeats[id]
		_, open := m.state.Sessions[id]
		appendInts(int64(h.lease.expiresAt), h.token, int64(h.requests), int64(h.effects), int64(h.renewals), int64(heardAt))
		b = append(b, boolByte(known), boolByte(open), boolByte(h.lease.lost))
	}
	messages := slices.Clone(m.messages)
	slices.SortFunc(messages, func(a, b modelMessage) int {
		return cmp.Or(strings.Compare(a.kind, b.kind), a.holder-b.holder, int(a.token-b.token), a.sentAt-b.sentAt)
	})
	for _, message := range messages {
		b = append(b, message.kind[0], message.kind[len(message.kind)-1], byte(message.holder)) // the first and last letter identify the kind
		appendInts(message.token, int64(message.sentAt))
	}
	return string(b)
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// successors returns all states that one transition leads to. Tokens of effects are
// checked only if fenced is true.
func (m *model) successors(fenced bool) (all []*model) {
	add := func(description string, transition func(c *model), args ...any) {
		if len(args) > 0 {
			description = fmt.Sprintf(description, args...)
		}
		c := m.clone(description)
		transition(c)
		c.checkHolders()
		all = append(all, c)
	}
	if m.now < modelTicksMax {
		add("tick", func(c *model) { // sessions end as soon as they are overdue; a later end would be safer
			c.now++
			if ids := c.heartbeats.Overdue(c.state.Sessions, ticks(c.now)); len(ids) > 0 {
				c.state.Apply(registry.Command{Op: registry.OpSessionEnd, EndedSessions: ids, Failed: true})
			}
		})
	}
	if m.leaderChanges < 1 {
		add("new leader", func(c *model) { c.leaderChanges++; c.heartbeats = registry.SessionHeartbeats{} })
	}
	for i := range m.holders {
		h := &m.holders[i]
		leaseValid := h.lease.Remaining(ticks(m.now)) > 0
		if len(m.messages) < modelMessagesMax {
			if h.renewals < modelRenewalsMax && !h.lease.lost {
				add("holder %d requests a renewal", func(c *model) {
					c.holders[i].renewals++
					c.messages = append(c.messages, modelMessage{"renew", i, 0, c.now})
				}, i)
			}
			if leaseValid && h.token == 0 && h.requests < modelRequestsMax {
				add("holder %d requests the role", func(c *model) {
					c.holders[i].requests++
					c.messages = append(c.messages, modelMessage{"grant", i, 0, c.now})
				}, i)
			}
			if leaseValid && h.token != 0 && h.effects < modelEffectsMax {
				add("holder %d sends an effect", func(c *model) {
					c.holders[i].effects++
					c.messages = append(c.messages, modelMessage{"effect", i, h.token, c.now})
				}, i)
			}
		}
	}
	for k, message := range m.messages { // a loss needs no transition: the explored schedules include those that never deliver a message
		add("%v is delivered", func(c *model) { c.messages = slices.Delete(c.messages, k, k+1); c.deliver(message, fenced) }, message)
	}
	return all
}

func (m *model) deliver(message modelMessage, fenced bool) {
	id, h := fmt.Sprint(message.holder), &m.holders[message.holder]
	switch message.kind {
	case "renew":
		if _, open := m.state.Sessions[id]; !open {
			m.messages = append(m.messages, modelMessage{"unknown", message.holder, 0, message.sentAt})
			return
		}
		m.heartbeats.Record(id, ticks(m.now))
		m.messages = append(m.messages, modelMessage{"renewed", message.holder, 0, message.sentAt})
	case "grant":
		granted := m.state.Apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: id}})
		if granted.Status == 200 {
			m.messages = append(m.messages, modelMessage{"granted", message.holder, granted.Token, message.sentAt})
		}
	case "effect":
		accepted := true
		if fenced {
			accepted = m.state.Apply(registry.Command{Op: registry.OpNote, Role: "d", Token: message.token, Note: "done"}).Status == 200
		}
		if accepted && message.token < m.newestAccepted {
			m.violation = fmt.Sprintf("an effect of token %d was accepted after one of token %d", message.token, m.newestAccepted)
		}
		if accepted {
			m.newestAccepted = max(m.newestAccepted, message.token)
		}
	case "renewed":
		h.lease.Renew(ticks(message.sentAt))
	case "granted":
		if h.lease.Remaining(ticks(m.now)) > 0 {
			h.token = message.token
		}
	case "unknown":
		h.lease.Invalidate()
	}
}

// checkHolders cancels the grants of holders whose lease has expired, and records a
// violation if two holders with a valid lease have a grant.
func (m *model) checkHolders() {
	holding := 0
	for i := range m.holders {
		h := &m.holders[i]
		if h.lease.Remaining(ticks(m.now)) <= 0 {
			h.token = 0 // as the watchdog does
		} else if h.token != 0 {
			holding++
		}
	}
	if holding > 1 && m.violation == "" {
		m.violation = "two holders have the role and a valid lease"
	}
}

// explore visits all reachable states. It returns the number of states visited and the
// first state that violates an invariant, if there is one. If injectDefect is not nil, it
// is applied to each new state.
func explore(fenced bool, injectDefect func(*model)) (states int, violating *model) {
	initial := &model{state: registry.NewState(), heartbeats: registry.SessionHeartbeats{}}
	for i := range initial.holders {
		id := fmt.Sprint(i)
		initial.state.Apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: id, Controller: id, TTL: ticks(modelTTL)}})
		initial.heartbeats.Record(id, 0)
		initial.holders[i].lease = Lease{TTL: ticks(modelTTL)}
		initial.holders[i].lease.Renew(0)
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{maphash.String(seed, initial.key()): true}
	unexplored := []*model{initial}
	for len(unexplored) > 0 {
		m := unexplored[len(unexplored)-1]
		unexplored = unexplored[:len(unexplored)-1]
		for _, c := range m.successors(fenced) {
			if injectDefect != nil {
				injectDefect(c)
			}
			if c.violation != "" {
				return len(seen), c
			}
			if k := maphash.String(seed, c.key()); !seen[k] {
				seen[k] = true
				unexplored = append(unexplored, c)
			}
		}
	}
	return len(seen), nil
}

// In no schedule within the bounds are two effects accepted out of token order, or do two
// holders have a valid lease on the role at the same time.
func TestModelCheckFindsNoViolation(t *testing.T) {
	states, violating := explore(true, nil)
	if violating != nil {
		t.Fatalf("%s%v", violating.violation, violating.trace)
	}
	t.Logf("%d states", states)
	if states < 10000 {
		t.Errorf("%d states, want 10000 at least: the bounds are too narrow", states)
	}
}

// The model check finds defects that the test injects: an effect accepted out of token
// order if tokens are not checked, and two holders if leases outlive their sessions.
func TestModelCheckFindsInjectedDefects(t *testing.T) {
	_, violating := explore(false, nil)
	if violating == nil || !strings.Contains(violating.violation, "was accepted after") {
		t.Fatalf("tokens are not checked: found %+v, want effects out of token order", violating)
	}
	t.Log(violating.violation, violating.trace)
	_, violating = explore(true, func(m *model) { // a lease that outlives the session at the list service
		for i := range m.holders {
			if h := &m.holders[i]; h.lease.expiresAt > 0 {
				h.lease.expiresAt = max(h.lease.expiresAt, ticks(modelTicksMax))
			}
		}
	})
	if violating == nil || !strings.Contains(violating.violation, "two holders") {
		t.Fatalf("leases outlive sessions: found %+v, want two holders", violating)
	}
}

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

type msg struct {
	kind   string // of requests: renew, grant, effect; of responses: renewed, granted, unknown
	who    int
	token  int64
	sentAt int
}

type modelHolder struct {
	lease    Lease
	token    int64
	requests int
	effects  int
	renews   int
}

type model struct {
	st         *registry.State
	heartbeats registry.SessionHeartbeats
	now        int
	changes    int // leader changes of the list service so far
	holders    [2]modelHolder
	msgs       []msg
	accepted   int64 // the highest token of an accepted effect
	wrong      string
	path       *step
}

// traceStep is the last transition to a state, with those before it. It is reported
// with a violation.
type step struct {
	before *step
	what   string
}

func (s *step) String() string {
	if s == nil {
		return ""
	}
	return s.before.String() + "; " + s.what
}

// Bounds of the exploration, and the lease duration in ticks. The limits of effects,
// requests and renewals are for each holder.
const (
	modelTTL      = 3
	modelTicks    = 6
	modelMsgs     = 2
	modelEffect   = 1
	modelRequests = 1
	modelRenews   = 1
)

func tick(n int) time.Duration { return time.Duration(n) * time.Second }

func (m *model) clone(what string) *model {
	c := *m
	st := *m.st
	st.Sessions, st.Roles = maps.Clone(m.st.Sessions), maps.Clone(m.st.Roles)
	c.st, c.heartbeats, c.msgs = &st, maps.Clone(m.heartbeats), slices.Clone(m.msgs)
	c.path = &step{m.path, what}
	return &c
}

// key encodes the state, so that equal states have equal keys. Messages are sorted since
// their order does not matter.
func (m *model) key() string {
	d := m.st.Roles["d"]
	b := make([]byte, 0, 128)
	put := func(v ...int64) {
		for _, x := range v {
			b = binary.AppendVarint(b, x)
		}
	}
	put(int64(m.now), int64(m.changes), m.accepted, d.Token, int64(len(d.Holder)))
	b = append(b, d.Holder...)
	for i := range m.holders {
		h, id := &m.holders[i], fmt.Sprint(i)
		at, heard := m.heartbeats[id]
		_, open := m.st.Sessions[id]
		put(int64(h.lease.expiresAt), h.token, int64(h.requests), int64(h.effects), int64(h.renews), int64(at))
		b = append(b, flag(heard), flag(open), flag(h.lease.lost))
	}
	all := slices.Clone(m.msgs)
	slices.SortFunc(all, func(a, b msg) int {
		return cmp.Or(strings.Compare(a.kind, b.kind), a.who-b.who, int(a.token-b.token), a.sentAt-b.sentAt)
	})
	for _, x := range all {
		b = append(b, x.kind[0], x.kind[len(x.kind)-1], byte(x.who)) // the first and last letter identify the kind
		put(x.token, int64(x.sentAt))
	}
	return string(b)
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// successors returns all states that one transition leads to. Tokens of effects are
// checked only if fenced is true.
func (m *model) next(fenced bool) (all []*model) {
	add := func(what string, f func(c *model), args ...any) {
		if len(args) > 0 {
			what = fmt.Sprintf(what, args...)
		}
		c := m.clone(what)
		f(c)
		c.check()
		all = append(all, c)
	}
	if m.now < modelTicks {
		add("tick", func(c *model) { // sessions end as soon as they are overdue; a later end would be safer
			c.now++
			if ids := c.heartbeats.Overdue(c.st.Sessions, tick(c.now)); len(ids) > 0 {
				c.st.Apply(registry.Command{Op: registry.OpSessionEnd, EndedSessions: ids, Failed: true})
			}
		})
	}
	if m.changes < 1 {
		add("new leader", func(c *model) { c.changes++; c.heartbeats = registry.SessionHeartbeats{} })
	}
	for i := range m.holders {
		h := &m.holders[i]
		believes := h.lease.Remaining(tick(m.now)) > 0
		if len(m.msgs) < modelMsgs {
			if h.renews < modelRenews && !h.lease.lost {
				add("holder %d requests a renewal", func(c *model) {
					c.holders[i].renews++
					c.msgs = append(c.msgs, msg{"renew", i, 0, c.now})
				}, i)
			}
			if believes && h.token == 0 && h.requests < modelRequests {
				add("holder %d requests the role", func(c *model) {
					c.holders[i].requests++
					c.msgs = append(c.msgs, msg{"grant", i, 0, c.now})
				}, i)
			}
			if believes && h.token != 0 && h.effects < modelEffect {
				add("holder %d sends an effect", func(c *model) {
					c.holders[i].effects++
					c.msgs = append(c.msgs, msg{"effect", i, h.token, c.now})
				}, i)
			}
		}
	}
	for k, x := range m.msgs { // a message that is never delivered is lost
		add("%v is delivered", func(c *model) { c.msgs = slices.Delete(c.msgs, k, k+1); c.deliver(x, fenced) }, x)
	}
	return all
}

func (m *model) deliver(x msg, fenced bool) {
	id, h := fmt.Sprint(x.who), &m.holders[x.who]
	switch x.kind {
	case "renew":
		if _, ok := m.st.Sessions[id]; !ok {
			m.msgs = append(m.msgs, msg{"unknown", x.who, 0, x.sentAt})
			return
		}
		m.heartbeats.Record(id, tick(m.now))
		m.msgs = append(m.msgs, msg{"renewed", x.who, 0, x.sentAt})
	case "grant":
		a := m.st.Apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: id}})
		if a.Status == 200 {
			m.msgs = append(m.msgs, msg{"granted", x.who, a.Token, x.sentAt})
		}
	case "effect":
		ok := true
		if fenced {
			ok = m.st.Apply(registry.Command{Op: registry.OpNote, Role: "d", Token: x.token, Note: "done"}).Status == 200
		}
		if ok && x.token < m.accepted {
			m.wrong = fmt.Sprintf("an effect of token %d was accepted after one of token %d", x.token, m.accepted)
		}
		if ok {
			m.accepted = max(m.accepted, x.token)
		}
	case "renewed":
		h.lease.Renew(tick(x.sentAt))
	case "granted":
		if h.lease.Remaining(tick(m.now)) > 0 {
			h.token = x.token
		}
	case "unknown":
		h.lease.Invalidate()
	}
}

// checkHolders cancels the grants of holders whose lease has expired, and records a
// violation if two holders with a valid lease have a grant.
func (m *model) check() {
	n := 0
	for i := range m.holders {
		h := &m.holders[i]
		if h.lease.Remaining(tick(m.now)) <= 0 {
			h.token = 0 // as the watchdog does
		} else if h.token != 0 {
			n++
		}
	}
	if n > 1 && m.wrong == "" {
		m.wrong = "two holders have the role and a valid lease"
	}
}

// explore visits all reachable states. It returns the number of states visited and the
// first state that violates an invariant, if there is one. If injectDefect is not nil, it
// is applied to each new state.
func explore(fenced bool, spoil func(*model)) (states int, wrong *model) {
	first := &model{st: registry.NewState(), heartbeats: registry.SessionHeartbeats{}}
	for i := range first.holders {
		id := fmt.Sprint(i)
		first.st.Apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: id, Controller: id, TTL: tick(modelTTL)}})
		first.heartbeats.Record(id, 0)
		first.holders[i].lease = Lease{TTL: tick(modelTTL)}
		first.holders[i].lease.Renew(0)
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{maphash.String(seed, first.key()): true}
	todo := []*model{first}
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, c := range m.next(fenced) {
			if spoil != nil {
				spoil(c)
			}
			if c.wrong != "" {
				return len(seen), c
			}
			if k := maphash.String(seed, c.key()); !seen[k] {
				seen[k] = true
				todo = append(todo, c)
			}
		}
	}
	return len(seen), nil
}

// In no schedule within the bounds are two effects accepted out of token order, or do two
// holders have a valid lease on the role at the same time.
func TestModelExploration(t *testing.T) {
	states, wrong := explore(true, nil)
	if wrong != nil {
		t.Fatalf("%s%v", wrong.wrong, wrong.path)
	}
	t.Logf("%d states", states)
	if states < 10000 {
		t.Errorf("%d states, want 10000 at least: the bounds are too narrow", states)
	}
}

// The model check finds defects that the test injects: an effect accepted out of token
// order if tokens are not checked, and two holders if leases outlive their sessions.
func TestExplorerFindsDefects(t *testing.T) {
	_, wrong := explore(false, nil)
	if wrong == nil || !strings.Contains(wrong.wrong, "was accepted after") {
		t.Fatalf("tokens are not checked: found %+v, want effects out of token order", wrong)
	}
	t.Log(wrong.wrong, wrong.path)
	_, wrong = explore(true, func(m *model) { // a lease that outlives the session at the list service
		for i := range m.holders {
			if h := &m.holders[i]; h.lease.expiresAt > 0 {
				h.lease.expiresAt = max(h.lease.expiresAt, tick(modelTicks))
			}
		}
	})
	if wrong == nil || !strings.Contains(wrong.wrong, "two holders") {
		t.Fatalf("leases outlive sessions: found %+v, want two holders", wrong)
	}
}

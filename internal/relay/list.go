package relay

import (
	"plovershore/internal/discovery"
	"plovershore/policy"
)

// The list of endpoints, as the loop keeps it.

// list books news of the list.
func (r *Relay) list(l *discovery.List, kind policy.ListUpdateKind) {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: kind}
	seen := map[string]bool{}
	for i := range l.Members {
		x := &l.Members[i]
		if x.Validate() != nil {
			continue // in the configuration's list; discovery's is checked already
		}
		seen[x.ID] = true
		e.Entries = append(e.Entries, r.member(x))
	}
	if kind != policy.ListDelta {
		for id, ep := range r.endpoints {
			if !seen[id] {
				r.setListed(ep, false)
				r.leave(ep)
			}
		}
	}
	r.events = append(r.events, e)
	r.forgetGone()
}

func (r *Relay) member(x *discovery.Member) policy.Entry {
	ep := r.endpoints[x.ID]
	if ep == nil {
		r.lastEnd++
		ep = &endpoint{id: x.ID, num: r.lastEnd, calls: map[*call]bool{}}
		r.endpoints[x.ID], r.byNum[ep.num] = ep, ep
	}
	if x.Phase != discovery.Removed && (ep.hostPort != x.HostPort || ep.cell != x.Cell) {
		// It moved under its old name: nothing more goes to the old place.
		r.leave(ep)
		ep.conns = newConns(r.cfg, r.idleConns, keepIdle(&r.cfg.Policy))
		ep.hostPort = x.HostPort
		r.setCell(ep, x.Cell)
	}
	r.setListed(ep, x.Phase != discovery.Removed)
	r.doubt(ep)
	entry := policy.Entry{Endpoint: ep.num, Zone: place(r.cfg.zones, x.Locality), Kind: place(r.cfg.kinds, x.Flavor),
		Dest: x.Cell, State: policy.Ready, Rate: x.Size}
	ep.zone, ep.batch = entry.Zone, 1
	if entry.Kind >= 0 {
		ep.batch = max(r.cfg.Policy.Kinds[entry.Kind].MaxBatch, 1)
	}
	defer func() { ep.entry = entry }()
	switch x.Phase {
	case discovery.Up:
		ep.gone = false
	case discovery.Draining:
		entry.State = policy.Draining
		r.leave(ep)
	case discovery.Removed:
		entry.State, entry.Dest = policy.Removed, ep.cell
		r.leave(ep)
	}
	return entry
}

// leave lets nothing new go to an endpoint; a call that still waits for a
// connection there would begin it too late.
func (r *Relay) leave(ep *endpoint) {
	if !ep.gone {
		ep.gone, ep.goneAt = true, r.now()
	}
	for c := range ep.calls {
		c.holdBack(errDrained)
	}
	if ep.conns != nil {
		ep.conns.CloseIdleConnections()
	}
}

// toldWait lets nothing new go to an endpoint, and to those that share its
// limit, before a wait is over. The policy begins no call in that time, but one
// that it began before may still wait for its connection or its clients.
func (r *Relay) toldWait(ep *endpoint, wait policy.Time) {
	kinds, kind := r.cfg.Policy.Kinds, ep.entry.Kind
	sharing := r.members.byCell[ep.cell]
	if kind >= 0 && kind < len(kinds) && kinds[kind].SeparateRoutes {
		sharing = []*endpoint{ep}
	}
	for _, x := range sharing {
		x.waitOver = max(x.waitOver, r.now()+wait)
		for c := range x.calls {
			c.holdBack(errToldWait)
		}
	}
}

func place(at map[string]int, name string) int {
	if i, ok := at[name]; ok {
		return i
	}
	return -1
}

package relay

import (
	"plovershore/internal/discovery"
	"plovershore/policy"
)

// The list of endpoints, as the loop keeps it.

// updateList books news of the list.
func (r *Relay) updateList(l *discovery.List, kind policy.ListUpdateKind) {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: kind}
	seen := map[string]bool{}
	for i := range l.Members {
		x := &l.Members[i]
		if x.Validate() != nil {
			continue // in the configuration's list; discovery's is checked already
		}
		seen[x.ID] = true
		e.Entries = append(e.Entries, r.updateMember(x))
	}
	if kind != policy.ListDelta {
		for id, ep := range r.endpoints {
			if !seen[id] {
				r.setListed(ep, false)
				r.stopSending(ep)
			}
		}
	}
	r.policyEvents = append(r.policyEvents, e)
	r.forgetRemoved()
}

func (r *Relay) updateMember(x *discovery.Member) policy.Entry {
	ep := r.endpoints[x.ID]
	if ep == nil {
		r.lastEndpoint++
		ep = &endpoint{id: x.ID, number: r.lastEndpoint, calls: map[*call]bool{}}
		r.endpoints[x.ID], r.endpointsByNumber[ep.number] = ep, ep
	}
	if x.Phase != discovery.Removed && (ep.hostPort != x.HostPort || ep.cell != x.Cell) {
		// It moved under its old name: nothing more goes to the old place.
		r.stopSending(ep)
		ep.transport = newTransport(r.cfg, r.idleConns, maxIdleTime(&r.cfg.Policy))
		ep.hostPort = x.HostPort
		r.setCell(ep, x.Cell)
	}
	r.setListed(ep, x.Phase != discovery.Removed)
	r.checkAvailability(ep)
	entry := policy.Entry{Endpoint: ep.number, Zone: indexOf(r.cfg.zones, x.Locality), Kind: indexOf(r.cfg.kinds, x.Flavor),
		Dest: x.Cell, State: policy.Ready, Rate: x.Size}
	ep.zone, ep.maxBatch = entry.Zone, 1
	if entry.Kind >= 0 {
		ep.maxBatch = max(r.cfg.Policy.Kinds[entry.Kind].MaxBatch, 1)
	}
	defer func() { ep.policyEntry = entry }()
	switch x.Phase {
	case discovery.Up:
		ep.isStopped = false
	case discovery.Draining:
		entry.State = policy.Draining
		r.stopSending(ep)
	case discovery.Removed:
		entry.State, entry.Dest = policy.Removed, ep.cell
		r.stopSending(ep)
	}
	return entry
}

// stopSending lets nothing new go to an endpoint; a call that still waits for a
// connection there would begin it too late.
func (r *Relay) stopSending(ep *endpoint) {
	if !ep.isStopped {
		ep.isStopped, ep.stoppedAt = true, r.now()
	}
	for c := range ep.calls {
		c.cancelUnsent(errEndpointDraining)
	}
	if ep.transport != nil {
		ep.transport.CloseIdleConnections()
	}
}

// applyRetryAfter lets nothing new go to an endpoint, and to those that share its
// limit, before a wait is over. The policy begins no call in that time, but one
// that it began before may still wait for its connection or its clients.
func (r *Relay) applyRetryAfter(ep *endpoint, wait policy.Time) {
	kinds, kind := r.cfg.Policy.Kinds, ep.policyEntry.Kind
	sharing := r.members.byCell[ep.cell]
	if kind >= 0 && kind < len(kinds) && kinds[kind].SeparateRoutes {
		sharing = []*endpoint{ep}
	}
	for _, x := range sharing {
		x.retryAfterUntil = max(x.retryAfterUntil, r.now()+wait)
		for c := range x.calls {
			c.cancelUnsent(errRetryAfter)
		}
	}
}

func indexOf(at map[string]int, name string) int {
	if i, ok := at[name]; ok {
		return i
	}
	return -1
}

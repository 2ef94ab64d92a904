package relay

import (
	"plovershore/internal/discovery"
	"plovershore/policy"
)

// updateList handles an update of the endpoint list.
func (r *Relay) updateList(l *discovery.List, kind policy.ListUpdateKind) {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: kind}
	listed := map[string]bool{}
	for i := range l.Members {
		m := &l.Members[i]
		if m.Validate() != nil {
			continue // in the configuration's list; discovery's is checked already
		}
		listed[m.ID] = true
		e.Entries = append(e.Entries, r.updateMember(m))
	}
	if kind != policy.ListDelta {
		for id, ep := range r.endpoints.byID {
			if !listed[id] {
				r.endpoints.setListed(ep, false)
				r.stopSending(ep)
			}
		}
	}
	r.step.add(e)
	r.forgetRemoved()
}

// updateMember handles one entry of the list and returns it as the policy is told.
func (r *Relay) updateMember(m *discovery.Member) policy.Entry {
	ep := r.endpoints.byID[m.ID]
	if ep == nil {
		ep = &endpoint{id: m.ID, number: r.endpoints.nextNumber(), calls: map[*call]bool{}}
		r.endpoints.byID[m.ID], r.endpoints.byNumber[ep.number] = ep, ep
	}
	isRemoved := m.Phase == discovery.Removed
	if !isRemoved && (ep.hostPort != m.HostPort || ep.cell != m.Cell) {
		r.setAddress(ep, m)
	}
	r.endpoints.setListed(ep, !isRemoved)
	r.endpoints.checkAvailability(ep)
	entry := policy.Entry{Endpoint: ep.number, Zone: indexOf(r.cfg.zones, m.Locality), Kind: indexOf(r.cfg.kinds, m.Flavor),
		Dest: m.Cell, State: policy.Ready, Rate: m.Size}
	ep.zone, ep.maxBatch = entry.Zone, 1
	if entry.Kind >= 0 {
		ep.maxBatch = max(r.cfg.Policy.Kinds[entry.Kind].MaxBatch, 1)
	}
	switch m.Phase {
	case discovery.Up:
		ep.isStopped = false
	case discovery.Draining:
		entry.State = policy.Draining
		r.stopSending(ep)
	case discovery.Removed:
		entry.State, entry.Dest = policy.Removed, ep.cell
		r.stopSending(ep)
	}
	ep.policyEntry = entry
	return entry
}

// setAddress gives an endpoint the address and destination of its entry. Nothing new
// goes to the old address.
func (r *Relay) setAddress(ep *endpoint, m *discovery.Member) {
	r.stopSending(ep)
	ep.transport = newTransport(r.cfg, r.idleConns, maxIdleTime(&r.cfg.Policy))
	ep.hostPort = m.HostPort
	r.endpoints.setCell(ep, m.Cell)
}

// stopSending lets nothing new go to an endpoint. A call that still waits for a
// connection there is stopped, since it would begin too late.
func (r *Relay) stopSending(ep *endpoint) {
	if !ep.isStopped {
		ep.isStopped, ep.stoppedAt = true, r.clock.now()
	}
	for c := range ep.calls {
		c.cancelIfWaiting(errEndpointDraining)
	}
	if ep.transport != nil {
		ep.transport.CloseIdleConnections()
	}
}

// applyRetryAfter lets nothing new go to an endpoint, and to those that share its limit,
// before a Retry-After is over. The policy begins no call in that time, but one that it
// began before may still wait for its connection or for acknowledgements.
func (r *Relay) applyRetryAfter(ep *endpoint, wait policy.Time) {
	kinds, kind := r.cfg.Policy.Kinds, ep.policyEntry.Kind
	affected := r.endpoints.byCell[ep.cell]
	if kind >= 0 && kind < len(kinds) && kinds[kind].SeparateRoutes {
		affected = []*endpoint{ep}
	}
	until := r.clock.now() + wait
	for _, ep := range affected {
		ep.retryAfterUntil = max(ep.retryAfterUntil, until)
		for c := range ep.calls {
			c.cancelIfWaiting(errRetryAfter)
		}
	}
}

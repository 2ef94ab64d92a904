package relay

import (
	"plovershore/internal/discovery"
	"plovershore/policy"
)

// updateList applies an update of the endpoint list. An update that is not a delta stops
// sending to all endpoints that it does not contain.
func (r *Relay) updateList(list *discovery.List, kind policy.ListUpdateKind) {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: kind}
	listed := map[string]bool{}
	for i := range list.Members {
		m := &list.Members[i]
		if m.Validate() != nil {
			continue // possible only in the configured list; discovery's list was validated when it was received
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
	r.forgetRemovedEndpoints()
}

// updateMember applies one entry of the list and returns the entry for the policy.
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

// setAddress sets the address and the destination of an endpoint. Calls that still wait
// for a connection to the old address are stopped.
func (r *Relay) setAddress(ep *endpoint, m *discovery.Member) {
	r.stopSending(ep)
	ep.transport = newTransport(r.cfg, r.idleConns, maxIdleTime(&r.cfg.Policy))
	ep.hostPort = m.HostPort
	r.endpoints.setCell(ep, m.Cell)
}

// stopSending prevents new calls to an endpoint. It also stops calls that still wait for a
// connection there, since they would begin only now.
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

// applyRetryAfter prevents new calls to an endpoint, and to those that share its limit,
// until a Retry-After is over. The policy begins no call in that time, but a call that it
// began before may still be waiting for a connection or for acknowledgements.
func (r *Relay) applyRetryAfter(ep *endpoint, retryAfter policy.Time) {
	kinds, kind := r.cfg.Policy.Kinds, ep.policyEntry.Kind
	affected := r.endpoints.byCell[ep.cell]
	if kind >= 0 && kind < len(kinds) && kinds[kind].SeparateRoutes {
		affected = []*endpoint{ep}
	}
	endsAt := r.clock.now() + retryAfter
	for _, ep := range affected {
		ep.retryAfterUntil = max(ep.retryAfterUntil, endsAt)
		for c := range ep.calls {
			c.cancelIfWaiting(errRetryAfter)
		}
	}
}

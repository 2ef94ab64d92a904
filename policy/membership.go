package policy

// pollsPerInterval is how many times the endpoint list is requested in one PollInterval, since an
// answer may be lost or late.
const pollsPerInterval = 2

// pollEndpointList requests the endpoint list where changes are not pushed and a request is due.
func (p *Policy) pollEndpointList() {
	if !p.settings.PollList {
		return
	}
	if p.polledAt == 0 || p.now-p.polledAt >= p.settings.PollInterval/pollsPerInterval {
		p.polledAt = p.now
		p.emit(Action{Kind: ActionWatchList})
	}
}

// updateEndpoints applies a list update. A draining or removed endpoint gets no new call from then
// on.
func (p *Policy) updateEndpoints(event *Event) {
	if event.ListUpdate == ListFailed {
		return // with PollList, a later poll requests the list again
	}
	listed := map[Endpoint]bool{}
	for i := range event.Entries {
		entry := &event.Entries[i]
		listed[entry.Endpoint] = true
		p.updateEndpoint(entry)
	}
	if event.ListUpdate == ListFull || event.ListUpdate == ListCached {
		p.removeUnlisted(listed)
	}
}

func (p *Policy) updateEndpoint(entry *Entry) {
	endpoint := p.endpoints[entry.Endpoint]
	if endpoint != nil && endpoint.route.dest.id != entry.Dest { // it moved, so its old state is useless
		p.removeEndpoint(endpoint)
		endpoint = nil
	}
	if entry.State == Removed {
		if endpoint != nil {
			p.removeEndpoint(endpoint)
		}
		return
	}
	if endpoint == nil {
		endpoint = p.addEndpoint(entry)
	}
	endpoint.state, endpoint.zone = entry.State, entry.Zone
	if p.settings.ListedRates && entry.Rate > 0 {
		endpoint.route.nominalRate = entry.Rate
	}
	p.markChanged(endpoint.route.dest)
}

func (p *Policy) removeUnlisted(listed map[Endpoint]bool) {
	for id, endpoint := range p.endpoints { // in any order, since removals don't affect each other
		if !listed[id] {
			p.removeEndpoint(endpoint)
		}
	}
}

// removeEndpoint removes an endpoint, healthy or not. Its calls in flight still count. A separate
// route whose Retry-After is in force is remembered, so that it applies if the endpoint comes back.
func (p *Policy) removeEndpoint(endpoint *endpointState) {
	endpoint.state = Removed
	route := endpoint.route
	dest := route.dest
	if p.endpoints[endpoint.id] == endpoint && (!dest.kind.SeparateRoutes || route.retryAfterUntil <= p.now) {
		delete(p.endpoints, endpoint.id)
	}
	route.endpoints = deleteElement(route.endpoints, endpoint)
	if dest.kind.SeparateRoutes {
		p.lowestLimits[dest.kindIndex].isStale = true
		dest.routes = deleteElement(dest.routes, route)
	}
}

func (p *Policy) addEndpoint(entry *Entry) *endpointState {
	dest := p.destination(entry.Dest)
	dest.wasListed = true
	p.setDestinationKind(dest, entry.Kind)
	if len(dest.routes) == 0 || dest.kind.SeparateRoutes {
		dest.routes = append(dest.routes, newRoute(dest))
	}
	route := dest.routes[len(dest.routes)-1]
	if old := p.endpoints[entry.Endpoint]; old != nil && dest.kind.SeparateRoutes {
		route.retryAfterUntil = old.route.retryAfterUntil
	}
	endpoint := &endpointState{id: entry.Endpoint, route: route}
	route.endpoints = append(route.endpoints, endpoint)
	p.endpoints[entry.Endpoint] = endpoint
	return endpoint
}

// setDestinationKind sets the kind that the list gives a destination. A kind that the settings
// don't have is ignored.
func (p *Policy) setDestinationKind(dest *destination, kind int) {
	if kind >= 0 && kind < len(p.settings.Kinds) {
		if dest.kindIndex != kind && len(dest.routes) > 0 {
			p.lowestLimits[dest.kindIndex].isStale = true
			p.lowestLimits[kind].isStale = true
		}
		dest.kind, dest.kindIndex = p.settings.Kinds[kind], kind
	}
	dest.kind.MaxBatch = max(dest.kind.MaxBatch, 1)
}

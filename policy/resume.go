package policy

// restoreAttempts restores the attempts of a message that an earlier process admitted. The message
// is checked at once, since it may have no attempt left.
func (p *Policy) restoreAttempts(message *messageState, event *Event) {
	message.attempts = event.Attempts
	if message.attempts > 0 {
		p.scheduleCheck(p.now, message)
	}
	if event.UnknownOutcomeAt > 0 {
		p.recordUnknownOutcome(message, event.UnknownOutcomeAt, event.UnknownOutcomeZone)
	}
	if event.InFlightEndpoint != 0 {
		p.restoreInFlightCall(message, event)
	}
}

// restoreInFlightCall counts a call that another process has in flight for a message. Messages that
// were sent to one endpoint at the same time share a call.
func (p *Policy) restoreInFlightCall(message *messageState, event *Event) {
	for _, other := range p.pending {
		call := other.call
		if call != nil && call.endpoint.id == event.InFlightEndpoint && call.sentAt == event.InFlightSince {
			message.call = call
		}
	}
	if message.call == nil {
		message.call = p.newInFlightCall(message.dest, event)
	}
	message.call.messagesLeft++
	message.call.messages = append(message.call.messages, message)
	p.pendingInFlight++
}

func (p *Policy) newInFlightCall(dest *destination, event *Event) *callState {
	endpoint := p.endpoints[event.InFlightEndpoint]
	if endpoint == nil { // it is no longer listed, so it gets a route of its own
		endpoint = &endpointState{id: event.InFlightEndpoint, route: newRoute(dest)}
	}
	p.reserveCall(endpoint)
	endpoint.connections = max(endpoint.connections, endpoint.callsInFlight)
	return &callState{endpoint: endpoint, sentAt: event.InFlightSince}
}

package policy

// admitMessage adds a message to the queue of its destination.
func (p *Policy) admitMessage(event *Event) {
	if p.messages[event.Message] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(p.settings.Classes) {
		p.emit(Action{Kind: ActionReject, Message: event.Message}) // nothing was sent, so it has not run
		return
	}
	message := p.newMessage(event)
	if event.Spilled {
		p.endSpill(event)
		message.isOverQuota = event.OverQuota // as judged when it first arrived
	} else {
		message.isOverQuota = p.exceedsQuota(event.Tenant)
	}
	if message.isOverQuota {
		message.weight *= p.settings.OverQuotaWeight
	}
	p.trackMessage(message)
	p.restoreAttempts(message, event)
	if message.call == nil {
		message.dest.queue = append(message.dest.queue, message)
	}
	p.markChanged(message.dest)
	p.joinOrderedQueue(message, event.Spilled)
	// A loaded message that was due back spills no other: many may be due at once.
	if !event.Spilled || p.loadDeadline(message) > p.now {
		p.spillExcess(message.dest)
	}
}

func (p *Policy) newMessage(event *Event) *messageState {
	class := &p.settings.Classes[event.Class]
	message := &messageState{
		id:          event.Message,
		key:         event.Key,
		class:       class,
		dest:        p.destination(event.Dest),
		deadline:    p.now + max(event.TimeLeft, 0),
		weight:      class.Weight,
		neverSpill:  event.NeverSpill,
		isRecovered: event.Recovered && event.UnknownOutcomeAt == 0,
	}
	message.objectiveAt = message.deadline - class.Deadline + class.LatencyObjective
	if p.settings.WeightByCost && event.EstimatedCost > 0 {
		message.weight *= float64(event.EstimatedCost)
	}
	return message
}

// exceedsQuota counts a message against its tenant's quota and reports whether the quota is
// exceeded. Each relay judges only its own equal share of the quota.
func (p *Policy) exceedsQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(p.tenantQuotas) || p.settings.Tenants[tenant].Quota <= 0 {
		return false
	}
	rate := p.settings.Tenants[tenant].Quota / float64(p.settings.Relays)
	return !p.tenantQuotas[tenant].take(p.now, 1, rate, max(rate, 1))
}

func (p *Policy) trackMessage(message *messageState) {
	p.messages[message.id] = message
	message.pendingIndex = len(p.pending)
	p.pending = append(p.pending, message)
	message.dest.pendingCount++
	p.scheduleCheck(message.deadline-p.deadlineMargin(), message)
}

package policy

import "math"

// fallbackLatencyDivisor divides the first class's latency objective to give the latency that is
// assumed until one has been measured.
const fallbackLatencyDivisor = 4

// Bounds on the estimated time until a queue is empty.
const (
	minQueueRate = 0.1 // messages a second; a stopped destination must not give an infinite time
	maxQueueTime = 60  // seconds; a longer estimate would say nothing more
)

// valueAt is the weight that a message earns if it is delivered at a given time.
func (p *Policy) valueAt(message *messageState, deliveredAt Time) float64 {
	switch {
	case deliveredAt <= message.objectiveAt:
		return message.weight
	case deliveredAt > message.deadline:
		return 0
	case p.settings.HalvingWeight:
		halvings := float64(deliveredAt-message.objectiveAt) / float64(max(message.class.LatencyObjective, 1))
		return message.weight * max(message.class.LateWeight, math.Exp2(-halvings))
	}
	late := float64(deliveredAt-message.objectiveAt) / float64(max(message.deadline-message.objectiveAt, 1))
	return message.weight * (1 - (1-message.class.LateWeight)*late)
}

// updateDelayCosts estimates what weight each message of a queue loses by waiting until the queue
// is empty. It runs once before a sort, not for each comparison, so that its cost grows only in
// proportion to the queue's length.
func (p *Policy) updateDelayCosts(dest *destination) {
	earliestDelivery := p.now + p.typicalLatency(dest)
	latestDelivery := earliestDelivery + p.estimateQueueTime(dest)
	for _, message := range dest.queue {
		message.delayCost = p.valueAt(message, earliestDelivery) - p.valueAt(message, latestDelivery)
	}
}

// estimateQueueTime estimates, from this relay's pace alone, how long the destination takes to
// deliver the messages that wait for it.
func (p *Policy) estimateQueueTime(dest *destination) Time {
	rate := 0.0
	for _, route := range dest.routes {
		rate += p.paceRate(route)
	}
	messages := float64(len(dest.queue) + dest.spilledCount)
	wait := messages / max(rate*float64(dest.kind.MaxBatch), minQueueRate)
	return Time(min(wait, maxQueueTime)*1e6) + p.typicalLatency(dest)
}

// typicalLatency is the mean latency of calls to a destination, or of all calls while this
// destination has had no answer yet.
func (p *Policy) typicalLatency(dest *destination) Time {
	if len(dest.routes) > 0 && dest.routes[0].latency.samples > 0 {
		return Time(dest.routes[0].latency.mean)
	}
	if p.latency.samples > 0 {
		return Time(p.latency.mean)
	}
	return p.settings.Classes[0].LatencyObjective / fallbackLatencyDivisor
}

package relay

import "time"

const (
	// deliveryRetention is how long the id of a delivered message is remembered. It is well above
	// the time after which a client without a response submits its message again.
	deliveryRetention = 10 * time.Second
	// maxRecentDeliveries bounds the ids that are remembered, the newest ones.
	maxRecentDeliveries = 4096
)

// recentDeliveries remembers the ids of messages that were delivered, so that one that a client
// submits again, since it left before its response, does not run again. The zero value is empty.
// It is not safe for concurrent use.
type recentDeliveries struct {
	deliveredAt map[string]time.Time
	order       []recentDelivery // oldest first
}

type recentDelivery struct {
	id string
	at time.Time
}

// add remembers an id, and forgets those that are too old or too many.
func (d *recentDeliveries) add(id string, now time.Time) {
	if d.deliveredAt == nil {
		d.deliveredAt = map[string]time.Time{}
	}
	d.deliveredAt[id] = now
	d.order = append(d.order, recentDelivery{id, now})
	for len(d.order) > maxRecentDeliveries || now.Sub(d.order[0].at) > deliveryRetention {
		oldest := d.order[0]
		d.order = d.order[1:]
		if d.deliveredAt[oldest.id].Equal(oldest.at) { // otherwise it was added again since
			delete(d.deliveredAt, oldest.id)
		}
	}
}

// has reports whether a message was delivered within deliveryRetention.
func (d *recentDeliveries) has(id string, now time.Time) bool {
	at, ok := d.deliveredAt[id]
	return ok && now.Sub(at) <= deliveryRetention
}

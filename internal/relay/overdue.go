package relay

import "plovershore/policy"

const (
	overdueSpan  = policy.Time(250e3) // messages whose times end within one such span are counted together
	overdueGrace = policy.Time(500e3) // after its time a message may take so long to end
)

// overdueCounter counts the messages that are held past their time. It goes by what the
// client said and by the moment at which the request came, not by the deadline
// that the log and the policy have, so that a fault there shows.
type overdueCounter struct {
	ends map[policy.Time]int // messages held, by the span in which their time ends
}

// add books a message whose time ends at a moment of the policy's clock; remove
// needs what it returns.
func (o *overdueCounter) add(end policy.Time) (span policy.Time) {
	if o.ends == nil {
		o.ends = map[policy.Time]int{}
	}
	span = max(end/overdueSpan, 1)
	o.ends[span]++
	return span
}

// remove books that a message is held no longer; span 0 was never booked.
func (o *overdueCounter) remove(span policy.Time) {
	switch n := o.ends[span]; {
	case n > 1:
		o.ends[span] = n - 1
	case n == 1:
		delete(o.ends, span)
	}
}

// count is how many are held past their time and the grace.
func (o *overdueCounter) count(now policy.Time) (n int) {
	for span, held := range o.ends {
		if (span+1)*overdueSpan+overdueGrace <= now {
			n += held
		}
	}
	return n
}

package relay

import "plovershore/policy"

const (
	overdueSpan  = policy.Time(250e3) // length of a span; messages with deadlines in the same span are counted together
	overdueGrace = policy.Time(500e3) // how long after its deadline the completion of a message may take
)

// overdueCounter counts the pending messages whose deadlines have passed. It has its own
// copy of the deadlines, independent of those in the log and in the policy, so that a
// fault there becomes visible. The zero value is empty.
type overdueCounter struct {
	pending map[policy.Time]int // number of messages by the span of their deadlines
}

// add adds a message and returns its span, which is never 0, for remove.
func (o *overdueCounter) add(deadline policy.Time) (span policy.Time) {
	if o.pending == nil {
		o.pending = map[policy.Time]int{}
	}
	span = max(deadline/overdueSpan, 1)
	o.pending[span]++
	return span
}

// remove removes a message of a span. Span 0 stands for a message that was never added.
func (o *overdueCounter) remove(span policy.Time) {
	switch n := o.pending[span]; {
	case n > 1:
		o.pending[span] = n - 1
	case n == 1:
		delete(o.pending, span)
	}
}

// count returns the number of messages whose spans ended at least overdueGrace ago. A
// message is therefore counted up to overdueSpan later than overdueGrace after its deadline.
func (o *overdueCounter) count(now policy.Time) (total int) {
	for span, n := range o.pending {
		if (span+1)*overdueSpan+overdueGrace <= now {
			total += n
		}
	}
	return total
}

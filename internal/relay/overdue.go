package relay

import "plovershore/policy"

const (
	overdueSpan  = policy.Time(250e3) // messages with deadlines in one span are counted together
	overdueGrace = policy.Time(500e3) // completing a message may take so long after its deadline
)

// overdueCounter counts the pending messages whose deadlines have passed. It works out
// deadlines from the request alone, not from what the log and the policy have, so that a
// fault there shows. The zero value is empty.
type overdueCounter struct {
	pending map[policy.Time]int // by the span of their deadlines
}

// add counts a message in and returns the span to remove it from; it is never 0.
func (o *overdueCounter) add(deadline policy.Time) (span policy.Time) {
	if o.pending == nil {
		o.pending = map[policy.Time]int{}
	}
	span = max(deadline/overdueSpan, 1)
	o.pending[span]++
	return span
}

// remove counts a message out. Span 0 stands for one that was never counted.
func (o *overdueCounter) remove(span policy.Time) {
	switch n := o.pending[span]; {
	case n > 1:
		o.pending[span] = n - 1
	case n == 1:
		delete(o.pending, span)
	}
}

// count is the number of messages whose deadlines and grace have passed.
func (o *overdueCounter) count(now policy.Time) (total int) {
	for span, n := range o.pending {
		if (span+1)*overdueSpan+overdueGrace <= now {
			total += n
		}
	}
	return total
}

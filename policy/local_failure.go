package policy

// Bounds of the backoff after a call that this machine could not make, in microseconds: short,
// since the cause may pass at any moment, and bounded, since messages have deadlines.
const (
	minLocalFailureBackoff = 50 * second / 1000
	maxLocalFailureBackoff = 400 * second / 1000
)

// maxBackoffDoublings keeps the shift of a backoff inside its type; every bound is reached before it.
const maxBackoffDoublings = 8

// observeLocalFailure takes back a call that this machine could not make, for one of its messages:
// its log took no record or no connection could be opened from here. That says nothing of the
// endpoint and was no attempt. The route backs off, ever longer, as the cause may concern this
// destination alone: ports that are used up, say.
func (p *Policy) observeLocalFailure(message *messageState, call *callState) {
	message.attempts--
	if call.isLocalFailure {
		return
	}
	call.isLocalFailure = true
	route := call.endpoint.route
	route.history.withdrawRequest(p.now)
	route.tokens.tokens++
	doublings := min(route.localFailureRun, maxBackoffDoublings)
	backoff := min(minLocalFailureBackoff<<doublings, maxLocalFailureBackoff)
	route.localFailureRun++
	jittered := Time(float64(backoff) * (0.5 + p.rng.Float64()/2))
	route.backoffUntil = max(route.backoffUntil, p.now+jittered)
}

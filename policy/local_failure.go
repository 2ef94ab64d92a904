package policy

// Bounds of the backoff after a call that this machine could not make, in microseconds: short,
// since the cause may pass at any moment, and bounded, since messages have deadlines.
const (
	minLocalFailureBackoff = 50 * second / 1000
	maxLocalFailureBackoff = 400 * second / 1000
)

// maxBackoffDoublings limits how often a backoff is doubled by a shift, so that it can't overflow.
// The backoff after local failures reaches its bound before that.
const maxBackoffDoublings = 8

// observeLocalFailure undoes, for one message, the counting of a call that this machine could not
// make: its log took no record, or no connection could be opened from here. This says nothing about
// the endpoint and was no attempt. The route backs off for longer each time, as the cause may
// concern this destination alone: for example, local ports that are used up.
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

package policy

// A call that this machine could not make, since its log took no record or no connection
// could be opened from here, says nothing of the endpoint and was no try of its messages.
// The lane rests for a moment, ever longer while that goes on: what ails the machine may
// be of this destination alone, as ports that are used up.

const (
	unmadePauseLeast = 50 * second / 1000
	unmadePauseMost  = 400 * second / 1000
)

// unmade books such a call for one of its messages, which goes back to its queue.
func (p *Policy) unmade(m *message, c *call) {
	m.tries--
	if c.unmade {
		return
	}
	c.unmade = true
	l := c.ep.lane
	l.hist.withdraw(p.now)
	l.tokens.tokens++
	pause := min(unmadePauseLeast<<min(l.unmadeRun, 8), unmadePauseMost)
	l.unmadeRun++
	l.pauseUntil = max(l.pauseUntil, p.now+Time(float64(pause)*(0.5+p.rng.Float64()/2)))
}

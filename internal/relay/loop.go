package relay

import (
	"net"
	"time"

	"plovershore/policy"
)

// loop runs the relay until it is shut down. It is the one goroutine that the policy
// belongs to: it handles the events in the mailbox, steps the policy and carries out
// its actions.
func (r *Relay) loop(ln *net.TCPListener) error {
	r.shutdown.listener = ln
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	for {
		timer.Reset(r.maxWait())
		select {
		case <-r.mailbox.Ready():
		case <-timer.C:
		}
		events = r.mailbox.TakeAll(events)
		if err := r.runOnce(events); err != nil {
			return err
		}
		if r.continueShutdown() {
			return r.shutdown.cause
		}
	}
}

// maxWait is how long the loop may wait for events before something else is due.
func (r *Relay) maxWait() time.Duration {
	now := r.clock.now()
	wait := min(r.timers.untilNext(now), r.ownership.pollInterval(), r.spilled.untilNext(now))
	if r.shutdown.isRunning() {
		wait = min(wait, shutdownCheckInterval)
	}
	if r.cfg.Operator != "" { // endpoints become available again by time alone
		wait = min(wait, metricsMaxAge)
	}
	return max(wait, 0)
}

// runOnce is one round of the loop.
func (r *Relay) runOnce(events []event) error {
	r.checkWallClock()
	if r.ownership.handoff != nil { // after the mailbox was emptied: what was accepted there before is known here
		r.readHandoffLog()
	}
	for _, e := range events {
		e.handle(r)
	}
	if r.ownership.isTransferred { // the next process decides
		r.step.events, r.timers = nil, nil
	}
	r.fireTimers()
	if len(r.step.events) > 0 {
		r.stepPolicy()
	}
	r.loadSpilled()
	r.sendDueNotices()
	r.publishDueMetrics()
	return r.checkOwnership()
}

// fireTimers tells the policy that timers have expired.
func (r *Relay) fireTimers() {
	if r.timers.removeDue(r.clock.now()) {
		r.step.add(policy.Event{Kind: policy.EventTimer})
	}
}

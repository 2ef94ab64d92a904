package relay

import (
	"net"
	"time"

	"plovershore/policy"
)

// loop runs the relay until it is shut down. Only its goroutine uses the policy: it
// handles the events in the mailbox, steps the policy and carries out its actions.
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

// maxWait returns how long the loop may wait for events before something else is due.
func (r *Relay) maxWait() time.Duration {
	now := r.clock.now()
	wait := min(r.timers.untilNext(now), r.ownership.pollInterval(), r.spilled.untilNext(now))
	if at, ok := r.drain.clients.NextRelease(); ok {
		wait = min(wait, time.Duration(at-now)*time.Microsecond)
	}
	if r.shutdown.isRunning() {
		wait = min(wait, shutdownCheckInterval)
	}
	if r.cfg.Operator != "" { // endpoints may become available again without an event
		wait = min(wait, metricsMaxAge)
	}
	return max(wait, 0)
}

// runOnce runs one round of the loop.
func (r *Relay) runOnce(events []event) error {
	r.checkWallClock()
	if r.ownership.handoff != nil { // read after the mailbox was emptied, so that this process knows each message that the previous one accepted before these events were sent
		r.readHandoffLog()
	}
	for _, e := range events {
		e.handle(r)
	}
	if r.ownership.isTransferred { // the next process's policy decides
		r.step.events, r.timers = nil, nil
	}
	r.releaseDrainedClients()
	r.fireTimers()
	if len(r.step.events) > 0 {
		r.stepPolicy()
	}
	r.loadSpilled()
	r.sendDueNotices()
	r.publishDueMetrics()
	return r.checkOwnership()
}

// fireTimers tells the policy if timers have expired.
func (r *Relay) fireTimers() {
	if r.timers.removeDue(r.clock.now()) {
		r.step.add(policy.Event{Kind: policy.EventTimer})
	}
}

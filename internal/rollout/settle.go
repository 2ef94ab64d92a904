package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"plovershore/internal/leader"
)

// minCompletedSample is the number of messages that a relay must have completed before its
// fraction of rejected messages is checked.
const minCompletedSample = 20

// errNotLongEnough reports that a wave meets the plan's limits at the end of the settle
// timeout, but has not met them for the settle time.
var errNotLongEnough = errors.New("it has not held for long enough")

// awaitSettled waits until the wave has met the plan's limits for the settle time. If the
// settle timeout or ctx ends before that, it returns the error of the last check, which
// says which limit is not met or which relay's status could not be read, or
// errNotLongEnough if the last check found all limits met.
func (e *execution) awaitSettled(ctx context.Context, wave []Relay) error {
	deadline := time.Now().Add(seconds(e.plan.SettleTimeout))
	metSince := time.Now()
	for {
		unmet := e.checkWave(ctx, wave)
		now := time.Now()
		if unmet != nil {
			metSince = now
		} else if now.Sub(metSince) >= seconds(e.plan.SettleTime) {
			return nil
		}
		if now.After(deadline) || !leader.Sleep(ctx, pollInterval) {
			if unmet == nil {
				return errNotLongEnough
			}
			return unmet
		}
	}
}

// checkWave returns an error for the first of the plan's limits that a relay of the wave
// does not meet.
func (e *execution) checkWave(ctx context.Context, wave []Relay) error {
	for _, relay := range wave {
		status, err := e.relays.status(ctx, relay)
		if err != nil {
			return fmt.Errorf("%s: %w", relay.Name, err)
		}
		if err := e.checkRelay(relay.Name, status); err != nil {
			return err
		}
	}
	return nil
}

// checkRelay returns an error if a relay does not meet one of the plan's limits. A relay's
// counts start at zero with its process, so the rejected fraction covers only messages
// completed since its restart.
func (e *execution) checkRelay(name string, status RelayStatus) error {
	before := e.progress.Before[name]
	switch {
	case !status.Ready:
		return fmt.Errorf("%s is not ready", name)
	case status.Pending > before.Pending+int64(e.plan.MaxPending):
		return fmt.Errorf("%s holds %d messages, %d before", name, status.Pending, before.Pending)
	case status.Completed >= minCompletedSample && float64(status.Rejected) > e.plan.MaxRejected*float64(status.Completed):
		return fmt.Errorf("%s refused %d of %d", name, status.Rejected, status.Completed)
	}
	return nil
}

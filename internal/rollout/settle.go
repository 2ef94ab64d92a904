package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"plovershore/internal/leader"
)

// minCompletedSample is how many messages a relay has to complete before its fraction
// of rejected ones counts.
const minCompletedSample = 20

// errNotLongEnough reports a wave that meets the plan's demands, but has not done so
// for the settle time.
var errNotLongEnough = errors.New("it has not held for long enough")

// awaitSettled waits until the plan's demands have held for the settle time. The error
// is the demand that does not hold at the end of the settle timeout.
func (e *execution) awaitSettled(ctx context.Context, wave []Relay) error {
	deadline := time.Now().Add(seconds(e.plan.SettleTimeout))
	since := time.Now()
	for {
		unmet := e.checkWave(ctx, wave)
		now := time.Now()
		if unmet != nil {
			since = now
		} else if now.Sub(since) >= seconds(e.plan.SettleTime) {
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

// checkWave returns the first of the plan's demands that does not hold.
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

// checkRelay checks one relay. Its counts begin anew with its process: what it has
// rejected counts from there.
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

package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/leader"
	"plovershore/internal/leader/operations"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	pollInterval   = 200 * time.Millisecond
	requestTimeout = 5 * time.Second
)

// Progress is the progress of a plan. It is stored before and after each step, so that the
// next leader knows which steps may have been done.
type Progress struct {
	Wave   int                    `json:"wave"`             // number of the present wave, from 0
	Open   bool                   `json:"open"`             // the wave has begun and not settled yet; no other wave may begin
	Done   map[string]bool        `json:"done"`             // names of the relays that were restarted and became ready
	Before map[string]RelayStatus `json:"before,omitempty"` // state of the wave's relays before the wave, by name
}

// Work returns the work of the role: it carries out one plan at a time.
func Work(c *client.Client) leader.Work {
	relays := newRelayClient()
	return func(ctx context.Context, g *leader.Grant) error {
		return operations.Run(ctx, c, Role, pollInterval, func(ctx context.Context, pending []registry.Operation) error {
			for _, op := range pending {
				if op.DesiredState == registry.DesiredPause {
					continue
				}
				e := &execution{listService: c, relays: relays, grant: g, op: op}
				if err := e.advance(ctx); err != nil {
					return err
				}
				// If this pass took longer than the interval, the next one would start at
				// once and could replace the message. The delay gives operators time to read
				// why a plan waits.
				leader.Sleep(ctx, pollInterval)
				return nil
			}
			return nil
		})
	}
}

// execution is one plan that is being carried out.
type execution struct {
	listService *client.Client
	relays      *relayClient
	grant       *leader.Grant
	op          registry.Operation
	plan        Plan
	progress    Progress
}

// advance carries out one pass of the plan: it opens the present wave if it is not open,
// restarts its relays, and moves on to the next wave once it has settled. It returns early
// if one of these can't be completed now; the next pass then goes on from the stored
// progress. It ends the operation if the spec or the progress is invalid, if the plan is
// aborted, or if no wave is left.
func (e *execution) advance(ctx context.Context) error {
	e.progress.Done = map[string]bool{}
	err := operations.Decode(e.op, &e.plan, &e.progress)
	if err == nil {
		err = e.plan.validate()
	}
	if err != nil {
		return e.finish(ctx, operations.MessageInvalid+err.Error())
	}
	if e.op.DesiredState == registry.DesiredAbort {
		return e.finish(ctx, fmt.Sprintf("%s after %d of %d relays", operations.MessageCanceled, len(e.progress.Done), len(e.plan.Relays)))
	}
	wave := e.plan.wave(e.progress.Wave)
	if len(wave) == 0 {
		return e.finish(ctx, operations.MessageDone)
	}
	if !e.progress.Open {
		if opened, err := e.openWave(ctx, wave); err != nil || !opened {
			return err
		}
	}
	if restarted, err := e.restartWave(ctx, wave); err != nil || !restarted {
		return err
	}
	return e.closeWave(ctx, wave)
}

// waveNumber returns the number of the present wave as operators see it, from 1.
func (e *execution) waveNumber() int { return e.progress.Wave + 1 }

// openWave records the state of the wave's relays before the wave, and opens the wave. It
// returns false if the state of a relay cannot be read.
func (e *execution) openWave(ctx context.Context, wave []Relay) (opened bool, err error) {
	e.progress.Open, e.progress.Before = true, map[string]RelayStatus{}
	for _, relay := range wave {
		status, err := e.relays.status(ctx, relay)
		if err != nil {
			return false, e.publishWaiting(ctx, fmt.Sprintf("wave %d waits: %s cannot be looked at: %v", e.waveNumber(), relay.Name, err))
		}
		e.progress.Before[relay.Name] = status
	}
	return true, e.publish(ctx, fmt.Sprintf("wave %d of %d relays is open", e.waveNumber(), len(wave)))
}

// restartWave restarts the relays of the wave in batches. It returns false if the plan was
// paused or aborted before a batch, or if a restart failed.
func (e *execution) restartWave(ctx context.Context, wave []Relay) (restarted bool, err error) {
	for start := 0; start < len(wave); start += e.plan.Parallelism {
		desired, err := operations.DesiredState(ctx, e.listService, e.op)
		if err != nil || desired != registry.DesiredRun {
			return false, err
		}
		batch := wave[start:min(len(wave), start+e.plan.Parallelism)]
		if err := e.restartBatch(ctx, batch); err != nil {
			if errors.Is(err, leader.ErrLeaseLost) || ctx.Err() != nil {
				return false, err
			}
			return false, e.publishWaiting(ctx, fmt.Sprintf("wave %d: %v", e.waveNumber(), err))
		}
		for _, relay := range batch {
			e.progress.Done[relay.Name] = true
		}
		message := fmt.Sprintf("wave %d: %d of %d relays restarted", e.waveNumber(), len(e.progress.Done), len(e.plan.Relays))
		if err := e.publish(ctx, message); err != nil {
			return false, err
		}
	}
	return true, nil
}

func (e *execution) restartBatch(ctx context.Context, batch []Relay) error {
	var restarts errgroup.Group
	for _, relay := range batch {
		if !e.progress.Done[relay.Name] {
			restarts.Go(func() error { return e.restartRelay(ctx, relay) })
		}
	}
	return restarts.Wait()
}

// restartRelay restarts one relay and waits until it is ready.
func (e *execution) restartRelay(ctx context.Context, relay Relay) error {
	timeout := seconds(e.plan.ReadyTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	step := Step{ID: e.op.Name + "/" + relay.Name, Token: e.grant.Token}
	for {
		err := e.relays.restart(ctx, relay, step)
		if err == nil {
			break
		}
		if errors.Is(err, leader.ErrLeaseLost) || !leader.Sleep(ctx, pollInterval) {
			return fmt.Errorf("%s is not restarted: %w", relay.Name, err)
		}
	}
	for {
		status, err := e.relays.status(ctx, relay)
		if err == nil && status.Ready {
			return nil
		}
		if !leader.Sleep(ctx, pollInterval) {
			return fmt.Errorf("%s is not ready after %v", relay.Name, timeout)
		}
	}
}

// closeWave waits until the wave has settled and then moves the plan on to the next wave.
func (e *execution) closeWave(ctx context.Context, wave []Relay) error {
	if err := e.awaitSettled(ctx, wave); err != nil {
		return e.publishWaiting(ctx, fmt.Sprintf("wave %d does not settle: %v", e.waveNumber(), err))
	}
	e.progress.Wave, e.progress.Open, e.progress.Before = e.progress.Wave+1, false, nil
	return e.publish(ctx, fmt.Sprintf("wave %d has settled", e.progress.Wave))
}

func (e *execution) publish(ctx context.Context, message string) error {
	return operations.Send(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message})
}

func (e *execution) finish(ctx context.Context, message string) error {
	return operations.Send(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message, Done: true})
}

// publishWaiting stores the reason why the plan does not proceed, unless that is the
// operation's message already. The next pass retries the step.
func (e *execution) publishWaiting(ctx context.Context, message string) error {
	return operations.SendIfNew(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message})
}

package rollout

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	lookEvery = 200 * time.Millisecond
	askMost   = 5 * time.Second
)

// Progress is how far a plan has come. It is told before and after each step, so
// that the next holder knows what may have been done.
type Progress struct {
	Wave   int                    `json:"wave"`
	Open   bool                   `json:"open"` // the wave is: nothing of another may be begun
	Done   map[string]bool        `json:"done"` // relays that were restarted and said yes
	Before map[string]RelayStatus `json:"before,omitempty"`
}

// RelayStatus is what a relay's operator address tells of it.
type RelayStatus struct {
	Ready     bool  `json:"ready"`
	Pending   int64 `json:"pending"`
	Completed int64 `json:"ended"`
	Rejected  int64 `json:"refused"`
}

// Work is the duty's.
func Work(c *client.Client) leader.Work {
	w := &worker{c: c, http: &http.Client{Timeout: askMost}}
	return func(ctx context.Context, g *leader.Grant) error {
		for {
			var all []registry.Operation
			if _, err := c.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
				return leader.IgnoreCancellation(ctx, err)
			}
			for _, o := range all {
				if o.Kind == Role && !o.Done && o.DesiredState != registry.DesiredPause {
					if err := w.one(ctx, g, o); err != nil {
						return leader.IgnoreCancellation(ctx, err)
					}
					break // one plan at a time
				}
			}
			if !sleep(ctx, lookEvery) {
				return nil
			}
		}
	}
}

type worker struct {
	c    *client.Client
	http *http.Client
}

// one brings a plan on by a wave.
func (w *worker) one(ctx context.Context, g *leader.Grant, o registry.Operation) error {
	var plan Plan
	p := Progress{Done: map[string]bool{}}
	err := json.Unmarshal(o.Spec, &plan)
	if err == nil {
		err = plan.check()
	}
	if err == nil && len(o.Progress) > 0 {
		err = json.Unmarshal(o.Progress, &p)
	}
	if err != nil {
		return w.tell(ctx, g, o, p, "cannot be used: "+err.Error(), true)
	}
	if o.DesiredState == registry.DesiredAbort {
		return w.tell(ctx, g, o, p, fmt.Sprintf("called off after %d of %d relays", len(p.Done), len(plan.Relays)), true)
	}
	from, to := plan.wave(p.Wave)
	if from == to {
		return w.tell(ctx, g, o, p, "done", true)
	}
	wave := plan.Relays[from:to]
	if !p.Open {
		p.Open, p.Before = true, map[string]RelayStatus{}
		for _, r := range wave {
			if p.Before[r.Name], err = w.view(ctx, r); err != nil {
				return w.wait(ctx, g, o, p, fmt.Sprintf("wave %d waits: %s cannot be looked at: %v", p.Wave+1, r.Name, err))
			}
		}
		if err := w.tell(ctx, g, o, p, fmt.Sprintf("wave %d of %d relays is open", p.Wave+1, len(wave)), false); err != nil {
			return err
		}
	}
	for at := 0; at < len(wave); at += plan.Parallelism {
		if wish, err := w.wish(ctx, o); err != nil || wish != registry.DesiredRun {
			return err // paused or called off between two steps
		}
		part := wave[at:min(len(wave), at+plan.Parallelism)]
		var steps errgroup.Group
		for _, r := range part {
			if !p.Done[r.Name] {
				steps.Go(func() error { return w.step(ctx, g, o, r, secs(plan.ReadyTimeout)) })
			}
		}
		if err := steps.Wait(); err != nil {
			if errors.Is(err, leader.ErrLeaseLost) || ctx.Err() != nil {
				return err
			}
			return w.wait(ctx, g, o, p, fmt.Sprintf("wave %d: %v", p.Wave+1, err))
		}
		for _, r := range part {
			p.Done[r.Name] = true
		}
		if err := w.tell(ctx, g, o, p, fmt.Sprintf("wave %d: %d of %d relays restarted", p.Wave+1, len(p.Done), len(plan.Relays)), false); err != nil {
			return err
		}
	}
	if why := w.settle(ctx, &plan, wave, p.Before); why != "" {
		return w.wait(ctx, g, o, p, fmt.Sprintf("wave %d does not settle: %s", p.Wave+1, why))
	}
	p.Wave, p.Open, p.Before = p.Wave+1, false, nil
	return w.tell(ctx, g, o, p, fmt.Sprintf("wave %d has settled", p.Wave), false)
}

// step restarts one relay and waits until it says yes.
func (w *worker) step(ctx context.Context, g *leader.Grant, o registry.Operation, r Relay, ready time.Duration) error {
	text, err := json.Marshal(Step{ID: o.Name + "/" + r.Name, Token: g.Token})
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	long, cancel := context.WithTimeout(ctx, ready)
	defer cancel()
	for {
		err := w.ask(long, http.MethodPost, "http://"+r.Runner+RunnerPath, text, nil)
		if err == nil {
			break
		}
		if errors.Is(err, leader.ErrLeaseLost) || !sleep(long, lookEvery) {
			return fmt.Errorf("%s is not restarted: %w", r.Name, err)
		}
	}
	for {
		v, err := w.view(long, r)
		if err == nil && v.Ready {
			return nil
		}
		if !sleep(long, lookEvery) {
			return fmt.Errorf("%s is not ready after %v", r.Name, ready)
		}
	}
}

// settle waits until all that the plan asks for has held for long enough. Figures
// of a relay begin anew with its process: what was refused counts from there.
func (w *worker) settle(ctx context.Context, plan *Plan, wave []Relay, before map[string]RelayStatus) (why string) {
	within := time.Now().Add(secs(plan.SettleTimeout))
	for since := time.Now(); ; {
		why = ""
		for _, r := range wave {
			v, err := w.view(ctx, r)
			switch {
			case err != nil:
				why = fmt.Sprintf("%s: %v", r.Name, err)
			case !v.Ready:
				why = r.Name + " is not ready"
			case v.Pending > before[r.Name].Pending+int64(plan.MaxPending):
				why = fmt.Sprintf("%s holds %d messages, %d before", r.Name, v.Pending, before[r.Name].Pending)
			case v.Completed >= 20 && float64(v.Rejected) > plan.MaxRejected*float64(v.Completed):
				why = fmt.Sprintf("%s refused %d of %d", r.Name, v.Rejected, v.Completed)
			}
			if why != "" {
				break
			}
		}
		now := time.Now()
		switch {
		case why != "":
			since = now
		case now.Sub(since) >= secs(plan.SettleTime):
			return ""
		}
		if now.After(within) || !sleep(ctx, lookEvery) {
			if why == "" {
				why = "it has not held for long enough"
			}
			return why
		}
	}
}

// wish gives what the operators want of an order now.
func (w *worker) wish(ctx context.Context, o registry.Operation) (string, error) {
	var all []registry.Operation
	if _, err := w.c.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
		return "", err
	}
	for _, x := range all {
		if x.Kind == o.Kind && x.Name == o.Name {
			return x.DesiredState, nil
		}
	}
	return registry.DesiredAbort, nil
}

// wait tells why a plan does not go on; it is tried again.
func (w *worker) wait(ctx context.Context, g *leader.Grant, o registry.Operation, p Progress, says string) error {
	if says == o.Message {
		return nil
	}
	return w.tell(ctx, g, o, p, says, false)
}

func (w *worker) tell(ctx context.Context, g *leader.Grant, o registry.Operation, p Progress, says string, done bool) error {
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	return g.Do(ctx, http.MethodPost, registry.OperationsPath+"/"+o.Kind+"/"+o.Name+"/progress", registry.Operation{Progress: text, Message: says, Done: done}, nil)
}

// ask asks a runner or a relay. A runner that has seen a newer token is ErrLost.
func (w *worker) ask(ctx context.Context, method, to string, body []byte, out *[]byte) error {
	req, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	switch {
	case err != nil:
		return fmt.Errorf("rollout: %w", err)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %s", leader.ErrLeaseLost, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("rollout: %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	if out != nil {
		*out = text
	}
	return nil
}

// view reads readiness and figures of a relay.
func (w *worker) view(ctx context.Context, r Relay) (v RelayStatus, err error) {
	at := cmp.Or(r.Operator, r.Runner)
	v.Ready = w.ask(ctx, http.MethodGet, "http://"+at+"/v1/readyz", nil, nil) == nil
	var text []byte
	if err := w.ask(ctx, http.MethodGet, "http://"+at+"/v1/metrics", nil, &text); err != nil {
		return v, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		n, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || strings.HasPrefix(name, "#") {
			continue
		}
		switch name, _, _ = strings.Cut(name, "{"); name {
		case "app_pending":
			v.Pending += int64(n)
		case "app_completed", "app_failed":
			v.Completed += int64(n)
		case "app_rejected":
			v.Completed += int64(n)
			v.Rejected += int64(n)
		}
	}
	return v, lines.Err()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

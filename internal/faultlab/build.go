package faultlab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"plovershore/internal/clock/wallclock"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

// build makes partners, discovery and links; nothing runs yet but the stand-ins.
func (r *run) build(ctx context.Context) error {
	s, f := r.scenario, r.plan
	r.world = &model.World{Recorder: r.recorder, Ledger: model.NewLedger(), Net: link.NewNet(), Rules: model.StandardRules()}
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	for cell, p := range f.upstreams {
		l := model.Limit{RetryAfterFraction: p.retryAfterFraction, RetryAfterMin: ms(400), RetryAfterMax: ms(910), CountsRejected: s.Upstreams.CountsRejected}
		if s.Upstreams.Limits {
			l.Rate = p.rate
		}
		if p.hasWindow {
			l.Window = 2 * time.Second
		}
		r.upstreams = append(r.upstreams, model.NewUpstream(cell, p.kind, l, p.latencyFactor, p.loadReportInterval, r.world.Rules, r.recorder, r.seed))
	}
	var members []model.Member
	for i, e := range f.endpoints {
		end := &model.Endpoint{ID: fmt.Sprintf("s-%04x%04x", uint16(r.seed*40503), i), Zone: e.zone, Upstream: r.upstreams[e.destination],
			Servers: e.servers, QueueSize: 2 * e.servers, MaxConns: max(s.Fleet.Relays, int(float64(e.servers)*s.Upstreams.ConnsFactor)), MaxBatch: s.Fleet.MaxBatch, IdleTimeout: 10 * time.Second}
		if f.upstreams[e.destination].kind != model.Telco {
			end.MaxBatch = 1
		}
		if err := end.Serve(r.ctx, r.world, r.address(), &r.served); err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, end)
		members = append(members, model.Member{ID: end.ID, Locality: e.zone, Flavor: f.upstreams[e.destination].kind, Cell: e.destination, Phase: model.Up, Size: 1})
	}
	r.world.OnDelivered = r.status.recordDelivery
	r.recorder.Subscribe(r.status.observe)
	r.discovery = model.NewDiscovery(r.world, r.seed)
	addrs := map[string]string{}
	load := model.StandardLoad(s.Load.Rate, f.weights)
	load.Retries, load.LeaverFraction, load.BurstFraction = s.Load.Retries, s.Load.LeaverFraction, s.Load.BurstFraction
	r.clients = model.NewClients(r.world, load, addrs, r.seed)
	r.clients.OnLateness = r.recordLateness
	if err := os.MkdirAll(filepath.Join(r.opts.Out, "logs"), 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if s.Registry.Nodes > 0 {
		var err error
		if r.group, err = r.newGroup(ctx); err != nil {
			return err
		}
	}
	for i := range s.Fleet.Relays {
		x := &relay{run: r, number: i, name: fmt.Sprintf("n%d", i+1), zone: f.relayZone(i), listen: r.address()}
		r.relays = append(r.relays, x)
		if err := r.connect(ctx, x, members); err != nil {
			return err
		}
		addrs[x.name] = x.proxy.Addr()
	}
	return nil
}

// connect makes one relay's machine: its folder, agent and links.
func (r *run) connect(ctx context.Context, x *relay, members []model.Member) (err error) {
	if x.dir, err = filepath.Abs(filepath.Join(r.opts.Out, x.name)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := errors.Join(os.RemoveAll(x.dir), os.MkdirAll(x.stateDir(), 0o700)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if x.log, err = os.Create(filepath.Join(r.opts.Out, "logs", x.name+".log")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if slices.ContainsFunc(r.scenario.Faults, func(f scenario.Fault) bool { return f.Kind == "clock" }) {
		if x.wall, err = wallclock.New(x.dir); err != nil {
			return err
		}
	}
	if x.proxy, err = r.world.Net.Listen("clients", x.name, r.address(), x.listen, r.seed, nil); err != nil {
		return err
	}
	mine := make([]model.Member, len(members))
	for i, e := range r.endpoints {
		l, err := r.world.Net.Listen(x.name, e.ID, r.address(), e.Addr(), r.seed+uint64(x.number*1000+i), r.recordLostCall)
		if err != nil {
			return err
		}
		delay := r.scenario.Upstreams.DelayMS
		if e.Zone != x.zone {
			delay = r.scenario.Upstreams.CrossMS
		}
		usual := link.Faults{Delay: time.Duration(delay * float64(time.Millisecond)), Jitter: time.Duration(r.scenario.Upstreams.JitterMS * float64(time.Millisecond))}
		r.linkFaults[l] = usual
		l.SetFaults(link.ToServer, usual)
		l.SetFaults(link.ToClient, usual)
		x.links = append(x.links, l)
		mine[i] = members[i]
		mine[i].HostPort = l.Addr()
	}
	if r.group == nil {
		x.agent, err = r.discovery.NewAgent(x.name, r.ip, mine, r.onNotice)
		return err
	}
	if x.agentLog, err = os.Create(filepath.Join(r.opts.Out, "logs", x.name+"-agent.log")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	t, err := r.group.startAgent(ctx, x, r.onNotice)
	if t != nil {
		x.agent = t
	}
	return err
}

// startAll starts every relay and waits until each serves clients.
func (r *run) startAll(ctx context.Context) error {
	for _, x := range r.relays {
		if err := x.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); ; {
		var waiting []string
		for _, x := range r.relays {
			x.mu.Lock()
			if !x.ready {
				waiting = append(waiting, x.name)
			}
			p := x.process
			x.mu.Unlock()
			select {
			case <-p.Done():
				_, text := p.Exit()
				return fmt.Errorf("lab: %s did not start: %s; see %s", x.name, text, x.log.Name())
			default:
			}
		}
		if len(waiting) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("lab: not ready after %v: %s; see the logs in %s", readyTimeout, strings.Join(waiting, ", "), filepath.Join(r.opts.Out, "logs"))
		}
		if !model.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("lab: stopped before the relays were ready: %w", ctx.Err())
		}
	}
}

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

const (
	readyTimeout = 30 * time.Second // for all relays to be ready, before the load starts
	readyPoll    = 5 * time.Millisecond

	windowLength        = 2 * time.Second // length of the windows over which some upstreams count calls
	retryAfterMinMillis = 400
	retryAfterMaxMillis = 910
	endpointIdle        = 10 * time.Second
	queuePerServer      = 2 // queue places for each of an endpoint's servers
)

// build makes upstreams, discovery, clients, relays and links; it starts all but the
// relays and the load.
func (r *run) build(ctx context.Context) error {
	r.world = &model.World{
		Recorder:    r.recorder,
		Ledger:      model.NewLedger(),
		Net:         link.NewNet(),
		Rules:       model.StandardRules(),
		OnDelivered: r.status.recordDelivery,
	}
	r.recorder.Subscribe(r.status.observe)
	members, err := r.buildUpstreams()
	if err != nil {
		return err
	}
	r.discovery = model.NewDiscovery(r.world, r.seed)
	addrs := map[string]string{}
	r.buildClients(addrs)
	if err := os.MkdirAll(filepath.Join(r.opts.Out, logsDir), 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if r.scenario.Registry.Nodes > 0 {
		if r.group, err = r.newGroup(ctx); err != nil {
			return err
		}
	}
	for i := range r.scenario.Fleet.Relays {
		newRelay := &relay{run: r, number: i, name: fmt.Sprintf("n%d", i+1), zone: r.plan.relayZone(i), listen: r.address()}
		r.relays = append(r.relays, newRelay)
		if err := r.prepareRelay(ctx, newRelay, members); err != nil {
			return err
		}
		addrs[newRelay.name] = newRelay.proxy.Addr()
	}
	return nil
}

// buildUpstreams starts the endpoints and returns the list of them.
func (r *run) buildUpstreams() (members []model.Member, err error) {
	for destination := range r.plan.upstreams {
		r.upstreams = append(r.upstreams, r.newUpstream(destination))
	}
	for i, planned := range r.plan.endpoints {
		endpoint := r.newEndpoint(i)
		if err := endpoint.Serve(r.ctx, r.world, r.address(), &r.serving); err != nil {
			return nil, err
		}
		r.endpoints = append(r.endpoints, endpoint)
		kind := r.plan.upstreams[planned.destination].kind
		members = append(members, model.Member{ID: endpoint.ID, Locality: planned.zone, Flavor: kind, Cell: planned.destination, Phase: model.Up, Size: 1})
	}
	return members, nil
}

func (r *run) newUpstream(destination int) *model.Upstream {
	settings, planned := &r.scenario.Upstreams, &r.plan.upstreams[destination]
	limit := model.Limit{
		RetryAfterFraction: planned.retryAfterFraction,
		RetryAfterMin:      millis(retryAfterMinMillis),
		RetryAfterMax:      millis(retryAfterMaxMillis),
		CountsRejected:     settings.CountsRejected,
	}
	if settings.Limits {
		limit.Rate = planned.rate
	}
	if planned.hasWindow {
		limit.Window = windowLength
	}
	return model.NewUpstream(destination, planned.kind, limit, planned.latencyFactor, planned.loadInterval, r.world.Rules, r.recorder, r.seed)
}

func (r *run) newEndpoint(number int) *model.Endpoint {
	fleet, planned := &r.scenario.Fleet, &r.plan.endpoints[number]
	endpoint := &model.Endpoint{
		ID:          endpointID(r.seed, number),
		Zone:        planned.zone,
		Upstream:    r.upstreams[planned.destination],
		Servers:     planned.servers,
		QueueSize:   queuePerServer * planned.servers,
		MaxConns:    max(fleet.Relays, int(float64(planned.servers)*r.scenario.Upstreams.ConnsFactor)),
		MaxBatch:    fleet.MaxBatch,
		IdleTimeout: endpointIdle,
	}
	if endpoint.Upstream.Kind != model.Telco {
		endpoint.MaxBatch = 1
	}
	return endpoint
}

// endpointID returns an endpoint's ID in the form that the platform uses. It depends on
// seed and number alone, and differs between seeds.
func endpointID(seed uint64, number int) string {
	const spread = 40503
	return fmt.Sprintf("s-%04x%04x", uint16(seed*spread), number)
}

// buildClients makes the clients; addrs is filled with the relays' addresses later.
func (r *run) buildClients(addrs map[string]string) {
	settings := &r.scenario.Load
	load := model.StandardLoad(settings.Rate, r.plan.weights)
	load.Retries, load.LeaverFraction, load.BurstFraction = settings.Retries, settings.LeaverFraction, settings.BurstFraction
	r.clients = model.NewClients(r.world, load, addrs, r.seed)
	r.clients.OnLateness = r.lateness.record
}

// prepareRelay makes the directory, links and agent of one relay.
func (r *run) prepareRelay(ctx context.Context, relay *relay, members []model.Member) (err error) {
	if err := r.makeDir(relay); err != nil {
		return err
	}
	if relay.proxy, err = r.world.Net.Listen("clients", relay.name, r.address(), relay.listen, r.seed, nil); err != nil {
		return err
	}
	ownMembers := slices.Clone(members)
	for i, endpoint := range r.endpoints {
		l, err := r.linkEndpoint(relay, i, endpoint)
		if err != nil {
			return err
		}
		ownMembers[i].HostPort = l.Addr()
	}
	if r.group == nil {
		relay.agent, err = r.discovery.NewAgent(relay.name, r.ip, ownMembers, r.onNotice)
		return err
	}
	if relay.agentLog, err = os.Create(r.logPath(relay.name + "-agent")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	proxy, err := r.group.startAgent(ctx, relay, r.onNotice)
	if proxy != nil {
		relay.agent = proxy
	}
	return err
}

// makeDir makes a relay's directory and its log file and, if the scenario steps clocks,
// its wall clock.
func (r *run) makeDir(relay *relay) (err error) {
	if relay.dir, err = filepath.Abs(filepath.Join(r.opts.Out, relay.name)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := errors.Join(os.RemoveAll(relay.dir), os.MkdirAll(relay.stateDir(), 0o700)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if relay.log, err = os.Create(r.logPath(relay.name)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	stepsClock := func(f scenario.Fault) bool { return f.Kind == scenario.FaultClock }
	if slices.ContainsFunc(r.scenario.Faults, stepsClock) {
		relay.wall, err = wallclock.New(relay.dir)
	}
	return err
}

// linkEndpoint makes the link from a relay to one endpoint. Its delay depends on whether
// both are in the same zone. The numbers of the relay and of the endpoint select the seed
// of its random faults.
func (r *run) linkEndpoint(relay *relay, number int, endpoint *model.Endpoint) (*link.Link, error) {
	const seedsPerRelay = 1000
	seed := r.seed + uint64(relay.number*seedsPerRelay+number)
	l, err := r.world.Net.Listen(relay.name, endpoint.ID, r.address(), endpoint.Addr(), seed, r.recordLostCall)
	if err != nil {
		return nil, err
	}
	settings := &r.scenario.Upstreams
	delayMS := settings.DelayMS
	if endpoint.Zone != relay.zone {
		delayMS = settings.CrossMS
	}
	faults := link.Faults{Delay: millis(delayMS), Jitter: millis(settings.JitterMS)}
	r.linkFaults[l] = faults
	l.SetBoth(faults)
	relay.links = append(relay.links, l)
	return l, nil
}

// startRelays starts every relay and waits until each serves clients.
func (r *run) startRelays(ctx context.Context) error {
	for _, relay := range r.relays {
		if err := relay.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyTimeout); ; {
		notReady, err := r.notReady()
		if err != nil || len(notReady) == 0 {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("lab: not ready after %v: %s; see the logs in %s", readyTimeout, strings.Join(notReady, ", "), filepath.Join(r.opts.Out, logsDir))
		}
		if !model.Sleep(ctx, readyPoll) {
			return fmt.Errorf("lab: stopped before the relays were ready: %w", ctx.Err())
		}
	}
}

// notReady returns the names of the relays that are not ready, or an error if a process
// has ended.
func (r *run) notReady() (names []string, err error) {
	for _, relay := range r.relays {
		relay.mu.Lock()
		if !relay.ready {
			names = append(names, relay.name)
		}
		p := relay.process
		relay.mu.Unlock()
		select {
		case <-p.Done():
			_, text := p.Exit()
			return nil, fmt.Errorf("lab: %s did not start: %s; see %s", relay.name, text, relay.log.Name())
		default:
		}
	}
	return names, nil
}

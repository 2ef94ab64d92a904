package faultlab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
)

// startService starts the endpoints and the list service, registers all members, and
// opens the watchers of the scenario.
func (r *scaleRun) startService(ctx context.Context) (err error) {
	c := &r.scenario.Scale
	r.down = simrelay.Down{Seed: r.opts.Seed, Fraction: c.Down, For: scenario.Seconds(c.DownFor), Origin: r.startedAt.UnixMicro()}
	r.down.Prepare(c.Members)
	if r.endpoints, err = newScaleEndpoints(r.ctx); err != nil {
		return err
	}
	r.start(func() { r.endpoints.updateDown(r.ctx, &r.down, c.Members, r.failure.set) })
	log, err := r.logFile("nodes")
	if err != nil {
		return err
	}
	r.group = &benchGroup{ip: r.ip, dir: r.dir, program: r.opts.Registry, port: firstPort, logs: log}
	if err := r.group.start(r.scenario.Registry.Nodes, 0); err != nil {
		r.group.stop()
		return err
	}
	for _, p := range r.group.processes {
		r.watchProcess(p)
	}
	if r.members, err = newScaleMembers(r.scenario, r.endpoints, r.group.http, r.lateness.record); err != nil {
		return err
	}
	startedAt := time.Now()
	r.start(func() { r.members.sendHeartbeats(r.ctx) })
	if err := r.members.registerAll(ctx, r.members.memberNumbers(), nil); err != nil {
		return err
	}
	r.results.Register = time.Since(startedAt).Seconds()
	r.watchers = &watcherSet{}
	if c.Watchers == 0 {
		return nil
	}
	r.watchers.start(r.ctx, r.group.http, c.Watchers, false)
	if err := r.watchers.awaitOpen(ctx, 0); err != nil {
		return fmt.Errorf("lab: %d of %d watchers of the list service opened: %w", r.watchers.opened.Load(), c.Watchers, err)
	}
	return nil
}

// startFleet starts the agents and, once they have the list, the relays.
func (r *scaleRun) startFleet(ctx context.Context) error {
	c := &r.scenario.Scale
	ownNodes, err := r.nodeMeters()
	if err != nil {
		return err
	}
	sharedNodes, err := r.nodeMeters()
	if err != nil {
		return err
	}
	var ownAgents []*scaleAgent
	for i := range c.Real + c.Agents {
		name, nodes := fmt.Sprintf("n%d-agent", i+1), ownNodes
		if i >= c.Real {
			name, nodes = fmt.Sprintf("shared-agent-%d", i-c.Real+1), sharedNodes
		}
		a, err := r.startAgent(name, nodes)
		if err != nil {
			return err
		}
		if i < c.Real {
			ownAgents = append(ownAgents, a)
		} else {
			r.agents = append(r.agents, a)
		}
	}
	for _, a := range append(ownAgents, r.agents...) {
		for agentMembers(ctx, a) < c.Members {
			if !model.Sleep(ctx, pollInterval) {
				return fmt.Errorf("lab: %s does not have a list of %d members; see the logs in %s", a.process.Name, c.Members, filepath.Join(r.dir, logsDir))
			}
		}
	}
	startedAt := time.Now()
	if err := r.startRelays(ownAgents); err != nil {
		return err
	}
	r.makeRoles(ownAgents, ownNodes, sharedNodes)
	r.start(r.sampleRoles)
	r.awaitLists(ctx)
	r.results.Start = time.Since(startedAt).Seconds()
	for _, role := range r.roles {
		role.cost.StartMB = float64(role.measure().bytes) / 1e6 / float64(role.units)
	}
	return r.ctx.Err()
}

// startRelays starts the real relays and the processes of simulated relays.
func (r *scaleRun) startRelays(ownAgents []*scaleAgent) error {
	c := &r.scenario.Scale
	var agents []string
	for _, a := range r.agents {
		agents = append(agents, a.meter.addr())
	}
	for i, a := range ownAgents {
		relay, err := r.startRealRelay(i, a)
		if err != nil {
			return err
		}
		r.realRelays = append(r.realRelays, relay)
	}
	for i, firstRelay := 0, c.Real; i < c.Processes; i++ {
		relays := c.Relays / c.Processes
		if i < c.Relays%c.Processes {
			relays++
		}
		started, err := r.startSimProcess(i, firstRelay, relays, agents)
		if err != nil {
			return err
		}
		r.simProcesses, firstRelay = append(r.simProcesses, started), firstRelay+relays
	}
	return nil
}

// makeRoles makes the roles whose cost is measured.
func (r *scaleRun) makeRoles(ownAgents []*scaleAgent, ownNodes, sharedNodes []*meter) {
	c := &r.scenario.Scale
	add := func(relay *role) {
		if relay.units > 0 {
			relay.cost.Phases = map[string]ScalePhase{}
			r.roles = append(r.roles, relay)
		}
	}
	simulated := &role{name: simRelayRole, units: c.Relays}
	for _, simProcess := range r.simProcesses {
		simulated.processes = append(simulated.processes, simProcess.process)
	}
	sharedAgentRole := &role{name: fmt.Sprintf("agent of %d hollow relays", c.Relays/c.Agents), units: c.Agents, meters: sharedNodes}
	for _, agent := range r.agents {
		simulated.meters = append(simulated.meters, agent.meter)
		sharedAgentRole.processes = append(sharedAgentRole.processes, agent.process)
	}
	realRelays, operatedRelays := &role{name: realRelayRole}, &role{name: operatedRelayRole}
	for _, relay := range r.realRelays {
		relayRole := realRelays
		if relay.operator != "" {
			relayRole = operatedRelays
		}
		relayRole.units++
		relayRole.processes, relayRole.meters = append(relayRole.processes, relay.process), append(relayRole.meters, relay.agent.meter)
	}
	ownAgentRole := &role{name: "agent of one relay", units: c.Real, meters: ownNodes}
	for _, agent := range ownAgents {
		ownAgentRole.processes = append(ownAgentRole.processes, agent.process)
	}
	add(simulated)
	add(realRelays)
	add(operatedRelays)
	add(ownAgentRole)
	add(sharedAgentRole)
	add(&role{name: fmt.Sprintf("list service's node, %d watchers of all", c.Watchers+c.Real+c.Agents), units: len(r.group.processes), processes: r.group.processes})
	add(&role{name: "lab", units: 1, processes: []*process.Process{{Name: "lab", PID: os.Getpid()}}})
}

// awaitLists waits until every relay has a list of all members, or ctx ends. A real relay
// also has to serve clients; one without an operator address is not asked for its list.
func (r *scaleRun) awaitLists(ctx context.Context) {
	c := &r.scenario.Scale
	for {
		ready := r.simStatus().Members[c.Members] == c.Relays
		for _, relay := range r.realRelays {
			ready = ready && (relay.operator == "" || relay.members(ctx) == c.Members) && ping(relay.listen)
		}
		if ready || !model.Sleep(ctx, pollInterval) {
			return
		}
	}
}

package faultlab

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/registry/client"
)

const (
	groupTimeout = 20 * time.Second // for the list service, or an agent, to become ready
	agentPoll    = 20 * time.Millisecond
)

// group is a list service of real processes, together with what the lab runs in the
// place of its users: endpoints that register and send heartbeats, watchers, and
// clients of a linearizable register.
type group struct {
	run         *run
	nodes       []*node
	controllers []*controller
	client      *client.Client
	lastValue   atomic.Int64 // number of writes to the register so far; modulo registerValues it is the last value

	notices *noticeSink // nil without controllers

	mu        sync.Mutex
	muted     map[string]bool // endpoints that send no heartbeats
	withdrawn map[string]bool // endpoints that are off the list for now
}

// newGroup makes nodes and their links, and starts the processes. The caller closes the
// group, also when it is returned with an error.
func (r *run) newGroup(ctx context.Context) (*group, error) {
	g := &group{run: r, muted: map[string]bool{}, withdrawn: map[string]bool{}}
	for i := range r.scenario.Registry.Nodes {
		n, err := g.newNode(i)
		if err != nil {
			return g, err
		}
		g.nodes = append(g.nodes, n)
	}
	for _, n := range g.nodes {
		if err := n.linkPeers(); err != nil {
			return g, err
		}
	}
	for _, n := range g.nodes {
		if err := n.start(); err != nil {
			return g, err
		}
	}
	var err error
	if g.client, err = client.New(g.proxyAddrs(), len(r.endpoints)+len(g.nodes), slog.New(slog.DiscardHandler)); err != nil {
		return g, err
	}
	if err := g.registerAll(ctx); err != nil {
		return g, err
	}
	return g, g.startControllers()
}

// registerAll registers all endpoints; the first registration waits until the group
// accepts writes.
func (g *group) registerAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	for _, endpoint := range g.run.endpoints {
		if err := g.register(ctx, endpoint); err != nil {
			return fmt.Errorf("lab: registering an endpoint with the list service failed: %w", err)
		}
	}
	return nil
}

// proxyAddrs returns the addresses at which clients reach the nodes.
func (g *group) proxyAddrs() (addrs []string) {
	for _, n := range g.nodes {
		addrs = append(addrs, n.proxy.Addr())
	}
	return addrs
}

// close ends the group's processes.
func (g *group) close() {
	for _, c := range g.controllers {
		if p := c.currentProcess(); p != nil {
			p.Signal(syscall.SIGCONT)
			c.signal(syscall.SIGKILL)
		}
	}
	for _, n := range g.nodes {
		if p := n.currentProcess(); p != nil {
			p.Signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
		}
	}
}

// closeLinks closes the group's links, logs, client and server of notices.
func (g *group) closeLinks() {
	for _, c := range g.controllers {
		c.closeLinks()
	}
	for _, n := range g.nodes {
		n.closeLinks()
	}
	if g.client != nil {
		g.client.Close()
	}
	if g.notices != nil {
		g.notices.Close()
	}
}

// startAgent starts the agent of one relay and the lab's proxy before it, and waits
// until the agent has the list.
func (g *group) startAgent(ctx context.Context, relay *relay, onNotice model.NoticeFunc) (*agentProxy, error) {
	links := map[string]string{}
	for i, endpoint := range g.run.endpoints {
		links[endpoint.ID] = relay.links[i].Addr()
	}
	addr := g.run.address()
	args := []string{"agent", "--listen", addr, "--folder", filepath.Join(relay.dir, "agent"),
		"--nodes", strings.Join(g.proxyAddrs(), ","), "--fleet", strconv.Itoa(len(g.run.relays) + 1)}
	p, err := process.Start(relay.name+"-agent", g.run.opts.Registry, args, nil, relay.agentLog)
	if err != nil {
		return nil, err
	}
	relay.agentProc = p
	proxy, err := newAgentProxy(relay.name, g.run.ip, addr, links, g.run.recorder, onNotice)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(groupTimeout); len(proxy.Known().Members) < len(g.run.endpoints); {
		if time.Now().After(deadline) || !model.Sleep(ctx, agentPoll) {
			return proxy, fmt.Errorf("lab: the agent of %s has no list; see %s", relay.name, relay.agentLog.Name())
		}
	}
	return proxy, nil
}

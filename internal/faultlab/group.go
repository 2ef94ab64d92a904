package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/registry/client"
)

const (
	registerID       = "lab-probe" // a member that stands for a register: its cell is the value
	registerInterval = 40 * time.Millisecond
	registerTimeout  = 20 * time.Second // that one operation is asked again
	groupTimeout     = 20 * time.Second
)

// group is a list service of real processes, with what the lab does as its
// endpoints, its watchers and the users of one linearizable register.
type group struct {
	run         *run
	nodes       []*node
	controllers []*controller
	client      *client.Client
	lastValue   atomic.Int64

	platform *platform // nil without wardens

	mu        sync.Mutex
	muted     map[string]bool // endpoints whose heartbeats are kept back
	withdrawn map[string]bool // members that are taken off the list for now
}

// newGroup makes nodes and their links, and starts the processes.
func (r *run) newGroup(ctx context.Context) (*group, error) {
	g := &group{run: r, muted: map[string]bool{}, withdrawn: map[string]bool{}}
	for i := range r.scenario.Registry.Nodes {
		n := &node{group: g, num: i, name: fmt.Sprint("r", i+1), http: r.address(), raft: r.address()}
		var err error
		if n.proxy, err = r.world.Net.Listen("all", n.name, r.address(), n.http, r.seed, nil); err != nil {
			return g, err
		}
		if n.dir, err = filepath.Abs(filepath.Join(r.opts.Out, n.name)); err != nil {
			return g, fmt.Errorf("lab: %w", err)
		}
		if err := errors.Join(os.RemoveAll(n.dir), os.MkdirAll(n.dir, 0o700)); err != nil {
			return g, fmt.Errorf("lab: %w", err)
		}
		if n.log, err = os.Create(filepath.Join(r.opts.Out, "logs", n.name+".log")); err != nil {
			return g, fmt.Errorf("lab: %w", err)
		}
		g.nodes = append(g.nodes, n)
	}
	var doors []string
	for _, n := range g.nodes {
		doors = append(doors, n.proxy.Addr())
		for _, m := range g.nodes {
			var l *link.Link
			if m != n {
				var err error
				if l, err = r.world.Net.Listen(n.name, m.name, r.address(), m.raft, r.seed, nil); err != nil {
					return g, err
				}
			}
			n.peers = append(n.peers, l)
		}
	}
	for _, n := range g.nodes {
		if err := n.start(); err != nil {
			return g, err
		}
	}
	var err error
	if g.client, err = client.New(doors, len(r.endpoints)+len(g.nodes), slog.New(slog.DiscardHandler)); err != nil {
		return g, err
	}
	first, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	for _, e := range r.endpoints {
		if err := g.register(first, e); err != nil {
			return g, fmt.Errorf("lab: the list service takes no registration: %w", err)
		}
	}
	return g, g.startControllers()
}

// close ends the group's processes, links and files.
func (g *group) close() {
	for _, w := range g.controllers {
		if w.process != nil {
			w.process.Signal(syscall.SIGCONT)
			w.signal(syscall.SIGKILL)
		}
	}
	for _, n := range g.nodes {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p != nil {
			p.Signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
		}
	}
}

func (g *group) closeLinks() {
	for _, w := range g.controllers {
		for _, l := range w.links {
			l.Close()
		}
		w.log.Close()
	}
	for _, n := range g.nodes {
		n.proxy.Close()
		for _, l := range n.peers {
			if l != nil {
				l.Close()
			}
		}
		n.log.Close()
	}
	if g.client != nil {
		g.client.Close()
	}
	if g.platform != nil {
		g.platform.Close()
	}
}

// startAgent runs the agent of one relay and the tap before it, and waits until
// it has the list.
func (g *group) startAgent(ctx context.Context, x *relay, noticed func(string, string, int64)) (*agentProxy, error) {
	var doors []string
	for _, n := range g.nodes {
		doors = append(doors, n.proxy.Addr())
	}
	links := map[string]string{}
	for i, e := range g.run.endpoints {
		links[e.ID] = x.links[i].Addr()
	}
	addr := g.run.address()
	args := []string{"agent", "--listen", addr, "--folder", filepath.Join(x.dir, "agent"), "--nodes", strings.Join(doors, ","), "--fleet", strconv.Itoa(len(g.run.relays) + 1)}
	p, err := process.Start(x.name+"-agent", g.run.opts.Registry, args, nil, x.agentLog)
	if err != nil {
		return nil, err
	}
	x.agentProcess = p
	t, err := newAgentProxy(x.name, g.run.ip, addr, links, g.run.recorder, noticed)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(groupTimeout); ; {
		if l := t.Known(); len(l.Members) >= len(g.run.endpoints) {
			return t, nil
		}
		if time.Now().After(end) || !model.Sleep(ctx, 20*time.Millisecond) {
			return t, fmt.Errorf("lab: the agent of %s has no list; see %s", x.name, x.agentLog.Name())
		}
	}
}

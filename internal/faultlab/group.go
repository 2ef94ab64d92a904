package faultlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/registry"
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

// node is one node of the group, over all of its processes.
type node struct {
	group *group
	num   int
	name  string
	dir   string
	http  string // where it listens
	raft  string
	proxy *link.Link   // all others ask through here
	peers []*link.Link // to the raft address of each other node
	log   *os.File
	busy  sync.Mutex

	mu      sync.Mutex
	process *process.Process
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

// start runs a process of the node.
func (n *node) start() error {
	var b strings.Builder
	fmt.Fprintf(&b, "id = %q\ndata = %q\nlisten = %q\nraft = %q\n", n.name, filepath.Join(n.dir, "data"), n.http, n.raft)
	for i, m := range n.group.nodes {
		addr := n.raft
		if i != n.num {
			addr = n.peers[i].Addr()
		}
		fmt.Fprintf(&b, "[[peers]]\nid = %q\nraft = %q\nhttp = %q\n", m.name, addr, m.proxy.Addr())
	}
	path := filepath.Join(n.dir, "registry.toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	p, err := process.Start(n.name, n.group.run.opts.Registry, []string{"serve", "--config", path,
		"--drill-clock", scenario.RoundRobin(n.group.run.scenario.Registry.NodeClocks, n.num)}, nil, n.log)
	if err != nil {
		return err
	}
	n.group.run.recorder.Record(history.Event{Kind: history.ProcessStarted, Relay: n.name, PID: p.PID, Text: "node"})
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.group.run.wg.Add(1)
	go func() {
		defer n.group.run.wg.Done()
		<-p.Done()
		code, text := p.Exit()
		n.group.run.recorder.Record(history.Event{Kind: history.ProcessExited, Relay: n.name, PID: p.PID, Status: code, Text: text})
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	n.group.run.recorder.Record(history.Event{Kind: history.ProcessSignaled, Relay: n.name, PID: p.PID, Text: s.String()})
	if s == syscall.SIGKILL {
		p.Kill()
		return
	}
	p.Signal(s)
}

// setCut cuts the node off from all others, or heals it.
func (n *node) setCut(on bool) {
	f := link.Faults{Cut: on}
	set := func(l *link.Link) {
		if l != nil {
			l.SetFaults(link.ToServer, f)
			l.SetFaults(link.ToClient, f)
		}
	}
	set(n.proxy)
	for i, m := range n.group.nodes {
		set(n.peers[i])
		set(m.peers[n.num])
	}
}

// targets gives the nodes that a fault strikes now.
func (g *group) targets(s Step) []*node {
	var out []*node
	switch s.Fault.Node {
	case "all":
		return g.nodes
	case "leader", "follower":
		leader := g.leader()
		for _, n := range g.nodes {
			if (n == leader) == (s.Fault.Node == "leader") {
				out = append(out, n)
			}
		}
		return out[:min(1, len(out))]
	}
	for _, i := range s.Targets {
		out = append(out, g.nodes[i])
	}
	return out
}

// leader is the node that says it leads; nil for none.
func (g *group) leader() *node {
	c := http.Client{Timeout: 500 * time.Millisecond}
	for _, n := range g.nodes {
		resp, err := c.Get("http://" + n.http + registry.StatusPath)
		if err != nil {
			continue
		}
		var s registry.Status
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil && s.RaftRole == "Leader" {
			return n
		}
	}
	return nil
}

// strike carries out a fault on the group.
func (g *group) strike(ctx context.Context, s Step) error {
	switch s.Fault.Kind {
	case "lapse":
		g.setMuted(s.Targets, true)
		g.run.waitUntilUndone(ctx, s)
		g.setMuted(s.Targets, false)
		return nil
	case "restore":
		var text []byte
		if _, err := g.client.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &text); err != nil {
			return nil // the load is over
		}
		g.run.waitUntilUndone(ctx, s)
		e := history.Event{Kind: history.RegisterOperation, Relay: "operator", Text: "restore", DueAt: g.run.recorder.Now(), Status: 1}
		if _, err := g.client.Do(ctx, http.MethodPut, registry.SnapshotPath, text, nil); err != nil {
			e.Status = 0
		}
		g.run.recorder.Record(e)
		return nil
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all error
	for _, n := range g.targets(s) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.busy.Lock()
			defer n.busy.Unlock()
			switch s.Fault.Kind {
			case "node-kill":
				n.signal(syscall.SIGKILL)
				g.run.waitUntilUndone(ctx, s)
				if err := n.start(); err != nil {
					mu.Lock()
					all = errors.Join(all, err)
					mu.Unlock()
				}
			case "node-pause":
				n.signal(syscall.SIGSTOP)
				g.run.waitUntilUndone(ctx, s)
				n.signal(syscall.SIGCONT)
			case "node-cut":
				n.setCut(true)
				g.run.waitUntilUndone(ctx, s)
				n.setCut(false)
			}
		}()
	}
	wg.Wait()
	return all
}

func (g *group) setMuted(ends []int, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range ends {
		g.muted[g.run.endpoints[i].ID] = on
	}
}

// register has an endpoint on the list.
func (g *group) register(ctx context.Context, e *model.Endpoint) error {
	_, err := g.client.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: e.ID, Address: e.Addr(), Zone: e.Zone,
		Flavor: e.Upstream.Kind, Cell: e.Upstream.Destination, TTLMS: g.ttl().Milliseconds(), Holder: e.ID}, nil)
	return err
}

func (g *group) ttl() time.Duration { return scenario.Seconds(g.run.scenario.Registry.TTL) }

// changeEndpoint puts a member into another phase, as an operator does.
func (g *group) changeEndpoint(ctx context.Context, e *model.Endpoint, phase string) {
	g.mu.Lock()
	g.withdrawn[e.ID] = phase == model.Removed
	g.mu.Unlock()
	var err error
	switch phase {
	case model.Removed:
		_, err = g.client.Do(ctx, http.MethodDelete, registry.MembersPath+"/"+e.ID, nil, nil)
	case model.Up:
		err = g.register(ctx, e)
	default:
		_, err = g.client.Do(ctx, http.MethodPost, registry.MembersPath+"/"+e.ID+"/phase", map[string]string{"phase": phase}, nil)
	}
	if err == nil {
		g.run.recorder.Record(history.Event{Kind: history.EndpointChanged, Endpoint: e.ID, Phase: phase})
	}
}

// serve keeps the endpoints registered, the watchers watching and the register
// used, until ctx ends.
func (g *group) serve(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() { defer wg.Done(); g.sendHeartbeats(ctx) }()
	for i := range g.nodes { // a watcher that begins at each node
		wg.Add(1)
		go func() { defer wg.Done(); g.watch(ctx, i) }()
	}
	for i := range 3 {
		wg.Add(1)
		go func() { defer wg.Done(); g.useRegister(ctx, i) }()
	}
}

// sendHeartbeats sends the endpoints' heartbeats, and registers those anew that the group
// does not know.
func (g *group) sendHeartbeats(ctx context.Context) {
	byID := map[string]*model.Endpoint{}
	for _, e := range g.run.endpoints {
		byID[e.ID] = e
	}
	for model.Sleep(ctx, g.ttl()/3) {
		var beats []registry.Heartbeat
		g.mu.Lock()
		for id := range byID {
			if !g.muted[id] && !g.withdrawn[id] {
				beats = append(beats, registry.Heartbeat{ID: id, Holder: id})
			}
		}
		g.mu.Unlock()
		var a struct{ Unknown []string }
		short, cancel := context.WithTimeout(ctx, g.ttl())
		if _, err := g.client.Do(short, http.MethodPost, registry.HeartbeatsPath, beats, &a); err == nil {
			for _, id := range a.Unknown {
				g.mu.Lock()
				off := g.muted[id] || g.withdrawn[id]
				g.mu.Unlock()
				if !off {
					g.register(short, byID[id]) // asked again with the next heartbeat
				}
			}
		}
		cancel()
	}
}

// watch follows the list as an agent does, beginning at one node, and records
// what it hears.
func (g *group) watch(ctx context.Context, i int) {
	var nodes []string
	for k := range g.nodes {
		nodes = append(nodes, g.nodes[(i+k)%len(g.nodes)].proxy.Addr())
	}
	c, err := client.New(nodes, len(g.nodes), slog.New(slog.DiscardHandler))
	if err != nil {
		g.run.fail(err)
		return
	}
	defer c.Close()
	c.Follow(ctx, client.Position{}, func(n client.Update) {
		h := fnv.New64a()
		for _, m := range n.Members {
			fmt.Fprintln(h, m.ID, m.HostPort, m.Phase, m.Cell)
		}
		phase := "change"
		if n.Complete {
			phase = "whole"
		}
		g.run.recorder.Record(history.Event{Kind: history.ListUpdate, Relay: fmt.Sprint("watcher-", i+1), Text: n.Epoch, DueAt: n.Revision, Phase: phase,
			FirstMessage: strconv.FormatUint(h.Sum64(), 16)})
	}, func(bool) {})
}

// useRegister writes and reads a register in the group, one operation after the other.
func (g *group) useRegister(ctx context.Context, i int) {
	d := newRandom(g.run.seed, fmt.Sprint("probe ", i))
	addr := net.JoinHostPort(g.run.ip, strconv.Itoa(lockPort))
	for model.Sleep(ctx, registerInterval) {
		e := history.Event{Kind: history.RegisterOperation, Relay: fmt.Sprint("probe-", i+1), DueAt: g.run.recorder.Now()}
		short, cancel := context.WithTimeout(ctx, registerTimeout)
		var err error
		if d.IntN(2) == 0 {
			e.Text, e.ValidFor = "write", g.lastValue.Add(1)
			_, err = g.client.Do(short, http.MethodPost, registry.MembersPath, registry.Registration{ID: registerID, Address: addr, Zone: "lab", Flavor: "probe", Cell: int(e.ValidFor % 60000)}, nil)
			e.ValidFor %= 60000
		} else {
			e.Text = "read"
			var all []registry.Member
			_, err = g.client.Do(short, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &all)
			for _, m := range all {
				if m.ID == registerID {
					e.ValidFor = int64(m.Cell)
				}
			}
		}
		cancel()
		if e.Status = 1; err != nil {
			e.Status = 0 // it may or may not have been taken
		}
		g.run.recorder.Record(e)
	}
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

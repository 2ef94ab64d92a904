package faultlab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
)

// node is one node of the list service with its current process, which a fault may
// replace.
type node struct {
	group  *group
	number int
	name   string
	dir    string
	http   string       // address of its HTTP listener
	raft   string       // address of its Raft listener
	proxy  *link.Link   // link to its HTTP listener, for all clients and agents
	peers  []*link.Link // links to the other nodes' Raft listeners, by number; nil at its own
	log    *os.File

	faultMu sync.Mutex // held while a fault affects its process

	mu      sync.Mutex
	process *process.Process
}

// newNode makes a node with its directory, log and proxy; it starts no process.
func (g *group) newNode(number int) (*node, error) {
	r := g.run
	n := &node{group: g, number: number, name: fmt.Sprint("r", number+1), http: r.address(), raft: r.address()}
	var err error
	if n.proxy, err = r.world.Net.Listen("all", n.name, r.address(), n.http, r.seed, nil); err != nil {
		return nil, err
	}
	if n.dir, err = filepath.Abs(filepath.Join(r.opts.Out, n.name)); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if err := errors.Join(os.RemoveAll(n.dir), os.MkdirAll(n.dir, 0o700)); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if n.log, err = os.Create(r.logPath(n.name)); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return n, nil
}

// linkPeers makes the links to the other nodes.
func (n *node) linkPeers() error {
	r := n.group.run
	for _, peer := range n.group.nodes {
		var l *link.Link
		if peer != n {
			var err error
			if l, err = r.world.Net.Listen(n.name, peer.name, r.address(), peer.raft, r.seed, nil); err != nil {
				return err
			}
		}
		n.peers = append(n.peers, l)
	}
	return nil
}

// config returns the text of the node's configuration file.
func (n *node) config() string {
	var text strings.Builder
	fmt.Fprintf(&text, "id = %q\ndata = %q\nlisten = %q\nraft = %q\n", n.name, filepath.Join(n.dir, "data"), n.http, n.raft)
	for i, peer := range n.group.nodes {
		raft := n.raft
		if peer != n {
			raft = n.peers[i].Addr()
		}
		fmt.Fprintf(&text, "[[peers]]\nid = %q\nraft = %q\nhttp = %q\n", peer.name, raft, peer.proxy.Addr())
	}
	return text.String()
}

// start starts a new process of the node.
func (n *node) start() error {
	r := n.group.run
	path := filepath.Join(n.dir, "registry.toml")
	if err := os.WriteFile(path, []byte(n.config()), 0o600); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	drillClock := scenario.RoundRobin(r.scenario.Registry.NodeClocks, n.number)
	p, err := process.Start(n.name, r.opts.Registry, []string{"serve", "--config", path, "--drill-clock", drillClock}, nil, n.log)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	r.watchServiceProcess(n.name, p)
	return nil
}

// watchServiceProcess records the start and the end of a process of a node or a controller.
func (r *run) watchServiceProcess(name string, p *process.Process) {
	r.recorder.Record(history.Event{Kind: history.ProcessStarted, Relay: name, PID: p.PID, Text: history.NodeProcess})
	r.start(func() {
		<-p.Done()
		r.recordExit(name, p)
	})
}

func (n *node) currentProcess() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to the current process; after SIGKILL it waits until the
// process has ended.
func (n *node) signal(s syscall.Signal) {
	n.group.run.signalServiceProcess(n.name, n.currentProcess(), s)
}

// signalServiceProcess records a signal to a process of a node or a controller and sends it;
// after SIGKILL it waits until the process has ended.
func (r *run) signalServiceProcess(name string, p *process.Process, s syscall.Signal) {
	if s == syscall.SIGKILL {
		r.recorder.Record(history.Event{Kind: history.ProcessSignaled, Relay: name, PID: p.PID, Text: s.String()})
		p.Kill()
		return
	}
	r.signal(name, p, s)
}

// setCut cuts the node off from all other nodes, agents and clients, or reconnects it.
// The controllers' own links to it are not affected.
func (n *node) setCut(cut bool) {
	faults := link.Faults{Cut: cut}
	n.proxy.SetBoth(faults)
	for i, peer := range n.group.nodes {
		if peer != n {
			n.peers[i].SetBoth(faults)
			peer.peers[n.number].SetBoth(faults)
		}
	}
}

func (n *node) closeLinks() {
	n.proxy.Close()
	for _, l := range n.peers {
		if l != nil {
			l.Close()
		}
	}
	n.log.Close()
}

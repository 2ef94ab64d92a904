package faultlab

import (
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

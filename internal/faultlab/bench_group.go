package faultlab

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"plovershore/internal/faultlab/process"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	benchNodes   = 3
	portsPerNode = 2 // one for HTTP, one for Raft
)

// benchGroup is a group of the list service's processes, which connect without links of
// the lab.
type benchGroup struct {
	ip        string
	dir       string
	program   string
	port      int // HTTP port of the last node, or the port of a link that was made later
	processes []*process.Process
	configs   []string // paths of the configuration files, by node
	http      []string // HTTP addresses, by node
	logs      *os.File
}

// start starts a new group of size nodes, whose configuration lists the given number of
// members.
func (b *benchGroup) start(size, members int) error {
	b.processes, b.configs, b.http = make([]*process.Process, size), nil, nil
	var peers strings.Builder
	var raft []string
	for i := range size {
		b.port += portsPerNode
		b.http = append(b.http, fmt.Sprintf("%s:%d", b.ip, b.port))
		raft = append(raft, fmt.Sprintf("%s:%d", b.ip, b.port+1))
		fmt.Fprintf(&peers, "[[peers]]\nid = \"r%d\"\nraft = %q\nhttp = %q\n", i, raft[i], b.http[i])
	}
	common := peers.String() + benchMembers(members)
	for i := range size {
		data := filepath.Join(b.dir, fmt.Sprintf("data-%d-%d", b.port, i))
		path := data + ".toml"
		text := fmt.Sprintf("id = \"r%d\"\ndata = %q\nlisten = %q\nraft = %q\n%s", i, data, b.http[i], raft[i], common)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		b.configs = append(b.configs, path)
		if err := b.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// benchMembers returns the [[members]] tables of a node's configuration.
func benchMembers(count int) string {
	const perNetwork = 250
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "[[members]]\nid = \"s-%d\"\naddress = \"10.0.%d.%d:6379\"\nzone = \"a\"\nflavor = \"agent\"\ncell = %d\n",
			i, i/perNetwork, i%perNetwork+1, i)
	}
	return text.String()
}

// startNode starts one node, or starts it again.
func (b *benchGroup) startNode(i int) error {
	p, err := process.Start(fmt.Sprint("r", i), b.program, []string{"serve", "--config", b.configs[i]}, nil, b.logs)
	if err != nil {
		return err
	}
	b.processes[i] = p
	return nil
}

// startNodes starts all nodes again.
func (b *benchGroup) startNodes() error {
	for i := range b.processes {
		if err := b.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all nodes.
func (b *benchGroup) stop() {
	for _, p := range b.processes {
		if p != nil {
			p.Kill()
		}
	}
}

// rss returns the resident memory of all nodes in bytes.
func (b *benchGroup) rss() (bytes float64) {
	for _, p := range b.processes {
		if usage, err := p.Measure(""); err == nil {
			bytes += float64(usage.RSS)
		}
	}
	return bytes
}

// client returns a new client of the group; the caller closes it.
func (b *benchGroup) client() (*client.Client, error) {
	return client.New(b.http, 1, slog.New(slog.DiscardHandler))
}

// startReady starts a group and returns a client of it once the group has accepted a
// write. The caller stops the group and closes the client.
func (b *benchGroup) startReady(ctx context.Context, size, members int) (*client.Client, error) {
	if err := b.start(size, members); err != nil {
		return nil, err
	}
	c, err := b.client()
	if err == nil {
		firstWriteCtx, cancel := context.WithTimeout(ctx, groupTimeout)
		defer cancel()
		if err = benchWrite(firstWriteCtx, c, "z", 0); err != nil {
			c.Close()
		}
	}
	if err != nil {
		b.stop()
		return nil, fmt.Errorf("bench: %w", err)
	}
	return c, nil
}

// benchWrite writes one member, whose zone is zone followed by number.
func benchWrite(ctx context.Context, c *client.Client, zone string, number int) error {
	_, err := c.Do(ctx, http.MethodPost, registry.MembersPath,
		registry.Registration{ID: "bench", Address: "10.9.9.9:1", Zone: fmt.Sprint(zone, number), Flavor: "bench"}, nil)
	return err
}

// highestTerm returns the highest Raft term that a node reports, and whether any node
// leads.
func (b *benchGroup) highestTerm() (term uint64, hasLeader bool) {
	for _, addr := range b.http {
		if status, err := nodeStatus(addr); err == nil {
			term, hasLeader = max(term, status.Term), hasLeader || status.RaftRole == leaderRole
		}
	}
	return term, hasLeader
}

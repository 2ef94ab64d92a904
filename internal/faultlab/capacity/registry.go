package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/process"
	"plovershore/internal/loopback"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	groupTimeout = 60 * time.Second
	memberHolder = "bench" // registered as the holder of every member
)

// group is a running list service whose nodes are processes on this machine.
type group struct {
	program     string
	nodes       []string // HTTP addresses of the nodes
	configFiles []string
	procs       []*process.Process
	log         *os.File
	client      *client.Client
}

// startGroup starts a list service and registers members. A smoke run starts one node,
// whatever nodes says.
func (e *environment) startGroup(ctx context.Context, nodes, members int) (_ *group, err error) {
	nodes = scaled(e, 1, nodes)
	g := &group{program: e.Registry}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	if g.log, err = os.Create(filepath.Join(e.dir, "nodes.log")); err != nil {
		return g, fmt.Errorf("group: %w", err)
	}
	if err := g.writeConfigs(e.dir, nodes); err != nil {
		return g, err
	}
	for i, file := range g.configFiles {
		p, err := process.Start(fmt.Sprint("node ", i), g.program, []string{"serve", "--config", file}, nil, g.log)
		if err != nil {
			return g, err
		}
		g.procs = append(g.procs, p)
	}
	if g.client, err = client.New(g.nodes, 1, slog.New(slog.DiscardHandler)); err != nil {
		return g, err
	}
	return g, g.restoreMembers(ctx, members)
}

// writeConfigs chooses the addresses of the nodes and writes their configuration files.
func (g *group) writeConfigs(dir string, nodes int) error {
	var peers strings.Builder
	var raft []string
	for i := range nodes {
		g.nodes, raft = append(g.nodes, loopback.Free()), append(raft, loopback.Free())
		fmt.Fprintf(&peers, "[[peers]]\nid = \"r%d\"\nraft = %q\nhttp = %q\n", i, raft[i], g.nodes[i])
	}
	for i := range nodes {
		data := filepath.Join(dir, fmt.Sprint("node-", i))
		text := fmt.Sprintf("id = \"r%d\"\ndata = %q\nlisten = %q\nraft = %q\n%s", i, data, g.nodes[i], raft[i], peers.String())
		if err := os.WriteFile(data+".toml", []byte(text), 0o600); err != nil {
			return fmt.Errorf("group: %w", err)
		}
		g.configFiles = append(g.configFiles, data+".toml")
	}
	return nil
}

// restoreMembers restores a backup that contains the members, and waits until every node has
// them.
func (g *group) restoreMembers(ctx context.Context, members int) error {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	s := registry.NewState()
	s.Epoch, s.Revision = "bench", int64(members)
	for i := range members {
		m := newMember(i, shortID)
		s.Members[m.ID] = registry.Member{Member: m, TTL: 24 * time.Hour, Holder: memberHolder, Since: int64(i + 1), Changed: int64(i + 1)}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("group: %w", err)
	}
	if _, err := g.client.Do(ctx, http.MethodPut, registry.SnapshotPath, text, nil); err != nil {
		return fmt.Errorf("group: backup: %w", err)
	}
	for _, node := range g.nodes {
		for {
			status, err := nodeStatus(ctx, node)
			if err == nil && status.Members == members && !status.Stale {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("group: %s holds %d members of %d", node, status.Members, members)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

func nodeStatus(ctx context.Context, node string) (s registry.Status, err error) {
	text, err := httpGet(ctx, "http://"+node+registry.StatusPath)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

func httpGet(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("get: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get: %s: %s", url, resp.Status)
	}
	return b.Bytes(), nil
}

// leaderIndex returns the index of the leading node in g.nodes.
func (g *group) leaderIndex(ctx context.Context) (int, error) {
	for i, node := range g.nodes {
		if s, err := nodeStatus(ctx, node); err == nil && s.RaftRole == "Leader" {
			return i, nil
		}
	}
	return 0, errors.New("group: no leader")
}

func (g *group) close() {
	if g.client != nil {
		g.client.Close()
	}
	for _, p := range g.procs {
		p.Kill()
	}
	if g.log != nil {
		g.log.Close()
	}
}

// usage returns the sum of what the group's processes use.
func (g *group) usage() (sum usage, err error) {
	for _, p := range g.procs {
		u, err := readUsage(p)
		if err != nil {
			return sum, err
		}
		sum.cpu, sum.rssBytes, sum.writtenBytes = sum.cpu+u.cpu, sum.rssBytes+u.rssBytes, sum.writtenBytes+u.writtenBytes
	}
	return sum, nil
}

// measureIdleCPU returns the processor time of the group's processes over a span without
// requests, in percent of a core.
func (g *group) measureIdleCPU(ctx context.Context, span time.Duration) (float64, error) {
	before, err := g.usage()
	if err != nil {
		return 0, err
	}
	select {
	case <-time.After(span):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	after, err := g.usage()
	return (after.cpu - before.cpu).Seconds() / span.Seconds() * 100, err
}

// runClients has clients call request in a loop, at the same time, until span has passed
// or a request fails. It returns the number of requests that succeeded.
func (g *group) runClients(ctx context.Context, clients int, span time.Duration, request func(ctx context.Context, c *client.Client, caller, n int) error) (float64, error) {
	var answered atomic.Int64
	end := time.Now().Add(span)
	clientGroup, ctx := errgroup.WithContext(ctx)
	for caller := range clients {
		clientGroup.Go(func() error {
			c, err := client.New(g.nodes, 1, slog.New(slog.DiscardHandler))
			if err != nil {
				return err
			}
			defer c.Close()
			for n := 0; time.Now().Before(end); n++ {
				if err := request(ctx, c, caller, n); err != nil {
					return err
				}
				answered.Add(1)
			}
			return nil
		})
	}
	err := clientGroup.Wait()
	return float64(answered.Load()), err
}

// changeMember registers the member with the given index anew in a zone made from
// zoneNumber, which changes the list.
func changeMember(ctx context.Context, c *client.Client, index, zoneNumber int) (registry.Result, error) {
	m := newMember(index, shortID)
	var result registry.Result
	_, err := c.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: m.ID, Address: m.HostPort, Zone: fmt.Sprint("moved-", zoneNumber),
		Flavor: m.Flavor, Cell: m.Cell, TTLMS: (24 * time.Hour).Milliseconds(), Holder: memberHolder}, &result)
	return result, err
}

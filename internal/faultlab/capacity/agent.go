package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/loopback"
	"plovershore/internal/registry/agent"
)

func agentJobs() []job {
	const list = "members"
	quantity := func(role, name, unit, sizeUnit string, target, budget float64) Quantity {
		return Quantity{Role: role, Name: name, Unit: unit, SizeUnit: sizeUnit, Target: target, Budget: budget}
	}
	return []job{
		{name: "agent", sizes: memberSizes, smoke: smokeSizes, run: measureAgentChanges, quantities: []Quantity{
			quantity("agent", "processor for a change", "ms", list, targetMembers, 0), quantity("agent", "handed to files and sockets for a change", "KB", list, targetMembers, 0),
			quantity("agent", "from a change's answer until the agent has it", "ms", list, targetMembers, 16_000), quantity("agent", "memory, after the changes", "MB", list, targetMembers, budgetMemory),
			quantity("agent", "memory, most so far", "MB", list, targetMembers, budgetMemory),
			quantity("agent", "from its first start until it has the list", "ms", list, targetMembers, 0),
			quantity("agent", "bytes that it sends for a whole list", "KB", list, targetMembers, 0)}},
		{name: "notices", sizes: []int{100, 300, 1000, 3000, 10_000}, smoke: []int{10, 100}, run: measureNotices, quantities: []Quantity{
			quantity("agent", "taking notices, one a call, 16 callers", "ms", "notices", 10_000, 0), quantity("agent", "processor for them", "ms", "notices", 10_000, 0),
			quantity("list service", "processor for them, one node", "ms", "notices", 10_000, 0)}},
	}
}

// agentProcess is an agent that runs as a process of its own.
type agentProcess struct {
	*process.Process
	listen string
	log    *os.File
}

func (e *environment) startAgent(g *group) (*agentProcess, error) {
	a := &agentProcess{listen: loopback.Free()}
	var err error
	if a.log, err = os.Create(filepath.Join(e.dir, "agent.log")); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.Process, err = process.Start("agent", e.Registry, []string{"agent", "--listen", a.listen, "--folder", filepath.Join(e.dir, "agent"),
		"--nodes", strings.Join(g.nodes, ","), "--fleet", fmt.Sprint(targetRelays)}, nil, a.log)
	if err != nil {
		a.log.Close()
		return nil, err
	}
	return a, nil
}

func (a *agentProcess) close() {
	a.Kill()
	a.log.Close()
}

func (a *agentProcess) status(ctx context.Context) (s agent.Status, err error) {
	text, err := httpGet(ctx, "http://"+a.listen+"/v1/status")
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

// awaitRevision waits until the agent has reached a revision of the group's list.
func (a *agentProcess) awaitRevision(ctx context.Context, revision int64) error {
	_, err := awaitCondition(ctx, a.Process, "agent follows", time.Now(), func() bool {
		s, err := a.status(ctx)
		return err == nil && s.At.Revision >= revision
	})
	return err
}

// measureAgentChanges measures what an agent with a list of the given size uses for one
// change of a member.
func measureAgentChanges(ctx context.Context, e *environment, size int) ([]float64, error) {
	g, err := e.startGroup(ctx, 1, size)
	if err != nil {
		return nil, err
	}
	defer g.close()
	began := time.Now()
	a, err := e.startAgent(g)
	if err != nil {
		return nil, err
	}
	defer a.close()
	if err := a.awaitRevision(ctx, int64(size)); err != nil {
		return nil, err
	}
	startTime := time.Since(began)
	before, err := readUsage(a.Process)
	if err != nil {
		return nil, err
	}
	changes := scaled(e, 3, 20)
	var lag time.Duration
	for n := range changes {
		result, err := changeMember(ctx, g.client, n%size, n)
		if err != nil {
			return nil, err
		}
		answered := time.Now()
		if err := a.awaitRevision(ctx, result.Revision); err != nil {
			return nil, err
		}
		lag += time.Since(answered)
	}
	after, err := readUsage(a.Process)
	if err != nil {
		return nil, err
	}
	peak, err := peakRSS(a.PID)
	if err != nil {
		return nil, err
	}
	text, err := httpGet(ctx, "http://"+a.listen+discovery.ListPath)
	changeCount := float64(changes)
	return []float64{(after.cpu - before.cpu).Seconds() * 1e3 / changeCount, (after.writtenBytes - before.writtenBytes) / 1e3 / changeCount, lag.Seconds() * 1e3 / changeCount,
		after.rssBytes / 1e6, peak / 1e6, startTime.Seconds() * 1e3, float64(len(text)) / 1e3}, err
}

// measureNotices measures an agent that accepts notices and passes them on to a list
// service of one node.
func measureNotices(ctx context.Context, e *environment, size int) ([]float64, error) {
	g, err := e.startGroup(ctx, 1, 310)
	if err != nil {
		return nil, err
	}
	defer g.close()
	a, err := e.startAgent(g)
	if err != nil {
		return nil, err
	}
	defer a.close()
	if err := a.awaitRevision(ctx, 310); err != nil {
		return nil, err
	}
	before, err := readUsage(a.Process)
	nodeBefore, nodeErr := g.usage()
	if err != nil || nodeErr != nil {
		return nil, fmt.Errorf("notices: %w, %w", err, nodeErr)
	}
	began := time.Now()
	if err := sendNotices(ctx, a.listen, size); err != nil {
		return nil, err
	}
	took := time.Since(began)
	if _, err := awaitCondition(ctx, a.Process, "notices passed on", time.Now(), func() bool {
		s, err := a.status(ctx)
		return err == nil && s.Spooled == 0
	}); err != nil {
		return nil, err
	}
	after, err := readUsage(a.Process)
	if err != nil {
		return nil, err
	}
	node, err := g.usage()
	return []float64{took.Seconds() * 1e3, (after.cpu - before.cpu).Seconds() * 1e3, (node.cpu - nodeBefore.cpu).Seconds() * 1e3}, err
}

// sendNotices sends notices to an agent by several clients at the same time, one notice in
// each request.
func sendNotices(ctx context.Context, addr string, size int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallelClients, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	var next atomic.Int64
	for range parallelClients {
		group.Go(func() error {
			for i := int(next.Add(1)); i <= size; i = int(next.Add(1)) {
				text, err := json.Marshal(discovery.Notice{Message: messageID(i), Outcome: discovery.Failed})
				if err != nil {
					return fmt.Errorf("notice: %w", err)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+discovery.NoticePath, strings.NewReader(string(text)+"\n"))
				if err != nil {
					return fmt.Errorf("notice: %w", err)
				}
				resp, err := client.Do(req)
				if err != nil {
					return fmt.Errorf("notice: %w", err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusNoContent {
					return fmt.Errorf("notice: %s", resp.Status)
				}
			}
			return nil
		})
	}
	return group.Wait()
}

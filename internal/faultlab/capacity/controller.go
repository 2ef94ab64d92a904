package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"plovershore/internal/faultlab/process"
	"plovershore/internal/registry"
)

const targetControllers = 4 // one on each control machine

func controllerJobs() []job {
	const unit = "wardens"
	return []job{{name: "warden", sizes: []int{1, 3, 10, 30, 100}, smoke: []int{1, 4}, run: controllersIdle, quantities: []Quantity{
		{Role: "warden", Name: "idle, all of them", Unit: "% of a core", SizeUnit: unit, Target: targetControllers},
		{Role: "warden", Name: "memory, all of them", Unit: "MB", SizeUnit: unit, Target: targetControllers},
		{Role: "list service", Name: "three nodes for them", Unit: "% of a core", SizeUnit: unit, Target: targetControllers}}}}
}

// controllersIdle runs so many controllers that lead the usual roles and have nothing
// to do.
func controllersIdle(ctx context.Context, e *environment, size int) ([]float64, error) {
	g, err := e.startGroup(ctx, groupNodes, 310)
	if err != nil {
		return nil, err
	}
	defer g.close()
	log, err := os.Create(filepath.Join(e.dir, "wardens.log"))
	if err != nil {
		return nil, fmt.Errorf("wardens: %w", err)
	}
	defer log.Close()
	all := &group{}
	defer all.close()
	for i := range size {
		p, err := process.Start(fmt.Sprint("warden ", i), e.Controller, []string{"--nodes", strings.Join(g.nodes, ","), "--name", fmt.Sprint("w-", i)}, nil, log)
		if err != nil {
			return nil, err
		}
		all.procs = append(all.procs, p)
	}
	if err := g.sessions(ctx, size); err != nil {
		return nil, err
	}
	span := scaled(e, 300*time.Millisecond, 5*time.Second)
	before, err := all.usage()
	if err != nil {
		return nil, err
	}
	nodes, err := g.idle(ctx, span)
	if err != nil {
		return nil, err
	}
	after, err := all.usage()
	return []float64{(after.cpu - before.cpu).Seconds() / span.Seconds() * 100, after.rss / 1e6, nodes}, err
}

// sessions waits until so many controllers have a session.
func (g *group) sessions(ctx context.Context, size int) error {
	for limit := time.Now().Add(groupWait); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		text, err := get(ctx, "http://"+g.nodes[0]+registry.RolesPath)
		var l registry.RoleList
		if err == nil && json.Unmarshal(text, &l) == nil && len(l.Sessions) >= size {
			return nil
		}
	}
	return fmt.Errorf("wardens: not all of %d have a session", size)
}

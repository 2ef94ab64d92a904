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

const targetControllers = 4 // one controller on each control machine

func controllerJobs() []job {
	const unit = "wardens"
	return []job{{name: "warden", sizes: []int{1, 3, 10, 30, 100}, smoke: []int{1, 4}, run: measureIdleControllers, quantities: []Quantity{
		{Role: "warden", Name: "idle, all of them", Unit: "% of a core", SizeUnit: unit, Target: targetControllers},
		{Role: "warden", Name: "memory, all of them", Unit: "MB", SizeUnit: unit, Target: targetControllers},
		{Role: "list service", Name: "three nodes for them", Unit: "% of a core", SizeUnit: unit, Target: targetControllers}}}}
}

// measureIdleControllers measures controllers that compete for the usual roles and have no
// work, together with the list service's nodes that they use.
func measureIdleControllers(ctx context.Context, e *environment, size int) ([]float64, error) {
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
	controllers := &group{}
	defer controllers.close()
	for i := range size {
		p, err := process.Start(fmt.Sprint("warden ", i), e.Controller, []string{"--nodes", strings.Join(g.nodes, ","), "--name", fmt.Sprint("w-", i)}, nil, log)
		if err != nil {
			return nil, err
		}
		controllers.procs = append(controllers.procs, p)
	}
	if err := g.awaitSessions(ctx, size); err != nil {
		return nil, err
	}
	span := scaled(e, 300*time.Millisecond, 5*time.Second)
	before, err := controllers.usage()
	if err != nil {
		return nil, err
	}
	nodeLoad, err := g.measureIdleCPU(ctx, span)
	if err != nil {
		return nil, err
	}
	after, err := controllers.usage()
	return []float64{(after.cpu - before.cpu).Seconds() / span.Seconds() * 100, after.rssBytes / 1e6, nodeLoad}, err
}

// awaitSessions waits until at least size controllers have a session with the list
// service.
func (g *group) awaitSessions(ctx context.Context, size int) error {
	for limit := time.Now().Add(groupTimeout); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		text, err := httpGet(ctx, "http://"+g.nodes[0]+registry.RolesPath)
		var l registry.RoleList
		if err == nil && json.Unmarshal(text, &l) == nil && len(l.Sessions) >= size {
			return nil
		}
	}
	return fmt.Errorf("wardens: not all of %d have a session", size)
}

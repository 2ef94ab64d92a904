package faultlab

import (
	"cmp"
	"context"
	"net/http"
	"syscall"

	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
)

// injectControllerFaults injects a step's fault into its controllers.
func (g *group) injectControllerFaults(ctx context.Context, step Step) error {
	targets := step.Targets
	if step.Fault.Node == scenario.NodeHolder {
		targets = g.roleLeaders(ctx, cmp.Or(step.Fault.Role, leader.Counter))
	}
	return g.run.forEach(targets, func(i int) error { return g.injectControllerFault(ctx, step, g.controllers[i]) })
}

// roleLeaders returns the number of the controller that leads a role. It returns none if
// nobody leads the role, or if the service does not answer because the load is over.
func (g *group) roleLeaders(ctx context.Context, role string) (leaders []int) {
	var list registry.RoleList
	if _, err := g.client.Do(ctx, http.MethodGet, registry.RolesPath, nil, &list); err != nil {
		return nil
	}
	for _, r := range list.Roles {
		if r.Name != role || r.Holder == "" {
			continue
		}
		for i, c := range g.controllers {
			if r.Controller == c.name {
				leaders = []int{i}
			}
		}
	}
	return leaders
}

// injectControllerFault injects a step's fault into one controller.
func (g *group) injectControllerFault(ctx context.Context, step Step, c *controller) error {
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	switch step.Fault.Kind {
	case scenario.FaultControllerKill:
		c.signal(syscall.SIGKILL)
		g.run.waitUntilUndone(ctx, step)
		return c.start()
	case scenario.FaultControllerSuspend:
		c.signal(syscall.SIGSTOP)
		g.run.waitUntilUndone(ctx, step)
		c.signal(syscall.SIGCONT)
	case scenario.FaultControllerCut:
		c.setCut(step.Fault.Direction, true)
		g.run.waitUntilUndone(ctx, step)
		c.setCut(step.Fault.Direction, false)
	}
	return nil
}

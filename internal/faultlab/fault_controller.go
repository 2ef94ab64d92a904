package faultlab

import (
	"cmp"
	"context"
	"net/http"
	"syscall"

	"plovershore/internal/leader"
	"plovershore/internal/registry"
)

// strikeControllers carries out a fault on wardens; "holder" is whoever counts now.
func (g *group) strikeControllers(ctx context.Context, s Step) error {
	targets := s.Targets
	if s.Fault.Node == "holder" {
		targets = nil
		var l registry.RoleList
		if _, err := g.client.Do(ctx, http.MethodGet, registry.RolesPath, nil, &l); err != nil {
			return nil // the load is over
		}
		for _, d := range l.Roles {
			for i, w := range g.controllers {
				if d.Name == cmp.Or(s.Fault.Role, leader.Counter) && d.Holder != "" && d.Controller == w.name {
					targets = []int{i}
				}
			}
		}
	}
	return g.run.forEach(targets, func(i int) error {
		w := g.controllers[i]
		w.busy.Lock()
		defer w.busy.Unlock()
		if ctx.Err() != nil {
			return nil
		}
		switch s.Fault.Kind {
		case "warden-kill":
			w.signal(syscall.SIGKILL)
			g.run.waitUntilUndone(ctx, s)
			return w.start()
		case "warden-pause":
			w.signal(syscall.SIGSTOP)
			g.run.waitUntilUndone(ctx, s)
			w.signal(syscall.SIGCONT)
		case "warden-cut":
			w.setCut(s.Fault.Direction, true)
			g.run.waitUntilUndone(ctx, s)
			w.setCut(s.Fault.Direction, false)
		}
		return nil
	})
}

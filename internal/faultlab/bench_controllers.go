package faultlab

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	benchControllers = 5
	benchRole        = leader.RegistrationExpiry
	healthyMargin    = 200 * time.Millisecond // beyond the time to live, until a new leader counts as healthy
)

// benchControllerSet is a set of controller processes that compete for benchRole.
type benchControllerSet struct {
	group     *benchGroup
	program   string
	ttl       time.Duration
	client    *client.Client
	processes map[string]*process.Process
	links     map[string][]*link.Link // to each node, by controller; empty if no controller is to be cut off
}

// start starts one controller.
func (s *benchControllerSet) start(name string) error {
	nodes := slices.Clone(s.group.http)
	for i, l := range s.links[name] {
		nodes[i] = l.Addr()
	}
	args := []string{"--nodes", strings.Join(nodes, ","), "--name", name, "--ttl", s.ttl.String()}
	p, err := process.Start(name, s.program, args, nil, s.group.logs)
	if err != nil {
		return err
	}
	s.processes[name] = p
	return nil
}

// close ends all controllers and their links.
func (s *benchControllerSet) close() {
	for _, p := range s.processes {
		p.Kill()
	}
	for _, links := range s.links {
		for _, l := range links {
			l.Close()
		}
	}
}

func controllerName(number int) string { return fmt.Sprint("w-", number) }

// addLinks puts links between a controller and the nodes.
func (s *benchControllerSet) addLinks(net *link.Net, name string) error {
	for _, node := range s.group.http {
		s.group.port += portsPerNode
		l, err := net.Listen(name, node, fmt.Sprintf("%s:%d", s.group.ip, s.group.port), node, 1, nil)
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		s.links[name] = append(s.links[name], l)
	}
	return nil
}

// setCut cuts a controller off from all nodes, or reconnects it.
func (s *benchControllerSet) setCut(name string, cut bool) {
	for _, l := range s.links[name] {
		l.SetBoth(link.Faults{Cut: cut})
	}
}

// awaitGrant waits for a grant of benchRole whose token is greater than after, with at
// least the given number of sessions open.
func (s *benchControllerSet) awaitGrant(ctx context.Context, after int64, sessions int) (registry.Role, error) {
	revision := int64(0)
	for ctx.Err() == nil {
		var list registry.RoleList
		path := fmt.Sprintf("%s?after=%d&wait_ms=1000", registry.RolesPath, revision)
		if _, err := s.client.Do(ctx, http.MethodGet, path, nil, &list); err != nil {
			return registry.Role{}, fmt.Errorf("bench: %w", err)
		}
		revision = list.Revision
		for _, role := range list.Roles {
			if role.Name == benchRole && role.Holder != "" && role.Token > after && len(list.Sessions) >= sessions {
				return role, nil
			}
		}
	}
	return registry.Role{}, ctx.Err()
}

// measureCuts cuts the leader off count times, and returns how long it took each time
// until another controller led, in milliseconds.
func (s *benchControllerSet) measureCuts(ctx context.Context, count int) (durations []float64, err error) {
	defer s.close()
	s.links = map[string][]*link.Link{}
	net := link.NewNet()
	for i := range benchControllers {
		if err := s.addLinks(net, controllerName(i)); err != nil {
			return nil, err
		}
		if err := s.start(controllerName(i)); err != nil {
			return nil, err
		}
	}
	token := int64(0)
	for range count {
		grant, err := s.awaitGrant(ctx, token, benchControllers)
		if err != nil {
			return durations, err
		}
		model.Sleep(ctx, s.ttl+healthyMargin)
		cutAt := time.Now()
		s.setCut(grant.Controller, true)
		if _, err = s.awaitGrant(ctx, grant.Token, 0); err != nil {
			return durations, err
		}
		durations = append(durations, toMillis(time.Since(cutAt)))
		token = grant.Token
		s.setCut(grant.Controller, false)
	}
	return durations, nil
}

// measureKills ends the leader by a signal count times, and returns how long it took
// each time until another controller led, in milliseconds.
func (s *benchControllerSet) measureKills(ctx context.Context, count int, signal syscall.Signal) (durations []float64, err error) {
	defer s.close()
	for i := range benchControllers {
		if err := s.start(controllerName(i)); err != nil {
			return nil, err
		}
	}
	token := int64(0)
	for n := range count {
		grant, err := s.awaitGrant(ctx, token, benchControllers)
		if err != nil {
			return durations, err
		}
		if signal == syscall.SIGKILL {
			model.Sleep(ctx, s.ttl+healthyMargin)
		}
		signaledAt := time.Now()
		if err := s.processes[grant.Controller].Signal(signal); err != nil {
			return durations, err
		}
		if _, err := s.awaitGrant(ctx, grant.Token, 0); err != nil {
			return durations, err
		}
		durations = append(durations, toMillis(time.Since(signaledAt)))
		token = grant.Token
		if err := s.replace(grant.Controller, n); err != nil {
			return durations, err
		}
	}
	return durations, nil
}

// replace ends a controller and starts another in its place, under a name that holds
// the generation.
func (s *benchControllerSet) replace(name string, generation int) error {
	s.processes[name].Kill()
	delete(s.processes, name)
	place, _, _ := strings.Cut(name, ".")
	return s.start(fmt.Sprintf("%s.%d", place, generation))
}

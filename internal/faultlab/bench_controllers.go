package faultlab

import (
	"context"
	"fmt"
	"net/http"
	"os"
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

const benchControllers = 5

// benchControllerSet are processes that hold list-keeper among them.
type benchControllerSet struct {
	group     *benchGroup
	program   string
	ttl       time.Duration
	logs      *os.File
	processes map[string]*process.Process
	links     map[string][]*link.Link // of each warden to each node; none where nobody is cut off
	client    *client.Client
}

// addLinks puts links between a warden and the nodes.
func (w *benchControllerSet) addLinks(net *link.Net, name string) error {
	for _, node := range w.group.http {
		w.group.port += 2 // a node has two
		l, err := net.Listen(name, node, fmt.Sprintf("%s:%d", w.group.ip, w.group.port), node, 1, nil)
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		w.links[name] = append(w.links[name], l)
	}
	return nil
}

// setCut cuts a warden off, or heals it.
func (w *benchControllerSet) setCut(name string, on bool) {
	for _, l := range w.links[name] {
		l.SetFaults(link.ToServer, link.Faults{Cut: on})
		l.SetFaults(link.ToClient, link.Faults{Cut: on})
	}
}

// measureCuts cuts the holder off again and again, and gives how long it took until the
// next one held the duty.
func (w *benchControllerSet) measureCuts(ctx context.Context, n int) (took []float64, err error) {
	w.links = map[string][]*link.Link{}
	defer func() {
		for _, p := range w.processes {
			p.Kill()
		}
		for _, all := range w.links {
			for _, l := range all {
				l.Close()
			}
		}
	}()
	net := link.NewNet()
	for i := range benchControllers {
		name := fmt.Sprint("w-", i)
		if err := w.addLinks(net, name); err != nil {
			return nil, err
		}
		if err := w.start(name); err != nil {
			return nil, err
		}
	}
	token := int64(0)
	for range n {
		d, err := w.awaitGrant(ctx, token, benchControllers)
		if err != nil {
			return took, err
		}
		model.Sleep(ctx, w.ttl+200*time.Millisecond) // as in kills
		began := time.Now()
		w.setCut(d.Controller, true)
		_, err = w.awaitGrant(ctx, d.Token, 0)
		if err != nil {
			return took, err
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		token = d.Token
		w.setCut(d.Controller, false)
	}
	return took, nil
}

func (w *benchControllerSet) start(name string) error {
	nodes := slices.Clone(w.group.http)
	for i, l := range w.links[name] {
		nodes[i] = l.Addr()
	}
	p, err := process.Start(name, w.program, []string{"--nodes", strings.Join(nodes, ","), "--name", name, "--ttl", w.ttl.String()}, nil, w.logs)
	if err != nil {
		return err
	}
	w.processes[name] = p
	return nil
}

// awaitGrant waits for a grant after a token, and for as many wardens as there are.
func (w *benchControllerSet) awaitGrant(ctx context.Context, after int64, sessions int) (registry.Role, error) {
	revision := int64(0)
	for ctx.Err() == nil {
		var l registry.RoleList
		if _, err := w.client.Do(ctx, http.MethodGet, fmt.Sprintf("%s?after=%d&wait_ms=1000", registry.RolesPath, revision), nil, &l); err != nil {
			return registry.Role{}, fmt.Errorf("bench: %w", err)
		}
		revision = l.Revision
		for _, d := range l.Roles {
			if d.Name == leader.RegistrationExpiry && d.Holder != "" && d.Token > after && len(l.Sessions) >= sessions {
				return d, nil
			}
		}
	}
	return registry.Role{}, ctx.Err()
}

// measureKills ends the holder again and again, and gives how long nobody held the duty.
func (w *benchControllerSet) measureKills(ctx context.Context, n int, s syscall.Signal) (took []float64, err error) {
	defer func() {
		for _, p := range w.processes {
			p.Kill()
		}
	}()
	for i := range benchControllers {
		if err := w.start(fmt.Sprint("w-", i)); err != nil {
			return nil, err
		}
	}
	token := int64(0)
	for k := range n {
		d, err := w.awaitGrant(ctx, token, benchControllers)
		if err != nil {
			return took, err
		}
		if s == syscall.SIGKILL { // until it counts as one that does not kill its holder
			model.Sleep(ctx, w.ttl+200*time.Millisecond)
		}
		began := time.Now()
		if err := w.processes[d.Controller].Signal(s); err != nil {
			return took, err
		}
		if _, err := w.awaitGrant(ctx, d.Token, 0); err != nil {
			return took, err
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		token = d.Token
		w.processes[d.Controller].Kill()
		if err := w.start(fmt.Sprintf("%s.%d", strings.SplitN(d.Controller, ".", 2)[0], k)); err != nil {
			return took, err
		}
		delete(w.processes, d.Controller)
	}
	return took, nil
}

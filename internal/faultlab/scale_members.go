package faultlab

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	heartbeatBatch   = 1000 // heartbeats in one call: under the service's bound of 64 KB
	heartbeatsPerTTL = 3
	holder           = "lab"
)

// scaleChange is one change of the list that the lab asked for.
type scaleChange struct {
	Key         uint64
	RequestedAt int64 // Unix µs
	AnsweredAt  int64
	Phase       string // of the run: control or load
}

// memberState is what the lab knows of a member that it keeps registered.
type memberState struct {
	registered bool
	muted      bool
	size       float64
}

// scaleMembers keeps all members registered and changes some of them.
type scaleMembers struct {
	scenario   *scenario.Scenario
	endpoints  *scaleEndpoints
	clients    []*client.Client // one a writer
	onLateness func(time.Duration)
	zones      []string

	mu       sync.Mutex
	state    []memberState
	changes  []scaleChange
	expired  []scaleChange // of the zone that lapses
	restored []scaleChange

	heartbeatsBehind int // batches of heartbeats that the service took more than a third of a time to live for
	changesBehind    int // changes that were due before the service had answered the one before
}

func newScaleMembers(s *scenario.Scenario, endpoints *scaleEndpoints, nodes []string, late func(time.Duration)) (*scaleMembers, error) {
	m := &scaleMembers{scenario: s, endpoints: endpoints, onLateness: late, zones: s.Fleet.Zones, state: make([]memberState, s.Scale.Members)}
	for i := range m.state {
		m.state[i].size = 1
	}
	for range s.Scale.Writers {
		c, err := client.New(nodes, s.Scale.Writers, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		m.clients = append(m.clients, c)
	}
	return m, nil
}

func (m *scaleMembers) close() {
	for _, c := range m.clients {
		c.Close()
	}
}

func memberID(member int) string { return fmt.Sprintf("s%05d", member) }

func (m *scaleMembers) zone(member int) int { return member % len(m.zones) }

func (m *scaleMembers) ttl() time.Duration { return scenario.Seconds(m.scenario.Registry.TTL) }

// register hands in one member as it stands.
func (m *scaleMembers) register(ctx context.Context, c *client.Client, member int, size float64) error {
	_, err := c.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: memberID(member), Address: m.endpoints.address(member),
		Zone: m.zones[m.zone(member)], Flavor: model.Newsagent, Cell: member, Size: size, TTLMS: m.ttl().Milliseconds(), Holder: holder}, nil)
	if err != nil {
		return fmt.Errorf("lab: %s is not registered: %w", memberID(member), err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state[member].registered, m.state[member].size = true, size
	return nil
}

// registerAll registers members by all writers at once. noted hears of each.
func (m *scaleMembers) registerAll(ctx context.Context, members []int, onRegistered func(member int, requestedAt, answered int64)) error {
	var wg sync.WaitGroup
	var next atomic.Int64
	fault := make(chan error, len(m.clients))
	for _, c := range m.clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)) - 1; i < len(members); i = int(next.Add(1)) - 1 {
				requestedAt := time.Now().UnixMicro()
				if err := m.register(ctx, c, members[i], 1); err != nil {
					fault <- err
					return
				}
				if onRegistered != nil {
					onRegistered(members[i], requestedAt, time.Now().UnixMicro())
				}
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-fault:
		return err
	default:
		return nil
	}
}

func (m *scaleMembers) all() []int {
	all := make([]int, len(m.state))
	for i := range all {
		all[i] = i
	}
	return all
}

// sendHeartbeats keeps the registrations alive until ctx ends: all of them in a third of
// their time to live, some at a time.
func (m *scaleMembers) sendHeartbeats(ctx context.Context) {
	batches := (len(m.state) + heartbeatBatch - 1) / heartbeatBatch
	every := m.ttl() / heartbeatsPerTTL / time.Duration(batches)
	due := time.Now()
	for i := 0; ; i = (i + 1) % batches {
		due = due.Add(every)
		if !model.Sleep(ctx, time.Until(due)) {
			return
		}
		m.sendBatch(ctx, i*heartbeatBatch, min((i+1)*heartbeatBatch, len(m.state)))
		if behind := time.Since(due); behind > m.ttl()/heartbeatsPerTTL { // the service answers more slowly than they are due
			m.mu.Lock()
			m.heartbeatsBehind++
			m.mu.Unlock()
			due = time.Now()
		}
	}
}

// sendBatch sends the heartbeats of a range, and registers those anew that the
// service does not know.
func (m *scaleMembers) sendBatch(ctx context.Context, from, to int) {
	var heartbeats []registry.Heartbeat
	m.mu.Lock()
	for i := from; i < to; i++ {
		if m.state[i].registered && !m.state[i].muted {
			heartbeats = append(heartbeats, registry.Heartbeat{ID: memberID(i), Holder: holder})
		}
	}
	m.mu.Unlock()
	if len(heartbeats) == 0 {
		return
	}
	var answer struct{ Unknown []string }
	short, cancel := context.WithTimeout(ctx, m.ttl())
	defer cancel()
	if _, err := m.clients[0].Do(short, http.MethodPost, registry.HeartbeatsPath, heartbeats, &answer); err != nil {
		return // asked again in a third of the time to live
	}
	for _, id := range answer.Unknown {
		var member int
		fmt.Sscanf(id, "s%d", &member)
		m.mu.Lock()
		state := m.state[member]
		m.mu.Unlock()
		if !state.muted {
			m.register(short, m.clients[0], member, state.size)
		}
	}
}

// change asks for one change and books it.
func (m *scaleMembers) change(ctx context.Context, member int, phase string, size float64, phase2 string) error {
	asked := time.Now().UnixMicro()
	var err error
	if size != 0 {
		err = m.register(ctx, m.clients[0], member, size)
	} else {
		_, err = m.clients[0].Do(ctx, http.MethodPost, registry.MembersPath+"/"+memberID(member)+"/phase", map[string]string{"phase": phase}, nil)
		size = 1
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, scaleChange{Key: simrelay.ChangeKey(memberID(member), phase, size), RequestedAt: asked, AnsweredAt: time.Now().UnixMicro(), Phase: phase2})
	return nil
}

// configure makes the changes of the configuration until ctx ends: a member
// drains, another gets another weight, one that drained returns. part tells the
// part of the run.
func (m *scaleMembers) configure(ctx context.Context, random *rand.Rand, currentPhase func() string) error {
	if m.scenario.Scale.ChangesDay == 0 {
		return nil
	}
	every := time.Duration(24 * float64(time.Hour) / (m.scenario.Scale.ChangesDay * m.scenario.Scale.Speed))
	free := random.Perm(len(m.state)) // each member is changed once: a change has one key
	if m.scenario.Scale.ExpiryAt > 0 {
		free = slices.DeleteFunc(free, func(i int) bool { return m.zone(i) == len(m.zones)-1 })
	}
	var drained []int
	due := time.Now()
	for n := 0; len(free) > 0; n++ {
		if due = due.Add(every); time.Since(due) > 0 { // not the lab's lateness
			m.mu.Lock()
			m.changesBehind++
			m.mu.Unlock()
			due = time.Now()
		}
		if !model.Sleep(ctx, time.Until(due)) {
			return nil
		}
		m.onLateness(time.Since(due))
		var err error
		switch n % 3 {
		case 0:
			err = m.change(ctx, free[0], discovery.Draining, 0, currentPhase())
			drained, free = append(drained, free[0]), free[1:]
		case 1:
			err = m.change(ctx, free[0], discovery.Up, 1.5, currentPhase())
			free = free[1:]
		case 2:
			err = m.change(ctx, drained[0], discovery.Up, 0, currentPhase())
			drained = drained[1:]
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("lab: a change was not taken: %w", err)
		}
	}
	return nil
}

// expireZone has the registrations of the last zone stop at one moment, and come back
// after a while by all writers at once.
func (m *scaleMembers) expireZone(ctx context.Context) error {
	if m.scenario.Scale.ExpiryAt == 0 || !model.Sleep(ctx, scenario.Seconds(m.scenario.Scale.ExpiryAt)) {
		return nil
	}
	var zone []int
	stopped := time.Now().UnixMicro()
	m.mu.Lock()
	for i := range m.state {
		if m.zone(i) == len(m.zones)-1 {
			zone = append(zone, i)
			m.state[i].muted = true
			m.expired = append(m.expired, scaleChange{Key: simrelay.ChangeKey(memberID(i), discovery.Removed, 0), RequestedAt: stopped, AnsweredAt: stopped})
		}
	}
	m.mu.Unlock()
	if !model.Sleep(ctx, scenario.Seconds(m.scenario.Scale.ExpiryFor)) {
		return nil
	}
	err := m.registerAll(ctx, zone, func(member int, asked, answered int64) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.state[member].muted = false
		m.restored = append(m.restored, scaleChange{Key: simrelay.ChangeKey(memberID(member), discovery.Up, 1), RequestedAt: asked, AnsweredAt: answered})
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

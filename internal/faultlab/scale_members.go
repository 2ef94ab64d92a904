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
	heartbeatBatch     = 1000 // heartbeats in one call, whose body stays below the service's limit of 64 KB
	heartbeatsPerTTL   = 3
	registrationHolder = "lab"
)

// scaleChange is one change of the list that the lab requested.
type scaleChange struct {
	Key         uint64
	RequestedAt int64 // Unix µs
	AnsweredAt  int64
	RunPhase    string // phase of the run in which the change was made: control or load
}

// memberState is the state of a member that the lab registers.
type memberState struct {
	registered bool
	muted      bool // sends no heartbeats
	size       float64
}

// scaleMembers registers all members, sends their heartbeats and changes some of them.
// It is safe for concurrent use; its owner closes it.
type scaleMembers struct {
	scenario   *scenario.Scenario
	endpoints  *scaleEndpoints
	clients    []*client.Client // one for each writer
	onLateness func(time.Duration)
	zones      []string

	mu       sync.Mutex
	state    []memberState // by member
	changes  []scaleChange
	expired  []scaleChange // removals of the members of the zone whose registrations expire
	restored []scaleChange // registrations that bring the members of that zone back

	heartbeatsBehind int // batches that fell behind by more than a third of the time to live
	changesBehind    int // changes that were due before the previous change was answered
}

func newScaleMembers(s *scenario.Scenario, endpoints *scaleEndpoints, nodes []string, onLateness func(time.Duration)) (*scaleMembers, error) {
	m := &scaleMembers{scenario: s, endpoints: endpoints, onLateness: onLateness, zones: s.Fleet.Zones, state: make([]memberState, s.Scale.Members)}
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

// register registers one member.
func (m *scaleMembers) register(ctx context.Context, c *client.Client, member int, size float64) error {
	_, err := c.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: memberID(member), Address: m.endpoints.address(member),
		Zone: m.zones[m.zone(member)], Flavor: model.Newsagent, Cell: member, Size: size, TTLMS: m.ttl().Milliseconds(), Holder: registrationHolder}, nil)
	if err != nil {
		return fmt.Errorf("lab: registering %s failed: %w", memberID(member), err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state[member].registered, m.state[member].size = true, size
	return nil
}

// registerAll registers members concurrently, by all writers; onRegistered may be nil.
func (m *scaleMembers) registerAll(ctx context.Context, members []int, onRegistered func(member int, requestedAt, answeredAt int64)) error {
	var wg sync.WaitGroup
	var next atomic.Int64
	errs := make(chan error, len(m.clients))
	for _, c := range m.clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)) - 1; i < len(members); i = int(next.Add(1)) - 1 {
				requestedAt := time.Now().UnixMicro()
				if err := m.register(ctx, c, members[i], 1); err != nil {
					errs <- err
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
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func (m *scaleMembers) memberNumbers() []int {
	numbers := make([]int, len(m.state))
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// sendHeartbeats sends the heartbeats of all members until ctx ends, in batches spread
// over a third of their time to live.
func (m *scaleMembers) sendHeartbeats(ctx context.Context) {
	batches := (len(m.state) + heartbeatBatch - 1) / heartbeatBatch
	interval := m.ttl() / heartbeatsPerTTL / time.Duration(batches)
	due := time.Now()
	for i := 0; ; i = (i + 1) % batches {
		due = due.Add(interval)
		if !model.Sleep(ctx, time.Until(due)) {
			return
		}
		m.sendBatch(ctx, i*heartbeatBatch, min((i+1)*heartbeatBatch, len(m.state)))
		if behind := time.Since(due); behind > m.ttl()/heartbeatsPerTTL { // the service answers more slowly than the batches are due
			m.mu.Lock()
			m.heartbeatsBehind++
			m.mu.Unlock()
			due = time.Now()
		}
	}
}

// sendBatch sends the heartbeats of a range of members, and registers those that the
// service does not know.
func (m *scaleMembers) sendBatch(ctx context.Context, from, to int) {
	var heartbeats []registry.Heartbeat
	m.mu.Lock()
	for i := from; i < to; i++ {
		if m.state[i].registered && !m.state[i].muted {
			heartbeats = append(heartbeats, registry.Heartbeat{ID: memberID(i), Holder: registrationHolder})
		}
	}
	m.mu.Unlock()
	if len(heartbeats) == 0 {
		return
	}
	var answer struct{ Unknown []string }
	batchCtx, cancel := context.WithTimeout(ctx, m.ttl())
	defer cancel()
	if _, err := m.clients[0].Do(batchCtx, http.MethodPost, registry.HeartbeatsPath, heartbeats, &answer); err != nil {
		return // the next batch of this range covers the same members
	}
	for _, id := range answer.Unknown {
		var member int
		fmt.Sscanf(id, "s%d", &member)
		m.mu.Lock()
		state := m.state[member]
		m.mu.Unlock()
		if !state.muted {
			m.register(batchCtx, m.clients[0], member, state.size)
		}
	}
}

// changeMember changes a member's size or, if size is 0, its phase, and records the
// change.
func (m *scaleMembers) changeMember(ctx context.Context, member int, phase string, size float64, runPhase string) error {
	requestedAt := time.Now().UnixMicro()
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
	m.changes = append(m.changes, scaleChange{Key: simrelay.ChangeKey(memberID(member), phase, size), RequestedAt: requestedAt, AnsweredAt: time.Now().UnixMicro(), RunPhase: runPhase})
	return nil
}

// makeChanges makes changes at the rate of the scenario, three kinds in turn: a member
// drains, another gets another size, and one that drained comes back up. It returns when
// ctx ends, or when no member is left that has not changed yet.
func (m *scaleMembers) makeChanges(ctx context.Context, random *rand.Rand, currentPhase func() string) error {
	if m.scenario.Scale.ChangesDay == 0 {
		return nil
	}
	interval := time.Duration(24 * float64(time.Hour) / (m.scenario.Scale.ChangesDay * m.scenario.Scale.Speed))
	unchanged := random.Perm(len(m.state)) // each member is drawn once, so that each change has a key of its own
	if m.scenario.Scale.ExpiryAt > 0 {
		unchanged = slices.DeleteFunc(unchanged, func(i int) bool { return m.zone(i) == len(m.zones)-1 })
	}
	var drained []int
	due := time.Now()
	for n := 0; len(unchanged) > 0; n++ {
		if due = due.Add(interval); time.Since(due) > 0 { // the service answers slowly, which is not the lab's lateness
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
			err = m.changeMember(ctx, unchanged[0], discovery.Draining, 0, currentPhase())
			drained, unchanged = append(drained, unchanged[0]), unchanged[1:]
		case 1:
			err = m.changeMember(ctx, unchanged[0], discovery.Up, 1.5, currentPhase())
			unchanged = unchanged[1:]
		case 2:
			err = m.changeMember(ctx, drained[0], discovery.Up, 0, currentPhase())
			drained = drained[1:]
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("lab: a change of the list failed: %w", err)
		}
	}
	return nil
}

// expireZone stops the heartbeats of all members of the last zone at once. Later it
// registers the members again, concurrently by all writers.
func (m *scaleMembers) expireZone(ctx context.Context) error {
	if m.scenario.Scale.ExpiryAt == 0 || !model.Sleep(ctx, scenario.Seconds(m.scenario.Scale.ExpiryAt)) {
		return nil
	}
	var zoneMembers []int
	stoppedAt := time.Now().UnixMicro()
	m.mu.Lock()
	for i := range m.state {
		if m.zone(i) == len(m.zones)-1 {
			zoneMembers = append(zoneMembers, i)
			m.state[i].muted = true
			m.expired = append(m.expired, scaleChange{Key: simrelay.ChangeKey(memberID(i), discovery.Removed, 0), RequestedAt: stoppedAt, AnsweredAt: stoppedAt})
		}
	}
	m.mu.Unlock()
	if !model.Sleep(ctx, scenario.Seconds(m.scenario.Scale.ExpiryFor)) {
		return nil
	}
	err := m.registerAll(ctx, zoneMembers, func(member int, requestedAt, answeredAt int64) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.state[member].muted = false
		m.restored = append(m.restored, scaleChange{Key: simrelay.ChangeKey(memberID(member), discovery.Up, 1), RequestedAt: requestedAt, AnsweredAt: answeredAt})
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

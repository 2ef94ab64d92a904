package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// countEndpoints returns the values of the endpoint gauges by going over all endpoints.
func (r *Relay) countEndpoints(now policy.Time) (members, unavailable int64) {
	for _, ep := range r.endpoints.byID {
		if !ep.isListed {
			continue
		}
		members++
		if ep.isStopped || r.policy.Unavailable(ep.number, now) {
			unavailable++
		}
	}
	return members, unavailable
}

// listSimulation makes random changes to a member list and lets calls end with random
// outcomes, for a relay without a loop.
type listSimulation struct {
	t              *testing.T
	r              *Relay
	rng            *rand.Rand
	list           map[string]*discovery.Member
	revision       int64
	inFlight       []*message // messages with a call in flight, oldest first
	maxUnavailable int64      // highest number of unavailable endpoints at any step
}

// drawMember returns a member with a random ID, address, destination and phase.
func (s *listSimulation) drawMember() *discovery.Member {
	id := fmt.Sprintf("s-%d", s.rng.IntN(30))
	m := &discovery.Member{ID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", 1+s.rng.IntN(3)), Flavor: "k", Cell: s.rng.IntN(8),
		Phase: []string{discovery.Up, discovery.Up, discovery.Up, discovery.Draining, discovery.Removed}[s.rng.IntN(5)], Size: 1000}
	s.list[id] = m
	return m
}

// changeList applies a change of one random member, or one time in four a whole list.
func (s *listSimulation) changeList() {
	s.revision++
	list := &discovery.List{Revision: s.revision, Members: []discovery.Member{*s.drawMember()}}
	if s.rng.IntN(4) == 0 {
		list.Complete, list.Members = true, nil
		for _, m := range s.list {
			if m.Phase != discovery.Removed && s.rng.IntN(6) > 0 {
				list.Members = append(list.Members, *m)
			}
		}
	}
	listEvent{list}.handle(s.r)
}

// finishOldestCall ends the oldest call with a random outcome.
func (s *listSimulation) finishOldestCall() {
	if len(s.inFlight) == 0 {
		return
	}
	m := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	if m.call == nil {
		return
	}
	result := outcome{kind: []policy.Outcome{policy.Delivered, policy.Errored, policy.Errored, policy.TimedOut, policy.ConnectFailed,
		policy.Rejected, policy.ConnectionReset}[s.rng.IntN(7)], latency: 1000}
	result.isFinal = result.kind == policy.Delivered
	if s.rng.IntN(4) == 0 {
		result.status, result.retryAfter = 200, 1000*policy.Time(s.rng.IntN(20))
	}
	s.r.finishCall(m.call, []outcome{result})
}

// The endpoint gauges are updated with each change of the list and of the policy's view.
// After any change, and as waiting times pass, they must equal a count over all endpoints.
func TestEndpointGaugesMatchFullCount(t *testing.T) {
	for seed := range uint64(6) {
		r := newTestRelay(t)
		simulation := &listSimulation{t: t, r: r, rng: rand.New(rand.NewPCG(seed, 3)), list: map[string]*discovery.Member{}}
		for step := range 600 {
			switch simulation.rng.IntN(5) {
			case 0:
				simulation.changeList()
			case 1, 2:
				m := r.newMessage(&wal.Record{ID: fmt.Sprintf("%d-%d", seed, step), Class: "plain", Dest: simulation.rng.IntN(8),
					Deadline: r.clock.logTime(r.clock.now() + 20e6)})
				m.isAcknowledged = true
				r.step.add(policy.Event{Kind: policy.EventMessage, Message: m.number, Dest: m.record.Dest, Tenant: -1, TimeLeft: 20e6})
			case 3:
				simulation.finishOldestCall()
			case 4:
				time.Sleep(time.Duration(simulation.rng.IntN(2000)) * time.Microsecond) // lets waiting times of endpoints pass
			}
			simulation.stepPolicy()
			r.publishMetrics()
			members, unavailable := r.countEndpoints(r.published.publishedAt)
			if gotMembers, gotUnavailable := r.metrics.members.Load(), r.metrics.unavailable.Load(); gotMembers != members || gotUnavailable != unavailable {
				t.Fatalf("seed %d, step %d: gauges say %d members, %d unavailable; the endpoints are %d and %d", seed, step, gotMembers, gotUnavailable, members, unavailable)
			}
			simulation.maxUnavailable = max(simulation.maxUnavailable, unavailable)
			simulation.checkDestinations(step)
		}
		if simulation.maxUnavailable < 5 {
			t.Errorf("seed %d: at most %d endpoints were unavailable, too few to test anything", seed, simulation.maxUnavailable)
		}
	}
}

// stepPolicy steps the policy and carries out its actions. Calls stay in flight until
// finishOldestCall ends them.
func (s *listSimulation) stepPolicy() {
	r := s.r
	r.fireTimers()
	events := r.step.events
	r.step.events = nil
	for _, a := range r.policy.Step(r.clock.now(), events, nil) {
		m := r.messages.byNumber[a.Message]
		switch {
		case a.Kind == policy.ActionSend && m != nil:
			m.attempts++
			ep := r.endpoints.byNumber[a.Endpoint]
			c := newTestCall()
			c.endpoint, c.transport, c.messages = ep, ep.transport, []callMessage{{message: m, attempt: m.attempts - 1}}
			m.call, ep.calls[c] = c, true
			r.callsInFlight++
			s.inFlight = append(s.inFlight, m)
		case (a.Kind == policy.ActionReject || a.Kind == policy.ActionFail) && m != nil:
			m.isCompleted = true
			r.forgetMessage(m)
		case a.Kind == policy.ActionTimer:
			r.timers = append(r.timers, r.clock.now()+a.Delay)
		}
	}
}

// checkDestinations compares the index of endpoints by destination with all endpoints.
func (s *listSimulation) checkDestinations(step int) {
	want := map[int]int{}
	for _, ep := range s.r.endpoints.byID {
		if ep.hostPort != "" {
			want[ep.cell]++
		}
	}
	for cell := range 8 {
		if got := len(s.r.endpoints.byCell[cell]); got != want[cell] {
			s.t.Fatalf("step %d: %d endpoints of destination %d, want %d", step, got, cell, want[cell])
		}
	}
}

// If all endpoints are available, updating the gauges must not look at each endpoint, so that
// an idle relay with a large list needs little CPU time.
func TestHealthyListNeedsNoAvailabilityRecheck(t *testing.T) {
	r := newTestRelay(t)
	listEvent{largeList(3000, "127.0.0.1:1")}.handle(r)
	r.stepPolicy()
	r.publishMetrics()
	if n := len(r.endpoints.maybeUnavailable); n != 0 || r.metrics.members.Load() != 3000 || r.metrics.unavailable.Load() != 0 {
		t.Errorf("%d endpoints to be checked again; %d members, %d unavailable", n, r.metrics.members.Load(), r.metrics.unavailable.Load())
	}
}

// Endpoints that were removed long ago must be forgotten, so that memory does not grow as
// members come and go. They must not be forgotten before their retention time is over, and
// list changes between two sweeps must not go over all endpoints.
func TestRemovedEndpointsAreForgottenAfterRetention(t *testing.T) {
	r := newTestRelay(t)
	changeMember := func(id, phase string) {
		listEvent{&discovery.List{Members: []discovery.Member{
			{ID: id, HostPort: "127.0.0.1:1", Flavor: "k", Cell: 1, Phase: phase, Size: 1}}}}.handle(r)
	}
	advanceClock := func(span policy.Time) {
		r.clock.startedAt = r.clock.startedAt.Add(-time.Duration(span) * time.Microsecond)
	}
	changeMember("gone", discovery.Up)
	changeMember("gone", discovery.Removed)
	advanceClock(removedEndpointRetention - removedEndpointSweepInterval)
	changeMember("other", discovery.Up)
	if r.endpoints.byID["gone"] == nil {
		t.Fatal("an endpoint was forgotten before its retention time was over")
	}
	sweptAt := r.endpoints.sweptAt
	advanceClock(removedEndpointSweepInterval / 2)
	changeMember("other", discovery.Draining)
	if r.endpoints.sweptAt != sweptAt {
		t.Error("a change before the next sweep went over all endpoints")
	}
	advanceClock(2 * removedEndpointSweepInterval)
	changeMember("other", discovery.Up)
	if r.endpoints.byID["gone"] != nil || len(r.endpoints.byNumber) != 1 || len(r.endpoints.byCell[1]) != 1 {
		t.Errorf("%d endpoints by ID, %d by number, %d by destination, want 1 each", len(r.endpoints.byID), len(r.endpoints.byNumber), len(r.endpoints.byCell[1]))
	}
}

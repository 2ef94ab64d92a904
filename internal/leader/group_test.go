package leader

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"plovershore/internal/registry/registrytest"
)

// stepRecorder records the steps that holders know to be accepted, and violations of
// their order.
type steps struct {
	mu         sync.Mutex
	tokens     map[int]int64 // fencing token of each accepted step
	violations []string
	last       int
	newest     int64
	working    int
	maxWorking int
}

func newSteps() *steps { return &steps{tokens: map[int]int64{}} }

// countingWork returns work that continues counting from the checkpoint and returns after
// maxSteps steps. Each step is an effect, which saves the count.
func (s *steps) work(maxSteps int) Work {
	return func(ctx context.Context, g *Grant) error {
		s.mu.Lock()
		s.working++
		s.maxWorking = max(s.maxWorking, s.working)
		s.mu.Unlock()
		defer func() { s.mu.Lock(); s.working--; s.mu.Unlock() }()
		n, _ := strconv.Atoi(g.Note) // an empty checkpoint counts as 0
		for range maxSteps {
			n++
			if err := g.Save(ctx, strconv.Itoa(n)); err != nil {
				if ctx.Err() != nil || errors.Is(err, ErrLeaseLost) {
					return nil
				}
				return err
			}
			s.mu.Lock()
			if old, ok := s.tokens[n]; ok {
				s.violations = append(s.violations, fmt.Sprintf("step %d was accepted under token %d and again under %d", n, old, g.Token))
			}
			if n > s.last && g.Token < s.newest {
				s.violations = append(s.violations, fmt.Sprintf("step %d was accepted under token %d after a step under the newer token %d", n, g.Token, s.newest))
			}
			s.tokens[n], s.last, s.newest = g.Token, max(s.last, n), max(s.newest, g.Token)
			s.mu.Unlock()
			if !Sleep(ctx, 5*time.Millisecond) {
				return nil
			}
		}
		return nil
	}
}

// checkOrder fails the test if a step was accepted twice, or after a step under a newer
// token.
func (s *steps) checkOrder(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.violations {
		t.Error(d)
	}
}

func (s *steps) count() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.tokens) }

// The list service's leader is stopped three times while candidates acquire a role, renew
// sessions, save and release. Each grant lasts only four steps, so the holder changes all
// the time. No step is accepted twice, and the work continues after each leader change.
func TestRegistryLeaderChangesDuringGrantsAndReleases(t *testing.T) {
	s, all := registrytest.Start(t, 3, nil), newSteps()
	s.Leader()
	for i := range 3 {
		startCandidateWith(t, s.Client(), fmt.Sprint("w", i), 400*time.Millisecond, map[string]Work{"d": all.work(4)})
	}
	for range 3 {
		before := all.count()
		waitFor(t, "more than 8 steps before the leader stops", func() bool { return all.count() > before+8 })
		i := s.Leader()
		s.Stop(i)
		before = all.count()
		waitFor(t, "more than 8 steps under the next leader", func() bool { return all.count() > before+8 })
		s.Start(i)
	}
	all.checkOrder(t)
}

// While two of three nodes of the list service are down, for several lease durations, the
// holder stops its work, no other candidate starts it, and no step is accepted. The work
// resumes when the nodes are back.
func TestWorkStopsWithoutMajority(t *testing.T) {
	s, all := registrytest.Start(t, 3, nil), newSteps()
	s.Leader()
	const ttl = time.Second
	for i := range 3 {
		startCandidateWith(t, s.Client(), fmt.Sprint("w", i), ttl, map[string]Work{"d": all.work(1 << 30)})
	}
	waitFor(t, "the first steps", func() bool { return all.count() > 5 })
	gone := []int{0, 1}
	for _, i := range gone {
		s.Stop(i)
	}
	waitFor(t, "the holder to stop its work", func() bool { all.mu.Lock(); defer all.mu.Unlock(); return all.working == 0 })
	stood := all.count()
	time.Sleep(4 * ttl) // no candidate may work during this time
	all.mu.Lock()
	if all.working != 0 || len(all.tokens) != stood || all.maxWorking != 1 {
		t.Errorf("without a majority: %d candidates work, %d steps grew to %d; at most %d candidates worked at once", all.working, stood, len(all.tokens), all.maxWorking)
	}
	all.mu.Unlock()
	for _, i := range gone {
		s.Start(i)
	}
	waitFor(t, "further steps", func() bool { return all.count() > stood+5 })
	all.checkOrder(t)
}

// All controllers die at the same time and release nothing. A controller that starts later
// acquires the role and continues from the last checkpoint.
func TestRecoveryAfterAllControllersDie(t *testing.T) {
	_, addr := startNode(t, nil)
	all := newSteps()
	var cut []*proxy
	const ttl = 500 * time.Millisecond
	for i := range 3 {
		p := startProxy(t, addr)
		cut = append(cut, p)
		startCandidate(t, p.addr, fmt.Sprint("w", i), ttl, map[string]Work{"d": all.work(1 << 30)})
	}
	waitFor(t, "the first steps", func() bool { return all.count() > 5 })
	for _, p := range cut { // the list service cannot tell a partitioned process from a dead one
		p.partitioned.Store(true)
	}
	waitFor(t, "the list service to end all sessions", func() bool { return len(listRoles(t, addr).Sessions) == 0 })
	d := roleState(t, addr, "d")
	if d.Holder != "" {
		t.Errorf("the role is still held by %s after the end of its session", d.Controller)
	}
	stood, _ := strconv.Atoi(d.Note)
	startCandidate(t, addr, "back", ttl, map[string]Work{"d": all.work(1 << 30)})
	waitFor(t, "steps of the new controller", func() bool { n, _ := strconv.Atoi(roleState(t, addr, "d").Note); return n > stood+5 })
	if d := roleState(t, addr, "d"); d.Controller != "back" {
		t.Errorf("the role is held by %s, want back", d.Controller)
	}
	all.checkOrder(t)
}

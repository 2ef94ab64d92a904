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

// steps records the effects whose acceptance their holders have seen.
type steps struct {
	mu         sync.Mutex
	tokens     map[int]int64 // by step
	violations []string
	last       int
	newest     int64
	working    int
	maxWorking int
}

func newSteps() *steps { return &steps{tokens: map[int]int64{}} }

// work returns work that counts on from the checkpoint, for at most so many steps.
func (s *steps) work(maxSteps int) Work {
	return func(ctx context.Context, g *Grant) error {
		s.mu.Lock()
		s.working++
		s.maxWorking = max(s.maxWorking, s.working)
		s.mu.Unlock()
		defer func() { s.mu.Lock(); s.working--; s.mu.Unlock() }()
		n, _ := strconv.Atoi(g.Note) // of none, 0
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
				s.violations = append(s.violations, fmt.Sprintf("step %d under %d and %d", n, old, g.Token))
			}
			if n > s.last && g.Token < s.newest {
				s.violations = append(s.violations, fmt.Sprintf("step %d under %d after one under %d", n, g.Token, s.newest))
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

// checkOrder fails the test for each step that was accepted twice or out of token order.
func (s *steps) checkOrder(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.violations {
		t.Error(d)
	}
}

func (s *steps) count() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.tokens) }

// The list service's leader stops while candidates acquire, renew, save and release: a
// role whose grants last a few steps each changes hands all the time. No step is
// accepted twice, and the work goes on after each change.
func TestRegistryLeaderChangesDuringGrantsAndReleases(t *testing.T) {
	s, all := registrytest.Start(t, 3, nil), newSteps()
	s.Leader()
	for i := range 3 {
		startCandidateWith(t, s.Client(), fmt.Sprint("w", i), 400*time.Millisecond, map[string]Work{"d": all.work(4)})
	}
	for range 3 {
		before := all.count()
		waitFor(t, "steps", func() bool { return all.count() > before+8 })
		i := s.Leader()
		s.Stop(i)
		before = all.count()
		waitFor(t, "steps under the next leader", func() bool { return all.count() > before+8 })
		s.Start(i)
	}
	all.checkOrder(t)
}

// Without a majority for many lease durations the work ends by itself, nobody else
// starts it, and the remaining node grants nothing. All resumes by itself.
func TestWorkStopsWithoutMajority(t *testing.T) {
	s, all := registrytest.Start(t, 3, nil), newSteps()
	s.Leader()
	const ttl = time.Second
	for i := range 3 {
		startCandidateWith(t, s.Client(), fmt.Sprint("w", i), ttl, map[string]Work{"d": all.work(1 << 30)})
	}
	waitFor(t, "steps", func() bool { return all.count() > 5 })
	gone := []int{0, 1}
	for _, i := range gone {
		s.Stop(i)
	}
	waitFor(t, "the holder ends its work", func() bool { all.mu.Lock(); defer all.mu.Unlock(); return all.working == 0 })
	stood := all.count()
	time.Sleep(4 * ttl) // in which nothing may happen: this span is the promise
	all.mu.Lock()
	if all.working != 0 || len(all.tokens) != stood || all.maxWorking != 1 {
		t.Errorf("without a majority: %d work, %d steps then %d, %d at once", all.working, stood, len(all.tokens), all.maxWorking)
	}
	all.mu.Unlock()
	for _, i := range gone {
		s.Start(i)
	}
	waitFor(t, "steps again", func() bool { return all.count() > stood+5 })
	all.checkOrder(t)
}

// All controllers die at once without releasing anything, and later one comes back: it
// continues from the last checkpoint.
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
	waitFor(t, "steps", func() bool { return all.count() > 5 })
	for _, p := range cut { // to the store, a process that is cut off for good is dead
		p.partitioned.Store(true)
	}
	waitFor(t, "the store has ended all sessions", func() bool { return len(listRoles(t, addr).Sessions) == 0 })
	d := roleState(t, addr, "d")
	if d.Holder != "" {
		t.Errorf("held by %s", d.Controller)
	}
	stood, _ := strconv.Atoi(d.Note)
	startCandidate(t, addr, "back", ttl, map[string]Work{"d": all.work(1 << 30)})
	waitFor(t, "steps of the one that is back", func() bool { n, _ := strconv.Atoi(roleState(t, addr, "d").Note); return n > stood+5 })
	if d := roleState(t, addr, "d"); d.Controller != "back" {
		t.Errorf("held by %s", d.Controller)
	}
	all.checkOrder(t)
}

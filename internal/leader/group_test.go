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
type stepRecorder struct {
	mu          sync.Mutex
	tokens      map[int]int64 // fencing token of each accepted step
	violations  []string
	lastStep    int   // the highest accepted step
	newestToken int64 // the newest token of an accepted step
	working     int   // number of candidates whose work runs
	maxWorking  int   // maximum of working so far
}

func newStepRecorder() *stepRecorder { return &stepRecorder{tokens: map[int]int64{}} }

// countingWork returns work that continues counting from the checkpoint and returns after
// maxSteps steps. Each step is an effect, which saves the count.
func (s *stepRecorder) countingWork(maxSteps int) Work {
	return func(ctx context.Context, g *Grant) error {
		s.mu.Lock()
		s.working++
		s.maxWorking = max(s.maxWorking, s.working)
		s.mu.Unlock()
		defer func() { s.mu.Lock(); s.working--; s.mu.Unlock() }()
		step, _ := strconv.Atoi(g.Note) // an empty checkpoint counts as 0
		for range maxSteps {
			step++
			if err := g.Save(ctx, strconv.Itoa(step)); err != nil {
				if ctx.Err() != nil || errors.Is(err, ErrLeaseLost) {
					return nil
				}
				return err
			}
			s.mu.Lock()
			if earlier, ok := s.tokens[step]; ok {
				s.violations = append(s.violations, fmt.Sprintf("step %d was accepted under token %d and again under %d", step, earlier, g.Token))
			}
			if step > s.lastStep && g.Token < s.newestToken {
				s.violations = append(s.violations, fmt.Sprintf("step %d was accepted under token %d after a step under the newer token %d", step, g.Token, s.newestToken))
			}
			s.tokens[step], s.lastStep, s.newestToken = g.Token, max(s.lastStep, step), max(s.newestToken, g.Token)
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
func (s *stepRecorder) checkOrder(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

func (s *stepRecorder) count() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.tokens) }

// The list service's leader is stopped three times while candidates acquire a role, renew
// sessions, save and release. Each grant lasts only four steps, so the holder changes all
// the time. No step is accepted twice, and the work continues after each leader change.
func TestStepsAreAcceptedOnceAcrossRegistryLeaderChanges(t *testing.T) {
	group, recorder := registrytest.Start(t, 3, nil), newStepRecorder()
	group.Leader()
	for i := range 3 {
		startCandidateWith(t, group.Client(), fmt.Sprint("w", i), 400*time.Millisecond, map[string]Work{"d": recorder.countingWork(4)})
	}
	for range 3 {
		before := recorder.count()
		waitFor(t, "more than 8 steps before the leader stops", func() bool { return recorder.count() > before+8 })
		i := group.Leader()
		group.Stop(i)
		before = recorder.count()
		waitFor(t, "more than 8 steps under the next leader", func() bool { return recorder.count() > before+8 })
		group.Start(i)
	}
	recorder.checkOrder(t)
}

// While two of three nodes of the list service are down, for several lease durations, the
// holder stops its work, no other candidate starts it, and no step is accepted. The work
// resumes when the nodes are back.
func TestWorkStopsWithoutMajorityAndResumesWithIt(t *testing.T) {
	group, recorder := registrytest.Start(t, 3, nil), newStepRecorder()
	group.Leader()
	const ttl = time.Second
	for i := range 3 {
		startCandidateWith(t, group.Client(), fmt.Sprint("w", i), ttl, map[string]Work{"d": recorder.countingWork(1 << 30)})
	}
	waitFor(t, "the first steps", func() bool { return recorder.count() > 5 })
	stoppedNodes := []int{0, 1}
	for _, i := range stoppedNodes {
		group.Stop(i)
	}
	waitFor(t, "the holder to stop its work", func() bool { recorder.mu.Lock(); defer recorder.mu.Unlock(); return recorder.working == 0 })
	stepsBefore := recorder.count()
	time.Sleep(4 * ttl) // no candidate may work during this time
	recorder.mu.Lock()
	if recorder.working != 0 || len(recorder.tokens) != stepsBefore || recorder.maxWorking != 1 {
		t.Errorf("without a majority: %d candidates work, %d steps grew to %d; at most %d candidates worked at once", recorder.working, stepsBefore, len(recorder.tokens), recorder.maxWorking)
	}
	recorder.mu.Unlock()
	for _, i := range stoppedNodes {
		group.Start(i)
	}
	waitFor(t, "further steps", func() bool { return recorder.count() > stepsBefore+5 })
	recorder.checkOrder(t)
}

// All controllers die at the same time and release nothing. A controller that starts later
// acquires the role and continues from the last checkpoint.
func TestNewControllerContinuesAfterAllControllersDie(t *testing.T) {
	_, addr := startNode(t, nil)
	recorder := newStepRecorder()
	var proxies []*proxy
	const ttl = 500 * time.Millisecond
	for i := range 3 {
		p := startProxy(t, addr)
		proxies = append(proxies, p)
		startCandidate(t, p.addr, fmt.Sprint("w", i), ttl, map[string]Work{"d": recorder.countingWork(1 << 30)})
	}
	waitFor(t, "the first steps", func() bool { return recorder.count() > 5 })
	for _, p := range proxies { // the list service cannot tell a partitioned process from a dead one
		p.partitioned.Store(true)
	}
	waitFor(t, "the list service to end all sessions", func() bool { return len(listRoles(t, addr).Sessions) == 0 })
	role := roleState(t, addr, "d")
	if role.Holder != "" {
		t.Errorf("the role is still held by %s after the end of its session", role.Controller)
	}
	lastCount, _ := strconv.Atoi(role.Note)
	startCandidate(t, addr, "back", ttl, map[string]Work{"d": recorder.countingWork(1 << 30)})
	waitFor(t, "steps of the new controller", func() bool { count, _ := strconv.Atoi(roleState(t, addr, "d").Note); return count > lastCount+5 })
	if role := roleState(t, addr, "d"); role.Controller != "back" {
		t.Errorf("the role is held by %s, want back", role.Controller)
	}
	recorder.checkOrder(t)
}

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

// steps are the effects that holders heard to have counted.
type steps struct {
	mu      sync.Mutex
	at      map[int]int64 // step to token
	doubled []string
	last    int
	token   int64
	working int
	most    int
}

func newSteps() *steps { return &steps{at: map[int]int64{}} }

// work counts on from the note until it is to end, for so many steps at the most.
func (s *steps) work(most int) Work {
	return func(ctx context.Context, g *Grant) error {
		s.mu.Lock()
		s.working++
		s.most = max(s.most, s.working)
		s.mu.Unlock()
		defer func() { s.mu.Lock(); s.working--; s.mu.Unlock() }()
		n, _ := strconv.Atoi(g.Note) // of none, 0
		for range most {
			n++
			if err := g.Save(ctx, strconv.Itoa(n)); err != nil {
				if ctx.Err() != nil || errors.Is(err, ErrLeaseLost) {
					return nil
				}
				return err
			}
			s.mu.Lock()
			if old, ok := s.at[n]; ok {
				s.doubled = append(s.doubled, fmt.Sprintf("step %d under %d and %d", n, old, g.Token))
			}
			if n > s.last && g.Token < s.token {
				s.doubled = append(s.doubled, fmt.Sprintf("step %d under %d after one under %d", n, g.Token, s.token))
			}
			s.at[n], s.last, s.token = g.Token, max(s.last, n), max(s.token, g.Token)
			s.mu.Unlock()
			if !sleep(ctx, 5*time.Millisecond) {
				return nil
			}
		}
		return nil
	}
}

func (s *steps) sound(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doubled {
		t.Error(d)
	}
}

func (s *steps) count() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.at) }

// The store's leader goes while holders ask, renew, note and give up: a duty of
// which each grant lasts for a few steps changes hands all the time. No step
// counts twice, and it goes on after each change.
func TestTheLeaderChangesDuringGrantsAndReleases(t *testing.T) {
	s, all := registrytest.Start(t, 3, nil), newSteps()
	s.Leader()
	for i := range 3 {
		wardenOf(t, s.Client(), fmt.Sprint("w", i), 400*time.Millisecond, map[string]Work{"d": all.work(4)})
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
	all.sound(t)
}

// No majority for many times the lease: the work ends by itself, nobody else
// begins, and what is left of the store grants nothing. All resumes by itself.
func TestNoMajority(t *testing.T) {
	s, all := registrytest.Start(t, 3, nil), newSteps()
	s.Leader()
	const ttl = time.Second
	for i := range 3 {
		wardenOf(t, s.Client(), fmt.Sprint("w", i), ttl, map[string]Work{"d": all.work(1 << 30)})
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
	if all.working != 0 || len(all.at) != stood || all.most != 1 {
		t.Errorf("without a majority: %d work, %d steps then %d, %d at once", all.working, stood, len(all.at), all.most)
	}
	all.mu.Unlock()
	for _, i := range gone {
		s.Start(i)
	}
	waitFor(t, "steps again", func() bool { return all.count() > stood+5 })
	all.sound(t)
}

// Every warden dies at once, with no word, and later one comes back: it goes on
// where the last one stood.
func TestEveryWardenDead(t *testing.T) {
	_, addr := startNode(t, nil)
	all := newSteps()
	var cut []*proxy
	const ttl = 500 * time.Millisecond
	for i := range 3 {
		p := startProxy(t, addr)
		cut = append(cut, p)
		warden(t, p.addr, fmt.Sprint("w", i), ttl, map[string]Work{"d": all.work(1 << 30)})
	}
	waitFor(t, "steps", func() bool { return all.count() > 5 })
	for _, p := range cut { // to the store, a process that is cut off for good is dead
		p.cutAll.Store(true)
	}
	waitFor(t, "the store has ended all sessions", func() bool { return len(duties(t, addr).Sessions) == 0 })
	d := dutyOf(t, addr, "d")
	if d.Holder != "" {
		t.Errorf("held by %s", d.Controller)
	}
	stood, _ := strconv.Atoi(d.Note)
	warden(t, addr, "back", ttl, map[string]Work{"d": all.work(1 << 30)})
	waitFor(t, "steps of the one that is back", func() bool { n, _ := strconv.Atoi(dutyOf(t, addr, "d").Note); return n > stood+5 })
	if d := dutyOf(t, addr, "d"); d.Controller != "back" {
		t.Errorf("held by %s", d.Controller)
	}
	all.sound(t)
}

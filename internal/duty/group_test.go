package duty

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"troutusher/internal/loopback"
	"troutusher/internal/registry"
	"troutusher/internal/registry/client"
)

// stores is a group of three nodes that can be stopped and started again.
type stores struct {
	t     *testing.T
	addrs []string
	cfgs  []*registry.Config
	nodes []*registry.Node
}

func startStores(t *testing.T) *stores {
	s := &stores{t: t, nodes: make([]*registry.Node, 3)}
	var peers []registry.Peer
	for i := range s.nodes {
		peers = append(peers, registry.Peer{ID: fmt.Sprint("r", i), Raft: loopback.Free(), HTTP: loopback.Free()})
	}
	for _, p := range peers {
		c := registry.DefaultConfig()
		c.ID, c.Data, c.Listen, c.Raft, c.Peers = p.ID, filepath.Join(t.TempDir(), "data"), p.HTTP, p.Raft, peers
		s.cfgs, s.addrs = append(s.cfgs, &c), append(s.addrs, p.HTTP)
	}
	for i := range s.nodes {
		s.start(i)
	}
	t.Cleanup(func() {
		for i := range s.nodes {
			s.stop(i)
		}
	})
	return s
}

func (s *stores) start(i int) {
	s.t.Helper()
	n, err := registry.Start(s.cfgs[i], quiet())
	if err != nil {
		s.t.Fatal(err)
	}
	s.nodes[i] = n
}

func (s *stores) stop(i int) {
	if s.nodes[i] != nil {
		s.nodes[i].Close()
		s.nodes[i] = nil
	}
}

func (s *stores) client() *client.Client {
	s.t.Helper()
	c, err := client.New(s.addrs, 1, quiet())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// leader waits for the node that says it leads.
func (s *stores) leader() (at int) {
	s.t.Helper()
	waitFor(s.t, "a leader", func() bool {
		for i, n := range s.nodes {
			if n == nil {
				continue
			}
			one, err := client.New(s.addrs[i:i+1], 1, quiet())
			if err != nil {
				s.t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			var x registry.Status
			_, err = one.Do(ctx, http.MethodGet, registry.StatusPath, nil, &x)
			cancel()
			one.Close()
			if err == nil && x.Role == "Leader" {
				at = i
				return true
			}
		}
		return false
	})
	return at
}

func (s *stores) warden(name string, ttl time.Duration, w Work) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	done, c := make(chan struct{}), s.client()
	go func() {
		defer close(done)
		if err := Run(ctx, Options{Client: c, Warden: name, TTL: ttl, Duties: map[string]Work{"d": w}, Log: quiet()}); err != nil {
			s.t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	s.t.Cleanup(stop)
	return stop
}

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
				if ctx.Err() != nil || errors.Is(err, ErrLost) {
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
	s, all := startStores(t), newSteps()
	s.leader()
	for i := range 3 {
		s.warden(fmt.Sprint("w", i), 400*time.Millisecond, all.work(4))
	}
	for range 3 {
		before := all.count()
		waitFor(t, "steps", func() bool { return all.count() > before+8 })
		i := s.leader()
		s.stop(i)
		before = all.count()
		waitFor(t, "steps under the next leader", func() bool { return all.count() > before+8 })
		s.start(i)
	}
	all.sound(t)
}

// No majority for many times the lease: the work ends by itself, nobody else
// begins, and what is left of the store grants nothing. All resumes by itself.
func TestNoMajority(t *testing.T) {
	s, all := startStores(t), newSteps()
	s.leader()
	const ttl = time.Second
	for i := range 3 {
		s.warden(fmt.Sprint("w", i), ttl, all.work(1<<30))
	}
	waitFor(t, "steps", func() bool { return all.count() > 5 })
	gone := []int{0, 1}
	for _, i := range gone {
		s.stop(i)
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
		s.start(i)
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
		t.Errorf("held by %s", d.Warden)
	}
	stood, _ := strconv.Atoi(d.Note)
	warden(t, addr, "back", ttl, map[string]Work{"d": all.work(1 << 30)})
	waitFor(t, "steps of the one that is back", func() bool { n, _ := strconv.Atoi(dutyOf(t, addr, "d").Note); return n > stood+5 })
	if d := dutyOf(t, addr, "d"); d.Warden != "back" {
		t.Errorf("held by %s", d.Warden)
	}
	all.sound(t)
}

package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/registry"
)

// In a graceful handover the holder saves a checkpoint, names a successor and stops. The
// successor, not the other candidate, acquires the role and continues from the checkpoint.
func TestSuccessorContinuesFromCheckpoint(t *testing.T) {
	_, addr := startNode(t, nil)
	steps, saved := make(chan string, 100), make(chan string, 100)
	work := func(ctx context.Context, g *Grant) error {
		steps <- fmt.Sprintf("%s continues from %q", g.Controller, g.Note)
		if err := g.Save(ctx, g.Controller+" has saved"); err != nil {
			return err
		}
		saved <- g.Controller // the test must not stop the holder before Save returns, or it would name no successor
		<-ctx.Done()
		if context.Cause(ctx) == ErrStopping {
			g.SetSuccessor("b")
		}
		return nil
	}
	stop := startCandidate(t, addr, "a", 2*time.Second, map[string]Work{"d": work})
	if s := <-steps; s != `a continues from ""` {
		t.Fatal(s)
	}
	startCandidate(t, addr, "c", 2*time.Second, map[string]Work{"d": work})
	startCandidate(t, addr, "b", 2*time.Second, map[string]Work{"d": work})
	<-saved
	waitFor(t, "three sessions", func() bool { return len(listRoles(t, addr).Sessions) == 3 })
	stop()
	if s := <-steps; s != `b continues from "a has saved"` {
		t.Error(s)
	}
}

// A holder that is partitioned from the list service stops its work before another
// candidate starts. After the partition its first effect is rejected as outdated.
func TestPartitionedHolderStopsBeforeTakeover(t *testing.T) {
	_, addr := startNode(t, nil)
	p := startProxy(t, addr)
	const ttl = time.Second
	var mu sync.Mutex
	var working []string
	most := 0
	var refused error
	work := func(ctx context.Context, g *Grant) error {
		mu.Lock()
		working = append(working, g.Controller)
		most = max(most, len(working))
		mu.Unlock()
		<-ctx.Done()
		mu.Lock()
		working = slices.DeleteFunc(working, func(s string) bool { return s == g.Controller })
		mu.Unlock()
		if context.Cause(ctx) == ErrLeaseLost && g.Controller == "a" {
			refused = errors.New("not saved yet")
			for refused != nil && !errors.Is(refused, ErrLeaseLost) { // until the partition has ended
				short, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				refused = g.Save(short, "too late")
				cancel()
			}
			mu.Lock()
			working = append(working, "a was rejected")
			mu.Unlock()
		}
		return nil
	}
	startCandidate(t, p.addr, "a", ttl, map[string]Work{"d": work})
	waitFor(t, "a to hold the role", func() bool { return roleState(t, addr, "d").Controller == "a" })
	startCandidate(t, addr, "b", ttl, map[string]Work{"d": work})
	first := roleState(t, addr, "d").Token
	p.partitioned.Store(true)
	waitFor(t, "b to hold the role", func() bool { d := roleState(t, addr, "d"); return d.Controller == "b" && d.Token > first })
	p.partitioned.Store(false)
	waitFor(t, "the rejection of an effect of a", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(working, "a was rejected")
	})
	mu.Lock()
	defer mu.Unlock()
	if most != 1 || !errors.Is(refused, ErrLeaseLost) {
		t.Errorf("%d candidates worked at the same time, want 1; a's effect: %v, want ErrLeaseLost", most, refused)
	}
	if d := roleState(t, addr, "d"); d.Note == "too late" {
		t.Error("the list service accepted an effect with an older token")
	}
}

// Clocks are wrong by more than leases allow for: the first holder's clock runs at 0.3 of
// the true rate, so that its lease outlives its session, the second holder's clock runs a
// tenth fast, and the list service's date is set back by an hour. Both holders work at the
// same time. The tokens still ensure that no effect of the first holder is accepted after
// one of the second.
func TestFencingTokensHoldWithWrongClocks(t *testing.T) {
	drill := func(text string) *clock.Clock {
		c, err := clock.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	_, addr := startNode(t, func(c *registry.Config) { c.Clock = drill("date=-1h@500ms") })
	p := startProxy(t, addr)
	const ttl = 3 * time.Second
	var refused atomic.Bool
	believes := make(chan context.Context, 1)
	first := func(ctx context.Context, g *Grant) error { // ignores the end of its context and saves until a save is rejected
		select {
		case believes <- ctx:
		default:
		}
		for i := 0; !refused.Load() && t.Context().Err() == nil; i++ {
			short, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			err := g.Save(short, fmt.Sprint("a ", i))
			cancel()
			refused.Store(errors.Is(err, ErrLeaseLost))
		}
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	run := func(to, name, time string, w Work) {
		c := newClient(t, to)
		go func() {
			if err := Run(ctx, Options{Client: c, Name: name, TTL: ttl, Roles: map[string]Work{"d": w}, Log: quiet(), Clock: drill(time)}); err != nil {
				t.Error(err)
			}
		}()
	}
	run(p.addr, "a", "rate=0.3", first)
	waitFor(t, "an accepted effect of a", func() bool { return strings.HasPrefix(roleState(t, addr, "d").Note, "a ") })
	p.partitioned.Store(true)
	p.server.CloseClientConnections()
	run(addr, "b", "rate=1.1", func(ctx context.Context, g *Grant) error {
		if err := g.Save(ctx, "b"); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	waitFor(t, "an accepted effect of b", func() bool { return roleState(t, addr, "d").Note == "b" })
	if (<-believes).Err() != nil {
		t.Error("a has lost its lease by its own clock already, so the test does not cover two holders at once")
	}
	p.partitioned.Store(false)
	waitFor(t, "the rejection of an effect of a", refused.Load)
	if d := roleState(t, addr, "d"); d.Note != "b" || d.Controller != "b" {
		t.Errorf("role state %+v; want the checkpoint and the controller b", d)
	}
}

// A list service that is restored from an older snapshot still grants tokens that are
// greater than all tokens it granted before the restore.
func TestTokensGrowOverRestoredSnapshot(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var backup []byte
	if _, err := c.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &backup); err != nil {
		t.Fatal(err)
	}
	var began sync.Map
	stop := startCandidate(t, addr, "a", time.Second, map[string]Work{"d": workUntilCanceled(&began, "a")})
	waitFor(t, "a to work", func() bool { return entryCount(&began) == 1 })
	before := roleState(t, addr, "d").Token
	stop()
	if _, err := c.Do(ctx, http.MethodPut, registry.SnapshotPath, backup, nil); err != nil {
		t.Fatal(err)
	}
	startCandidate(t, addr, "b", time.Second, map[string]Work{"d": workUntilCanceled(&began, "b")})
	waitFor(t, "b to work", func() bool { return entryCount(&began) == 2 })
	if after := roleState(t, addr, "d").Token; after <= before {
		t.Errorf("token %d after the restore; want more than %d, granted before it", after, before)
	}
	// The same holds for a new group of nodes that has only the snapshot, and a later epoch.
	s, err := registry.ReadState(strings.NewReader(string(backup)))
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(registry.Command{Op: registry.OpEpoch, Epoch: "later", At: time.Now().Add(time.Second).UnixMilli()})
	s.Apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "x", Controller: "x", TTL: time.Second}})
	if a := s.Apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "x"}}); a.Token <= before {
		t.Errorf("a new group granted token %d; want more than %d", a.Token, before)
	}
}

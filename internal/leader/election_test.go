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
	starts, saved := make(chan string, 100), make(chan string, 100)
	work := func(ctx context.Context, g *Grant) error {
		starts <- fmt.Sprintf("%s continues from %q", g.Controller, g.Note)
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
	if start := <-starts; start != `a continues from ""` {
		t.Fatal(start)
	}
	startCandidate(t, addr, "c", 2*time.Second, map[string]Work{"d": work})
	startCandidate(t, addr, "b", 2*time.Second, map[string]Work{"d": work})
	<-saved
	waitFor(t, "three sessions", func() bool { return len(listRoles(t, addr).Sessions) == 3 })
	stop()
	if start := <-starts; start != `b continues from "a has saved"` {
		t.Error(start)
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
	maxWorking := 0
	var saveErr error
	work := func(ctx context.Context, g *Grant) error {
		mu.Lock()
		working = append(working, g.Controller)
		maxWorking = max(maxWorking, len(working))
		mu.Unlock()
		<-ctx.Done()
		mu.Lock()
		working = slices.DeleteFunc(working, func(s string) bool { return s == g.Controller })
		mu.Unlock()
		if context.Cause(ctx) == ErrLeaseLost && g.Controller == "a" {
			saveErr = errors.New("not saved yet")
			for saveErr != nil && !errors.Is(saveErr, ErrLeaseLost) { // until the partition has ended
				saveCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				saveErr = g.Save(saveCtx, "too late")
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
	tokenOfA := roleState(t, addr, "d").Token
	p.partitioned.Store(true)
	waitFor(t, "b to hold the role", func() bool { role := roleState(t, addr, "d"); return role.Controller == "b" && role.Token > tokenOfA })
	p.partitioned.Store(false)
	waitFor(t, "the rejection of an effect of a", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(working, "a was rejected")
	})
	mu.Lock()
	defer mu.Unlock()
	if maxWorking != 1 || !errors.Is(saveErr, ErrLeaseLost) {
		t.Errorf("%d candidates worked at the same time, want 1; a's effect: %v, want ErrLeaseLost", maxWorking, saveErr)
	}
	if role := roleState(t, addr, "d"); role.Note == "too late" {
		t.Error("the list service accepted an effect with an older token")
	}
}

// Clocks are wrong by more than leases allow for: the first holder's clock runs at 0.3 of
// the true rate, so that its lease outlives its session, the second holder's clock runs a
// tenth fast, and the list service's date is set back by an hour. Both holders work at the
// same time. The tokens still ensure that no effect of the first holder is accepted after
// one of the second.
func TestOlderTokenIsRejectedDespiteWrongClocks(t *testing.T) {
	parseClock := func(text string) *clock.Clock {
		c, err := clock.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	_, addr := startNode(t, func(c *registry.Config) { c.Clock = parseClock("date=-1h@500ms") })
	p := startProxy(t, addr)
	const ttl = 3 * time.Second
	var rejected atomic.Bool
	contextsOfA := make(chan context.Context, 1)
	saveUntilRejected := func(ctx context.Context, g *Grant) error { // ignores the end of its context and saves until a save is rejected
		select {
		case contextsOfA <- ctx:
		default:
		}
		for i := 0; !rejected.Load() && t.Context().Err() == nil; i++ {
			saveCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			err := g.Save(saveCtx, fmt.Sprint("a ", i))
			cancel()
			rejected.Store(errors.Is(err, ErrLeaseLost))
		}
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	startWithClock := func(target, name, clockSpec string, work Work) {
		c := newClient(t, target)
		go func() {
			if err := Run(ctx, Options{Client: c, Name: name, TTL: ttl, Roles: map[string]Work{"d": work}, Log: newDiscardLogger(), Clock: parseClock(clockSpec)}); err != nil {
				t.Error(err)
			}
		}()
	}
	startWithClock(p.addr, "a", "rate=0.3", saveUntilRejected)
	waitFor(t, "an accepted effect of a", func() bool { return strings.HasPrefix(roleState(t, addr, "d").Note, "a ") })
	p.partitioned.Store(true)
	p.server.CloseClientConnections()
	startWithClock(addr, "b", "rate=1.1", func(ctx context.Context, g *Grant) error {
		if err := g.Save(ctx, "b"); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	waitFor(t, "an accepted effect of b", func() bool { return roleState(t, addr, "d").Note == "b" })
	if (<-contextsOfA).Err() != nil {
		t.Error("a has lost its lease by its own clock already, so the test does not cover two holders at once")
	}
	p.partitioned.Store(false)
	waitFor(t, "the rejection of an effect of a", rejected.Load)
	if role := roleState(t, addr, "d"); role.Note != "b" || role.Controller != "b" {
		t.Errorf("role state %+v; want the checkpoint and the controller b", role)
	}
}

// A list service that is restored from an older snapshot still grants tokens that are
// greater than all tokens it granted before the restore.
func TestTokensGrowAcrossSnapshotRestore(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var snapshot []byte
	if _, err := c.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &snapshot); err != nil {
		t.Fatal(err)
	}
	var namesByToken sync.Map
	stop := startCandidate(t, addr, "a", time.Second, map[string]Work{"d": workUntilCanceled(&namesByToken, "a")})
	waitFor(t, "a to work", func() bool { return entryCount(&namesByToken) == 1 })
	tokenBefore := roleState(t, addr, "d").Token
	stop()
	if _, err := c.Do(ctx, http.MethodPut, registry.SnapshotPath, snapshot, nil); err != nil {
		t.Fatal(err)
	}
	startCandidate(t, addr, "b", time.Second, map[string]Work{"d": workUntilCanceled(&namesByToken, "b")})
	waitFor(t, "b to work", func() bool { return entryCount(&namesByToken) == 2 })
	if tokenAfter := roleState(t, addr, "d").Token; tokenAfter <= tokenBefore {
		t.Errorf("token %d after the restore; want more than %d, granted before it", tokenAfter, tokenBefore)
	}
	// The same holds for a new group of nodes that has only the snapshot, and a later epoch.
	state, err := registry.ReadState(strings.NewReader(string(snapshot)))
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(registry.Command{Op: registry.OpEpoch, Epoch: "later", At: time.Now().Add(time.Second).UnixMilli()})
	state.Apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "x", Controller: "x", TTL: time.Second}})
	if granted := state.Apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "x"}}); granted.Token <= tokenBefore {
		t.Errorf("a new group granted token %d; want more than %d", granted.Token, tokenBefore)
	}
}

package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/registry/registrytest"
)

var quiet, waitFor = registrytest.Quiet, registrytest.WaitFor

func startNode(t *testing.T, tune func(*registry.Config)) (g *registrytest.Group, addr string) {
	t.Helper()
	g = registrytest.Start(t, 1, tune)
	return g, g.Addrs[0]
}

func newClient(t *testing.T, addr string) *client.Client { return registrytest.Client(t, addr) }

// warden runs one until the test ends; stop has it leave in order.
func warden(t *testing.T, addr, name string, ttl time.Duration, duties map[string]Work) (stop func()) {
	t.Helper()
	return wardenOf(t, newClient(t, addr), name, ttl, duties)
}

func wardenOf(t *testing.T, c *client.Client, name string, ttl time.Duration, duties map[string]Work) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := Run(ctx, Options{Client: c, Name: name, TTL: ttl, Roles: duties, Log: quiet()}); err != nil {
			t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return stop
}

func duties(t *testing.T, addr string) registry.RoleList {
	t.Helper()
	var l registry.RoleList
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := newClient(t, addr).Do(ctx, http.MethodGet, registry.RolesPath, nil, &l); err != nil {
		t.Fatal(err)
	}
	return l
}

func dutyOf(t *testing.T, addr, name string) registry.Role {
	for _, d := range duties(t, addr).Roles {
		if d.Name == name {
			return d
		}
	}
	return registry.Role{}
}

// until works until its context ends, and says who began.
func until(began *sync.Map, name string) Work {
	return func(ctx context.Context, g *Grant) error {
		began.Store(g.Token, name)
		<-ctx.Done()
		return nil
	}
}

func count(m *sync.Map) (n int) {
	m.Range(func(any, any) bool { n++; return true })
	return n
}

// proxy stands between a warden and the store, and can be cut in one way or both.
type proxy struct {
	server    *httptest.Server
	addr      string
	cutAll    atomic.Bool
	loseReply atomic.Int32 // so many answers to grants
}

func startProxy(t *testing.T, to string) *proxy {
	p := &proxy{}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	forward.ErrorLog = slog.NewLogLogger(quiet().Handler(), slog.LevelDebug)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.cutAll.Load() {
			panic(http.ErrAbortHandler)
		}
		if strings.HasSuffix(r.URL.Path, "/grant") && p.loseReply.Add(-1) >= 0 {
			forward.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		forward.ServeHTTP(w, r)
	}))
	s.Config.ErrorLog = slog.NewLogLogger(quiet().Handler(), slog.LevelDebug)
	t.Cleanup(s.Close)
	p.server = s
	p.addr = strings.TrimPrefix(s.URL, "http://")
	return p
}

// In order: the holder leaves, notes where it stands, and the next goes on there.
func TestHandedOverInOrder(t *testing.T) {
	_, addr := startNode(t, nil)
	steps, saved := make(chan string, 100), make(chan string, 100)
	work := func(ctx context.Context, g *Grant) error {
		steps <- fmt.Sprintf("%s after %q", g.Controller, g.Note)
		if err := g.Save(ctx, g.Controller+" was here"); err != nil {
			return err
		}
		saved <- g.Controller // a stop before Save has its answer ends the work without a word of who is next
		<-ctx.Done()
		if context.Cause(ctx) == ErrStopping {
			g.SetSuccessor("b")
		}
		return nil
	}
	stop := warden(t, addr, "a", 2*time.Second, map[string]Work{"d": work})
	if s := <-steps; s != `a after ""` {
		t.Fatal(s)
	}
	warden(t, addr, "c", 2*time.Second, map[string]Work{"d": work})
	warden(t, addr, "b", 2*time.Second, map[string]Work{"d": work})
	<-saved
	waitFor(t, "three wardens", func() bool { return len(duties(t, addr).Sessions) == 3 })
	stop()
	if s := <-steps; s != `b after "a was here"` {
		t.Error(s)
	}
}

// Cut off from the store, the holder ends its work before anybody else begins;
// its effects are refused afterwards, and it notices at once.
func TestCutOffFromTheStore(t *testing.T) {
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
			refused = errors.New("asked for in vain")
			for refused != nil && !errors.Is(refused, ErrLeaseLost) { // until the cut is over
				short, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				refused = g.Save(short, "too late")
				cancel()
			}
			mu.Lock()
			working = append(working, "a was told")
			mu.Unlock()
		}
		return nil
	}
	warden(t, p.addr, "a", ttl, map[string]Work{"d": work})
	waitFor(t, "a holds it", func() bool { return dutyOf(t, addr, "d").Controller == "a" })
	warden(t, addr, "b", ttl, map[string]Work{"d": work})
	first := dutyOf(t, addr, "d").Token
	p.cutAll.Store(true)
	waitFor(t, "b holds it", func() bool { d := dutyOf(t, addr, "d"); return d.Controller == "b" && d.Token > first })
	p.cutAll.Store(false)
	waitFor(t, "a is told", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(working, "a was told")
	})
	mu.Lock()
	defer mu.Unlock()
	if most != 1 || !errors.Is(refused, ErrLeaseLost) {
		t.Errorf("%d worked at once; a's effect: %v", most, refused)
	}
	if d := dutyOf(t, addr, "d"); d.Note == "too late" {
		t.Error("an effect with an older token counted")
	}
}

// Clocks: the holder's runs at a third of its pace, so that it believes in its
// lease long after the store has ended it; the next one's is a tenth fast, and the
// store's date is set back an hour meanwhile. Both work at once, and no effect of
// the first counts after one of the second.
func TestWrongClocks(t *testing.T) {
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
	first := func(ctx context.Context, g *Grant) error { // deaf: its effects go on whatever it is told
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
	waitFor(t, "an effect of a", func() bool { return strings.HasPrefix(dutyOf(t, addr, "d").Note, "a ") })
	p.cutAll.Store(true)
	p.server.CloseClientConnections()
	run(addr, "b", "rate=1.1", func(ctx context.Context, g *Grant) error {
		if err := g.Save(ctx, "b"); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	waitFor(t, "an effect of b", func() bool { return dutyOf(t, addr, "d").Note == "b" })
	if (<-believes).Err() != nil {
		t.Error("a does not believe in itself any more: this shows nothing")
	}
	p.cutAll.Store(false)
	waitFor(t, "an effect of a is refused", refused.Load)
	if d := dutyOf(t, addr, "d"); d.Note != "b" || d.Controller != "b" {
		t.Errorf("an older token counted: %+v", d)
	}
}

// Work that ignores its cancelled context goes on by itself, but its effects are
// refused, and its warden does not begin it a second time beside it.
func TestWorkThatDoesNotEnd(t *testing.T) {
	_, addr := startNode(t, nil)
	p := startProxy(t, addr)
	var running, most atomic.Int32
	end := make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(end) }))
	work := func(ctx context.Context, g *Grant) error {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		<-end // deaf
		return nil
	}
	warden(t, p.addr, "a", 500*time.Millisecond, map[string]Work{"d": work})
	waitFor(t, "it works", func() bool { return running.Load() == 1 })
	p.cutAll.Store(true)
	waitFor(t, "the store has ended the session", func() bool { return dutyOf(t, addr, "d").Holder == "" })
	var began sync.Map
	warden(t, addr, "b", 500*time.Millisecond, map[string]Work{"d": until(&began, "b")})
	waitFor(t, "b has it", func() bool { return count(&began) == 1 })
	p.cutAll.Store(false)
	waitFor(t, "a has a session again", func() bool { return len(duties(t, addr).Sessions) == 2 })
	if most.Load() != 1 {
		t.Errorf("%d at once", most.Load())
	}
}

// The answer to a grant is lost: the asker asks again by the same request, or
// finds its token by the poll. It never works twice under one.
func TestTheAnswerToAGrantIsLost(t *testing.T) {
	_, addr := startNode(t, nil)
	p := startProxy(t, addr)
	p.loseReply.Store(3)
	var began sync.Map
	var starts atomic.Int32
	work := func(ctx context.Context, g *Grant) error {
		starts.Add(1)
		return until(&began, "a")(ctx, g)
	}
	warden(t, p.addr, "a", 2*time.Second, map[string]Work{"d": work})
	waitFor(t, "it works", func() bool { return starts.Load() == 1 })
	d := dutyOf(t, addr, "d")
	if name, ok := began.Load(d.Token); !ok || name != "a" || d.Term != 1 {
		t.Errorf("holds %+v", d)
	}
}

// Two wardens with one name are two: each has a session, and one of them the duty.
// One that is started again faster than its lease waits for that.
func TestTwoWithOneName(t *testing.T) {
	_, addr := startNode(t, nil)
	var began sync.Map
	warden(t, addr, "same", time.Second, map[string]Work{"d": until(&began, "first")})
	waitFor(t, "one works", func() bool { return count(&began) == 1 })
	token := dutyOf(t, addr, "d").Token
	warden(t, addr, "same", time.Second, map[string]Work{"d": until(&began, "second")})
	waitFor(t, "two sessions", func() bool { return len(duties(t, addr).Sessions) == 2 })
	if d := dutyOf(t, addr, "d"); d.Token != token || count(&began) != 1 {
		t.Errorf("moved without a reason: %+v", d)
	}
}

// A store that is restored from a backup grants no token that came before.
func TestTokensDoNotGoBack(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var backup []byte
	if _, err := c.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &backup); err != nil {
		t.Fatal(err)
	}
	var began sync.Map
	stop := warden(t, addr, "a", time.Second, map[string]Work{"d": until(&began, "a")})
	waitFor(t, "it works", func() bool { return count(&began) == 1 })
	before := dutyOf(t, addr, "d").Token
	stop()
	if _, err := c.Do(ctx, http.MethodPut, registry.SnapshotPath, backup, nil); err != nil {
		t.Fatal(err)
	}
	warden(t, addr, "b", time.Second, map[string]Work{"d": until(&began, "b")})
	waitFor(t, "it works again", func() bool { return count(&began) == 2 })
	if after := dutyOf(t, addr, "d").Token; after <= before {
		t.Errorf("token %d after %d", after, before)
	}
	// The same in a group that never knew of them: the backup alone and a later epoch.
	s, err := registry.ReadState(strings.NewReader(string(backup)))
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(registry.Command{Op: registry.OpEpoch, Epoch: "later", At: time.Now().Add(time.Second).UnixMilli()})
	s.Apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "x", Controller: "x", TTL: time.Second}})
	if a := s.Apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "x"}}); a.Token <= before {
		t.Errorf("a new group's token %d after %d", a.Token, before)
	}
}

// A duty that fails is tried ever more seldom; one that kills its holders counts
// as failing, too; work that lasts clears the count.
func TestFailuresBackOff(t *testing.T) {
	s := registry.NewState()
	do := func(c registry.Command) registry.Result { return s.Apply(c) }
	for i := range 3 {
		id := fmt.Sprint(i)
		do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: id, Controller: id, TTL: time.Second}})
		do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: id}})
		do(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{id}, Failed: true}) // killed
	}
	if d := s.Roles["d"]; d.Failures != 3 {
		t.Fatalf("%+v", d)
	}
	h := &Candidate{o: Options{Name: "w", Roles: map[string]Work{"d": nil}, TTL: time.Second}, began: time.Now(), grants: map[string]*Grant{},
		stuck: map[string]bool{}, tokens: map[string]int64{}, away: map[string]time.Time{}, seen: map[string]time.Time{}, news: make(chan struct{}, 1)}
	h.lease = Lease{TTL: time.Minute}
	h.lease.Renew(time.Minute)
	h.see(registry.RoleList{Revision: 1, Roles: []registry.Role{s.Roles["d"]}, Sessions: []registry.Session{{ID: "x", Controller: "w"}}})
	wait := time.Hour
	if names := h.wanted(&wait); len(names) != 0 || wait < failWait || wait > 3*failWait {
		t.Errorf("asks for %v, waits %v", names, wait)
	}
	do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "l", Controller: "l", TTL: time.Second}})
	do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "l"}, At: 1000})
	if do(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{"l"}, Failed: true, At: 9000}); s.Roles["d"].Failures != 1 {
		t.Errorf("a holder that died after it had lasted: %+v", s.Roles["d"])
	}
	do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "g", Controller: "g", TTL: time.Second}})
	a := do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "g"}})
	do(registry.Command{Op: registry.OpNote, Role: "d", Token: a.Token, Note: "7"})
	if a = do(registry.Command{Op: registry.OpNote, Role: "d", Token: a.Token, Healthy: true}); a.Status != 200 || s.Roles["d"].Failures != 0 || s.Roles["d"].Note != "7" {
		t.Errorf("%+v, %+v", a, s.Roles["d"])
	}
}

// A grant tells where the holder before stood at that moment: the list that the
// asker has seen may be older than its last step.
func TestAGrantTellsWhereTheWorkStands(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	post := func(path string, body, out any) {
		t.Helper()
		if _, err := c.Do(t.Context(), http.MethodPost, path, body, out); err != nil {
			t.Fatal(err)
		}
	}
	post(registry.SessionsPath, registry.SessionRequest{ID: "x", Controller: "x", TTLMS: 60000}, nil)
	var a registry.Result
	post(registry.RolesPath+"/d/grant", registry.RoleRequest{Session: "x"}, &a)
	post(registry.RolesPath+"/d/note", registry.RoleRequest{Token: a.Token, Note: "new"}, nil)
	post(registry.RolesPath+"/d/release", registry.RoleRequest{Token: a.Token}, nil)
	notes := make(chan string, 1)
	h := &Candidate{o: Options{Client: c, Name: "w", TTL: time.Minute, Log: quiet(), Metrics: NewMetrics(), Roles: map[string]Work{"d": func(_ context.Context, g *Grant) error {
		notes <- g.Note
		return nil
	}}}, began: time.Now(), session: "x", grants: map[string]*Grant{}, stuck: map[string]bool{}, tokens: map[string]int64{}, away: map[string]time.Time{},
		seen: map[string]time.Time{}, news: make(chan struct{}, 1)}
	h.lease = Lease{TTL: time.Minute}
	h.lease.Renew(time.Minute)
	h.see(registry.RoleList{Revision: 1, Roles: []registry.Role{{Name: "d", Note: "old"}}})
	h.ask(t.Context(), "d")
	if note := <-notes; note != "new" {
		t.Errorf("begins at %q", note)
	}
	h.wg.Wait()
}

// Operators take a duty away: its work ends, its token is refused, nobody has it
// until it is let go again.
func TestHeldByTheOperators(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	var began sync.Map
	ended := make(chan error, 10)
	work := func(ctx context.Context, g *Grant) error {
		began.Store(g.Token, "a")
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return nil
	}
	warden(t, addr, "a", time.Second, map[string]Work{"d": work})
	waitFor(t, "it works", func() bool { return count(&began) == 1 })
	hold := func(off bool) {
		if _, err := c.Do(t.Context(), http.MethodPost, registry.RolesPath+"/d/hold", registry.RoleRequest{Disabled: off}, nil); err != nil {
			t.Fatal(err)
		}
	}
	hold(true)
	if cause := <-ended; !errors.Is(cause, ErrRoleDisabled) {
		t.Errorf("ended by %v", cause)
	}
	if d := dutyOf(t, addr, "d"); d.Holder != "" || !d.Disabled {
		t.Errorf("%+v", d)
	}
	hold(false)
	waitFor(t, "it works again", func() bool { return count(&began) == 2 })
}

// list-keeper ends what was not heard of, and nobody does while no warden is there.
func TestListKeeper(t *testing.T) {
	_, addr := startNode(t, func(c *registry.Config) { c.ExpiryGuard.ExpiredBy = "duty" })
	c := newClient(t, addr)
	reg := registry.Registration{ID: "s-1", Address: "127.0.0.1:9", Zone: "a", Flavor: "agent", TTLMS: 500}
	if _, err := c.Do(t.Context(), http.MethodPost, registry.MembersPath, reg, nil); err != nil {
		t.Fatal(err)
	}
	members := func() int {
		var all []registry.Member
		if _, err := c.Do(t.Context(), http.MethodGet, registry.MembersPath, nil, &all); err != nil {
			t.Fatal(err)
		}
		return len(all)
	}
	if err := (&Grant{Role: RegistrationExpiry, Token: 7, h: &Candidate{o: Options{Client: c, Metrics: NewMetrics()}}, cancel: func(error) {}}).Do(t.Context(), http.MethodPost, registry.ExpirePath, struct{}{}, nil); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("a token that nobody was granted: %v", err)
	}
	warden(t, addr, "a", time.Second, map[string]Work{RegistrationExpiry: ExpireRegistrations})
	waitFor(t, "the lapse", func() bool { return members() == 0 })
}

// Fair: wardens share many duties, and none holds much more than its part.
func TestShared(t *testing.T) {
	_, addr := startNode(t, nil)
	var began sync.Map
	work := map[string]Work{}
	c := newClient(t, addr)
	hold := func(off bool) {
		for name := range work {
			if _, err := c.Do(t.Context(), http.MethodPost, registry.RolesPath+"/"+name+"/hold", registry.RoleRequest{Disabled: off}, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range 30 {
		work[fmt.Sprint("d-", i)] = until(&began, "x")
	}
	hold(true) // until all three are there: one that is alone takes all
	for i := range 3 {
		warden(t, addr, fmt.Sprint("w-", i), 2*time.Second, work)
	}
	waitFor(t, "three wardens", func() bool { return len(duties(t, addr).Sessions) == 3 })
	hold(false)
	waitFor(t, "all are held", func() bool {
		l := duties(t, addr)
		return len(l.Roles) == 30 && !slices.ContainsFunc(l.Roles, func(d registry.Role) bool { return d.Holder == "" })
	})
	per := map[string]int{}
	for _, d := range duties(t, addr).Roles {
		per[d.Controller]++
	}
	if len(per) < 2 {
		t.Errorf("held by %v", per)
	}
}

// A folder takes no older token than it has seen, over any order of tries.
func TestFolderFence(t *testing.T) {
	dir := t.TempDir()
	for _, x := range []struct {
		token int64
		ok    bool
	}{{5, true}, {5, true}, {4, false}, {9, true}, {5, false}, {9, true}} {
		if err := Fence(dir, "salvage", x.token); (err == nil) != x.ok || err != nil && !errors.Is(err, ErrFenced) {
			t.Errorf("token %d: %v", x.token, err)
		}
	}
	if err := Fence(dir, "rollout", 1); err != nil {
		t.Errorf("another duty: %v", err)
	}
}

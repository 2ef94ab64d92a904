package zones

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/registry/registrytest"
)

// fleet is a list service with endpoints in zones a, b and c.
type fleet struct {
	t    *testing.T
	addr string
	c    *client.Client
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	g := registrytest.Start(t, 1, nil)
	return &fleet{t: t, addr: g.Addrs[0], c: g.Client()}
}

func (f *fleet) client() *client.Client { return registrytest.Client(f.t, f.addr) }

func (f *fleet) do(method, path string, body, out any) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := f.c.Do(ctx, method, path, body, out); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) add(zone string, cell, n int) {
	for i := range n {
		f.do(http.MethodPost, registry.MembersPath, registry.Registration{ID: fmt.Sprintf("%s-%d-%d", zone, cell, i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+cell*100+int(zone[0]%8)*10+i),
			Zone: zone, Flavor: "agent", Cell: cell}, nil)
	}
}

// drained are the members that are not up, by id.
func (f *fleet) drained() (ids []string) {
	var all []registry.Member
	f.do(http.MethodGet, registry.MembersPath, nil, &all)
	for _, m := range all {
		if m.Phase != discovery.Up {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) order(name string, s *Spec, wish string) {
	f.t.Helper()
	o := registry.Operation{DesiredState: wish}
	if s != nil {
		o.Spec, _ = json.Marshal(s) // strings and numbers alone
	}
	f.do(http.MethodPut, registry.OperationsPath+"/"+Role+"/"+name, o, nil)
}

func (f *fleet) says(name string) (o registry.Operation) {
	var all []registry.Operation
	f.do(http.MethodGet, registry.OperationsPath, nil, &all)
	for _, x := range all {
		if x.Name == name {
			o = x
		}
	}
	return o
}

func (f *fleet) wait(what string, cond func() bool) {
	f.t.Helper()
	registrytest.WaitFor(f.t, what, cond)
}

func (f *fleet) warden(name string) (stop func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	done, c := make(chan struct{}), f.client()
	go func() {
		defer close(done)
		if err := leader.Run(ctx, leader.Options{Client: c, Name: name, TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: Work(c)}, Log: registrytest.Quiet()}); err != nil {
			f.t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	f.t.Cleanup(stop)
	return stop
}

// What a destination keeps counts by size, over what is up; one that lives in one
// zone only keeps nothing.
func TestRooms(t *testing.T) {
	var all []registry.Member
	add := func(zone string, cell int, size float64, phase string) {
		all = append(all, registry.Member{Member: discovery.Member{ID: fmt.Sprint(len(all)), Locality: zone, Cell: cell, Size: size, Phase: phase}})
	}
	add("a", 1, 2, discovery.Up)
	add("b", 1, 1, discovery.Up)
	add("c", 1, 1, discovery.Draining)
	add("b", 2, 0, discovery.Up)
	add("a", 3, 1, discovery.Up)
	rooms := CapacitiesWithout(all, "b")
	if want := []Capacity{{1, 3, 2}, {2, 1, 0}}; !slices.Equal(rooms, want) {
		t.Errorf("%v, want %v", rooms, want)
	}
	if short := Insufficient(rooms, 0.5); len(short) != 1 || short[0].Cell != 2 {
		t.Errorf("short: %v", short)
	}
	if short := Insufficient(rooms, 0.7); len(short) != 2 {
		t.Errorf("short: %v", short)
	}
	if len(CapacitiesWithout(all, "d")) != 0 {
		t.Error("a zone with nothing up has rooms")
	}
}

// Out and back, with a holder that leaves in each: all of the zone, nothing else,
// one by one; what an operator had drained before stays so.
func TestOutAndBackOverHolders(t *testing.T) {
	f := startFleet(t)
	for cell := range 4 {
		f.add("a", cell, 1)
		f.add("b", cell, 2)
	}
	f.add("a", 0, 2) // the second is another of that zone
	f.do(http.MethodPost, registry.MembersPath+"/b-3-1/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.order("one", &Spec{Zone: "b", Rate: 8, MinFraction: 0.3}, registry.DesiredRun)
	stop := f.warden("w1")
	f.wait("two are out", func() bool { return len(f.drained()) >= 3 })
	stop()
	f.warden("w2")
	f.wait("all are out", func() bool { return strings.HasPrefix(f.says("one").Message, "out: all 7") })
	if got := f.drained(); len(got) != 8 || slices.ContainsFunc(got, func(id string) bool { return id[0] != 'b' }) {
		t.Errorf("drained: %v", got)
	}
	f.order("one", nil, registry.DesiredAbort)
	f.wait("one is back", func() bool { return len(f.drained()) < 8 })
	f.order("one", nil, registry.DesiredPause)
	f.wait("held", func() bool { return f.says("one").Message == "held" })
	held := f.drained()
	time.Sleep(500 * time.Millisecond) // four steps' time, in which none may be done
	if got := f.drained(); !slices.Equal(got, held) {
		t.Errorf("held at %v, went on to %v", held, got)
	}
	f.order("one", nil, registry.DesiredAbort)
	f.wait("returned", func() bool { o := f.says("one"); return o.Done && o.Message == "returned" })
	if got := f.drained(); !slices.Equal(got, []string{"b-3-1"}) {
		t.Errorf("not up after the return: %v", got)
	}
}

// Refused with the figures where a destination would keep too little; forced, it is
// done all the same.
func TestRefusedUnlessForced(t *testing.T) {
	f := startFleet(t)
	f.add("a", 1, 1)
	f.add("b", 1, 1)
	f.add("b", 2, 1) // lives there alone
	f.warden("w1")
	f.order("no", &Spec{Zone: "b", Rate: 20, MinFraction: 0.5}, registry.DesiredRun)
	f.wait("refused", func() bool { return f.says("no").Done })
	if says := f.says("no").Message; says != "refused: destination 2 would keep 0 of 1; 0.5 of it is wanted" || len(f.drained()) != 0 {
		t.Errorf("%q, drained %v", says, f.drained())
	}
	f.order("yes", &Spec{Zone: "b", Rate: 20, MinFraction: 0.5, Force: true}, registry.DesiredRun)
	f.wait("forced", func() bool { return len(f.drained()) == 2 })
	f.order("bad", &Spec{Zone: "b", Rate: 0}, registry.DesiredRun)
	f.wait("told what is wrong", func() bool { return strings.Contains(f.says("bad").Message, "rate: 0") })
}

// One zone at a time, unless it is forced; and where others drain what was left
// meanwhile, the evacuation waits.
func TestOneZoneAtATime(t *testing.T) {
	f := startFleet(t)
	for _, zone := range []string{"a", "b", "c"} {
		f.add(zone, 1, 2)
	}
	f.order("first", &Spec{Zone: "b", Rate: 4, MinFraction: 0.6}, registry.DesiredRun)
	f.warden("w1")
	f.wait("one is out", func() bool { return len(f.drained()) == 1 })
	f.order("second", &Spec{Zone: "c", Rate: 20, MinFraction: 0.1}, registry.DesiredRun)
	f.wait("the second waits", func() bool { return f.says("second").Message == "waits: first is out" })
	f.do(http.MethodPost, registry.MembersPath+"/a-1-0/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.do(http.MethodPost, registry.MembersPath+"/c-1-0/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.wait("the first waits, or was done before", func() bool {
		says := f.says("first").Message
		return strings.HasPrefix(says, "waits: destination 1") || strings.HasPrefix(says, "out: ")
	})
	f.order("first", nil, registry.DesiredAbort)
	f.wait("the second is out", func() bool { return strings.HasPrefix(f.says("second").Message, "out: ") })
	if got := f.drained(); !slices.Equal(got, []string{"a-1-0", "c-1-0", "c-1-1"}) {
		t.Errorf("drained: %v", got)
	}
	f.order("third", &Spec{Zone: "a", Rate: 20, MinFraction: 0.1, Force: true}, registry.DesiredRun)
	f.wait("a forced one does not wait", func() bool { return strings.HasPrefix(f.says("third").Message, "out: ") })
}

// A step under an older token is refused: a holder that was paused drains nothing.
func TestAnOlderTokenDrainsNothing(t *testing.T) {
	f := startFleet(t)
	f.add("a", 1, 1)
	f.add("b", 1, 1)
	var old *leader.Grant
	got := make(chan struct{})
	stop := func(w leader.Work) func() {
		ctx, cancel := context.WithCancel(t.Context())
		done, c := make(chan struct{}), f.client()
		go func() {
			defer close(done)
			leader.Run(ctx, leader.Options{Client: c, Name: "w", TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: w}, Log: registrytest.Quiet()}) // ends by its context
		}()
		return func() { cancel(); <-done }
	}(func(ctx context.Context, g *leader.Grant) error { old = g; close(got); <-ctx.Done(); return nil })
	<-got
	stop()
	w := &worker{c: f.c, g: old, due: map[string]time.Time{}}
	if err := w.phase(context.Background(), "b-1-0", discovery.Draining); !errors.Is(err, leader.ErrLeaseLost) || len(f.drained()) != 0 {
		t.Errorf("%v, drained %v", err, f.drained())
	}
}

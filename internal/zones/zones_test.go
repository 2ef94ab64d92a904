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

// fleet is a list service to which tests add the endpoints of zones.
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

// drained returns the sorted ids of the members that are not up.
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

func (f *fleet) request(name string, s *Spec, desired string) {
	f.t.Helper()
	o := registry.Operation{DesiredState: desired}
	if s != nil {
		o.Spec, _ = json.Marshal(s) // cannot fail: the spec has only strings, numbers and booleans
	}
	f.do(http.MethodPut, registry.OperationsPath+"/"+Role+"/"+name, o, nil)
}

func (f *fleet) operation(name string) (o registry.Operation) {
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

func (f *fleet) startController(name string) (stop func()) {
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

// Capacities sum up the sizes of the endpoints that are up, where an endpoint without a size
// counts as 1. Destinations without endpoints in the zone are left out, and a destination
// with all of its endpoints in the zone retains nothing.
func TestCapacitiesWithout(t *testing.T) {
	var all []registry.Member
	add := func(zone string, cell int, size float64, phase string) {
		all = append(all, registry.Member{Member: discovery.Member{ID: fmt.Sprint(len(all)), Locality: zone, Cell: cell, Size: size, Phase: phase}})
	}
	add("a", 1, 2, discovery.Up)
	add("b", 1, 1, discovery.Up)
	add("c", 1, 1, discovery.Draining)
	add("b", 2, 0, discovery.Up)
	add("a", 3, 1, discovery.Up)
	capacities := CapacitiesWithout(all, "b")
	if want := []Capacity{{1, 3, 2}, {2, 1, 0}}; !slices.Equal(capacities, want) {
		t.Errorf("capacities %v, want %v", capacities, want)
	}
	if insufficient := Insufficient(capacities, 0.5); len(insufficient) != 1 || insufficient[0].Cell != 2 {
		t.Errorf("capacities that do not retain 0.5: %v, want destination 2", insufficient)
	}
	if insufficient := Insufficient(capacities, 0.7); len(insufficient) != 2 {
		t.Errorf("capacities that do not retain 0.7: %v, want two", insufficient)
	}
	if len(CapacitiesWithout(all, "d")) != 0 {
		t.Error("got capacities for a zone without endpoints that are up")
	}
}

// An evacuation drains all endpoints of its zone and no others, one by one, even though the
// leader changes in between. It stops while it is paused. Its abort undrains the endpoints
// again, but not the one that an operator had drained before.
func TestEvacuationAndReturnAcrossLeaders(t *testing.T) {
	f := startFleet(t)
	for cell := range 4 {
		f.add("a", cell, 1)
		f.add("b", cell, 2)
	}
	f.add("a", 0, 2) // adds a-0-1, and registers a-0-0 again
	f.do(http.MethodPost, registry.MembersPath+"/b-3-1/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.request("one", &Spec{Zone: "b", Rate: 8, MinFraction: 0.3}, registry.DesiredRun)
	stop := f.startController("w1")
	f.wait("two drained endpoints besides that of the operator", func() bool { return len(f.drained()) >= 3 })
	stop()
	f.startController("w2")
	f.wait("all 7 other endpoints of the zone to be drained", func() bool { return strings.HasPrefix(f.operation("one").Message, "out: all 7") })
	if got := f.drained(); len(got) != 8 || slices.ContainsFunc(got, func(id string) bool { return id[0] != 'b' }) {
		t.Errorf("drained: %v, want the 8 endpoints of zone b", got)
	}
	f.request("one", nil, registry.DesiredAbort)
	f.wait("the first undrained endpoint", func() bool { return len(f.drained()) < 8 })
	f.request("one", nil, registry.DesiredPause)
	f.wait("the pause of the return", func() bool { return f.operation("one").Message == "held" })
	held := f.drained()
	time.Sleep(500 * time.Millisecond) // the time of four steps, none of which may be done
	if got := f.drained(); !slices.Equal(got, held) {
		t.Errorf("drained at the pause: %v, and later: %v; want no change", held, got)
	}
	f.request("one", nil, registry.DesiredAbort)
	f.wait("the end of the return", func() bool { o := f.operation("one"); return o.Done && o.Message == "returned" })
	if got := f.drained(); !slices.Equal(got, []string{"b-3-1"}) {
		t.Errorf("drained after the return: %v, want only b-3-1", got)
	}
}

// An evacuation that would leave a destination too little capacity is rejected, and its
// message has the capacities. A forced evacuation is carried out all the same. One with an
// invalid spec is reported.
func TestEvacuationRejectedUnlessForced(t *testing.T) {
	f := startFleet(t)
	f.add("a", 1, 1)
	f.add("b", 1, 1)
	f.add("b", 2, 1) // the only endpoint of destination 2
	f.startController("w1")
	f.request("no", &Spec{Zone: "b", Rate: 20, MinFraction: 0.5}, registry.DesiredRun)
	f.wait("the rejection of the evacuation", func() bool { return f.operation("no").Done })
	if message := f.operation("no").Message; message != "refused: destination 2 would keep 0 of 1; 0.5 of it is wanted" || len(f.drained()) != 0 {
		t.Errorf("message %q, drained %v", message, f.drained())
	}
	f.request("yes", &Spec{Zone: "b", Rate: 20, MinFraction: 0.5, Force: true}, registry.DesiredRun)
	f.wait("the forced evacuation to drain both endpoints", func() bool { return len(f.drained()) == 2 })
	f.request("bad", &Spec{Zone: "b", Rate: 0}, registry.DesiredRun)
	f.wait("the report of the invalid rate", func() bool { return strings.Contains(f.operation("bad").Message, "rate: 0") })
}

// A second evacuation waits until the first is done, unless it is forced. The first one
// waits while too little capacity remains because operators drain endpoints of other zones.
func TestOneZoneAtATime(t *testing.T) {
	f := startFleet(t)
	for _, zone := range []string{"a", "b", "c"} {
		f.add(zone, 1, 2)
	}
	f.request("first", &Spec{Zone: "b", Rate: 4, MinFraction: 0.6}, registry.DesiredRun)
	f.startController("w1")
	f.wait("the first evacuation to drain an endpoint", func() bool { return len(f.drained()) == 1 })
	f.request("second", &Spec{Zone: "c", Rate: 20, MinFraction: 0.1}, registry.DesiredRun)
	f.wait("the second evacuation to wait for the first", func() bool { return f.operation("second").Message == "waits: first is out" })
	f.do(http.MethodPost, registry.MembersPath+"/a-1-0/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.do(http.MethodPost, registry.MembersPath+"/c-1-0/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.wait("the first evacuation to wait for capacity, or to have drained its zone before", func() bool {
		message := f.operation("first").Message
		return strings.HasPrefix(message, "waits: destination 1") || strings.HasPrefix(message, "out: ")
	})
	f.request("first", nil, registry.DesiredAbort)
	f.wait("the second evacuation to drain its zone", func() bool { return strings.HasPrefix(f.operation("second").Message, "out: ") })
	if got := f.drained(); !slices.Equal(got, []string{"a-1-0", "c-1-0", "c-1-1"}) {
		t.Errorf("drained: %v, want a-1-0 and both endpoints of zone c", got)
	}
	f.request("third", &Spec{Zone: "a", Rate: 20, MinFraction: 0.1, Force: true}, registry.DesiredRun)
	f.wait("the forced evacuation to drain its zone without waiting", func() bool { return strings.HasPrefix(f.operation("third").Message, "out: ") })
}

// A former leader cannot drain an endpoint: the list service rejects its token.
func TestOlderTokenDrainsNothing(t *testing.T) {
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
			leader.Run(ctx, leader.Options{Client: c, Name: "w", TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: w}, Log: registrytest.Quiet()}) // ends when its context is canceled
		}()
		return func() { cancel(); <-done }
	}(func(ctx context.Context, g *leader.Grant) error { old = g; close(got); <-ctx.Done(); return nil })
	<-got
	stop()
	w := newWorker(f.c, old)
	if err := w.setPhase(context.Background(), "b-1-0", discovery.Draining); !errors.Is(err, leader.ErrLeaseLost) || len(f.drained()) != 0 {
		t.Errorf("error %v, want ErrLeaseLost; drained %v, want none", err, f.drained())
	}
}

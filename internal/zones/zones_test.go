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
	t           *testing.T
	addr        string
	listService *client.Client
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	group := registrytest.Start(t, 1, nil)
	return &fleet{t: t, addr: group.Addrs[0], listService: group.Client()}
}

func (f *fleet) client() *client.Client { return registrytest.Client(f.t, f.addr) }

func (f *fleet) send(method, path string, body, out any) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := f.listService.Do(ctx, method, path, body, out); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) addEndpoints(zone string, cell, count int) {
	for i := range count {
		f.send(http.MethodPost, registry.MembersPath, registry.Registration{ID: fmt.Sprintf("%s-%d-%d", zone, cell, i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+cell*100+int(zone[0]%8)*10+i),
			Zone: zone, Flavor: "agent", Cell: cell}, nil)
	}
}

// drained returns the sorted ids of the members that are not up.
func (f *fleet) drained() (ids []string) {
	var members []registry.Member
	f.send(http.MethodGet, registry.MembersPath, nil, &members)
	for _, member := range members {
		if member.Phase != discovery.Up {
			ids = append(ids, member.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) putOperation(name string, spec *Spec, desired string) {
	f.t.Helper()
	op := registry.Operation{DesiredState: desired}
	if spec != nil {
		op.Spec, _ = json.Marshal(spec) // cannot fail: the spec has only strings, numbers and booleans
	}
	f.send(http.MethodPut, registry.OperationsPath+"/"+Role+"/"+name, op, nil)
}

func (f *fleet) operation(name string) (op registry.Operation) {
	var operations []registry.Operation
	f.send(http.MethodGet, registry.OperationsPath, nil, &operations)
	for _, candidate := range operations {
		if candidate.Name == name {
			op = candidate
		}
	}
	return op
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	registrytest.WaitFor(f.t, what, condition)
}

func (f *fleet) startController(name string) (stop func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	done, c := make(chan struct{}), f.client()
	go func() {
		defer close(done)
		if err := leader.Run(ctx, leader.Options{Client: c, Name: name, TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: Work(c)}, Log: registrytest.DiscardLog()}); err != nil {
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
func TestCapacitiesWithoutZoneSumSizesOfUpEndpoints(t *testing.T) {
	var members []registry.Member
	addMember := func(zone string, cell int, size float64, phase string) {
		members = append(members, registry.Member{Member: discovery.Member{ID: fmt.Sprint(len(members)), Locality: zone, Cell: cell, Size: size, Phase: phase}})
	}
	addMember("a", 1, 2, discovery.Up)
	addMember("b", 1, 1, discovery.Up)
	addMember("c", 1, 1, discovery.Draining)
	addMember("b", 2, 0, discovery.Up)
	addMember("a", 3, 1, discovery.Up)
	capacities := CapacitiesWithout(members, "b")
	if want := []Capacity{{1, 3, 2}, {2, 1, 0}}; !slices.Equal(capacities, want) {
		t.Errorf("capacities %v, want %v", capacities, want)
	}
	if insufficient := Insufficient(capacities, 0.5); len(insufficient) != 1 || insufficient[0].Cell != 2 {
		t.Errorf("capacities that do not retain 0.5: %v, want destination 2", insufficient)
	}
	if insufficient := Insufficient(capacities, 0.7); len(insufficient) != 2 {
		t.Errorf("capacities that do not retain 0.7: %v, want two", insufficient)
	}
	if len(CapacitiesWithout(members, "d")) != 0 {
		t.Error("got capacities for a zone without endpoints that are up")
	}
}

// An evacuation drains all endpoints of its zone and no others, one by one, even though the
// leader changes in between. It stops while it is paused. Its abort undrains the endpoints
// again, but not the one that an operator had drained before.
func TestEvacuationAndReturnChangeOnlyTheirZoneAcrossLeaders(t *testing.T) {
	f := startFleet(t)
	for cell := range 4 {
		f.addEndpoints("a", cell, 1)
		f.addEndpoints("b", cell, 2)
	}
	f.addEndpoints("a", 0, 2) // adds a-0-1, and registers a-0-0 again
	f.send(http.MethodPost, registry.MembersPath+"/b-3-1/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.putOperation("one", &Spec{Zone: "b", Rate: 8, MinFraction: 0.3}, registry.DesiredRun)
	stop := f.startController("w1")
	f.waitFor("two drained endpoints besides that of the operator", func() bool { return len(f.drained()) >= 3 })
	stop()
	f.startController("w2")
	f.waitFor("all 7 other endpoints of the zone to be drained", func() bool { return strings.HasPrefix(f.operation("one").Message, "out: all 7") })
	if got := f.drained(); len(got) != 8 || slices.ContainsFunc(got, func(id string) bool { return id[0] != 'b' }) {
		t.Errorf("drained: %v, want the 8 endpoints of zone b", got)
	}
	f.putOperation("one", nil, registry.DesiredAbort)
	f.waitFor("the first undrained endpoint", func() bool { return len(f.drained()) < 8 })
	f.putOperation("one", nil, registry.DesiredPause)
	f.waitFor("the pause of the return", func() bool { return f.operation("one").Message == "held" })
	drainedAtPause := f.drained()
	time.Sleep(500 * time.Millisecond) // the time of four steps, none of which may be done
	if got := f.drained(); !slices.Equal(got, drainedAtPause) {
		t.Errorf("drained at the pause: %v, and later: %v; want no change", drainedAtPause, got)
	}
	f.putOperation("one", nil, registry.DesiredAbort)
	f.waitFor("the end of the return", func() bool { op := f.operation("one"); return op.Done && op.Message == "returned" })
	if got := f.drained(); !slices.Equal(got, []string{"b-3-1"}) {
		t.Errorf("drained after the return: %v, want only b-3-1", got)
	}
}

// An evacuation that would leave a destination too little capacity is rejected, and its
// message has the capacities. A forced evacuation is carried out all the same. One with an
// invalid spec is reported.
func TestEvacuationRejectedUnlessForced(t *testing.T) {
	f := startFleet(t)
	f.addEndpoints("a", 1, 1)
	f.addEndpoints("b", 1, 1)
	f.addEndpoints("b", 2, 1) // the only endpoint of destination 2
	f.startController("w1")
	f.putOperation("no", &Spec{Zone: "b", Rate: 20, MinFraction: 0.5}, registry.DesiredRun)
	f.waitFor("the rejection of the evacuation", func() bool { return f.operation("no").Done })
	if message := f.operation("no").Message; message != "refused: destination 2 would keep 0 of 1; 0.5 of it is wanted" || len(f.drained()) != 0 {
		t.Errorf("message %q, drained %v", message, f.drained())
	}
	f.putOperation("yes", &Spec{Zone: "b", Rate: 20, MinFraction: 0.5, Force: true}, registry.DesiredRun)
	f.waitFor("the forced evacuation to drain both endpoints", func() bool { return len(f.drained()) == 2 })
	f.putOperation("bad", &Spec{Zone: "b", Rate: 0}, registry.DesiredRun)
	f.waitFor("the report of the invalid rate", func() bool { return strings.Contains(f.operation("bad").Message, "rate: 0") })
}

// A second evacuation waits until the first is done, unless it is forced. The first one
// waits while too little capacity remains because operators drain endpoints of other zones.
func TestSecondEvacuationWaitsUnlessForced(t *testing.T) {
	f := startFleet(t)
	for _, zone := range []string{"a", "b", "c"} {
		f.addEndpoints(zone, 1, 2)
	}
	f.putOperation("first", &Spec{Zone: "b", Rate: 4, MinFraction: 0.6}, registry.DesiredRun)
	f.startController("w1")
	f.waitFor("the first evacuation to drain an endpoint", func() bool { return len(f.drained()) == 1 })
	f.putOperation("second", &Spec{Zone: "c", Rate: 20, MinFraction: 0.1}, registry.DesiredRun)
	f.waitFor("the second evacuation to wait for the first", func() bool { return f.operation("second").Message == "waits: first is out" })
	f.send(http.MethodPost, registry.MembersPath+"/a-1-0/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.send(http.MethodPost, registry.MembersPath+"/c-1-0/phase", map[string]string{"phase": discovery.Draining}, nil)
	f.waitFor("the first evacuation to wait for capacity, or to have drained its zone before", func() bool {
		message := f.operation("first").Message
		return strings.HasPrefix(message, "waits: destination 1") || strings.HasPrefix(message, "out: ")
	})
	f.putOperation("first", nil, registry.DesiredAbort)
	f.waitFor("the second evacuation to drain its zone", func() bool { return strings.HasPrefix(f.operation("second").Message, "out: ") })
	if got := f.drained(); !slices.Equal(got, []string{"a-1-0", "c-1-0", "c-1-1"}) {
		t.Errorf("drained: %v, want a-1-0 and both endpoints of zone c", got)
	}
	f.putOperation("third", &Spec{Zone: "a", Rate: 20, MinFraction: 0.1, Force: true}, registry.DesiredRun)
	f.waitFor("the forced evacuation to drain its zone without waiting", func() bool { return strings.HasPrefix(f.operation("third").Message, "out: ") })
}

// A former leader cannot drain an endpoint: the list service rejects its token.
func TestDrainWithOlderTokenIsRejected(t *testing.T) {
	f := startFleet(t)
	f.addEndpoints("a", 1, 1)
	f.addEndpoints("b", 1, 1)
	var oldGrant *leader.Grant
	granted := make(chan struct{})
	stop := func(w leader.Work) func() {
		ctx, cancel := context.WithCancel(t.Context())
		done, c := make(chan struct{}), f.client()
		go func() {
			defer close(done)
			leader.Run(ctx, leader.Options{Client: c, Name: "w", TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: w}, Log: registrytest.DiscardLog()}) // ends when its context is canceled
		}()
		return func() { cancel(); <-done }
	}(func(ctx context.Context, g *leader.Grant) error {
		oldGrant = g
		close(granted)
		<-ctx.Done()
		return nil
	})
	<-granted
	stop()
	w := newWorker(f.listService, oldGrant)
	if err := w.setPhase(context.Background(), "b-1-0", discovery.Draining); !errors.Is(err, leader.ErrLeaseLost) || len(f.drained()) != 0 {
		t.Errorf("error %v, want ErrLeaseLost; drained %v, want none", err, f.drained())
	}
}

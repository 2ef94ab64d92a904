package relay

import (
	"fmt"
	"testing"

	"plovershore/internal/discovery/discoverytest"
)

// Calls to more endpoints than the relay may have descriptors, all within the idle timeout of
// a connection, must all be made without exceeding the limit: idle connections to other
// endpoints are closed.
func TestCallsToManyEndpointsStayWithinDescriptorLimit(t *testing.T) {
	const (
		descriptors = 256
		endpoints   = 600
	)
	ep := newFakeEndpoint(t, nil)
	disc := discoverytest.New(t)
	for i := range endpoints {
		disc.List.Members = append(disc.List.Members, ep.member(fmt.Sprintf("s-%d", i), i))
	}
	env := writeTestConfig(t, disc, 3)
	editConfig(t, env, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors))
	log := &lockedBuffer{}
	c := spawnLimited(t, env, log, descriptors)
	c.waitReady(t)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	maxDescriptors := 0
	for i := range endpoints {
		id := fmt.Sprintf("m%d", i)
		if s := cl.put(id, putFields("plain", 20000, i), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
		waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) > 0 })
		maxDescriptors = max(maxDescriptors, c.descriptorCount())
	}
	t.Logf("%d calls to as many endpoints: up to %d of %d descriptors", endpoints, maxDescriptors, descriptors)
	if n := log.occurrences("too many open files"); n > 0 || maxDescriptors >= descriptors {
		t.Errorf("the relay reached its descriptor limit; %d times it could open no file", n)
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if len(ep.calls) != endpoints {
		t.Errorf("%d calls were made", len(ep.calls))
	}
}

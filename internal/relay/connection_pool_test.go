package relay

import (
	"fmt"
	"testing"

	"plovershore/internal/discovery/discoverytest"
)

// Calls to each of many endpoints, within the time for which a connection stays idle,
// open no more connections than the pool's limit, and each call is made.
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
	most := 0
	for i := range endpoints {
		id := fmt.Sprintf("m%d", i)
		if s := cl.put(id, putFields("plain", 20000, i), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
		waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) > 0 })
		most = max(most, c.descriptorCount())
	}
	t.Logf("%d calls to as many endpoints: up to %d descriptors of %d", endpoints, most, descriptors)
	if n := log.occurrences("too many open files"); n > 0 || most >= descriptors {
		t.Errorf("out of descriptors %d times", n)
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if len(ep.calls) != endpoints {
		t.Errorf("%d calls", len(ep.calls))
	}
}

package relay

import (
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// Guards the start against silent discovery: the relay answers with the list
// that it was given.
func TestStartWithSilentDiscovery(t *testing.T) {
	d := discoverytest.New(t)
	d.Set(func(d *discoverytest.Server) { d.Silent = true })
	env := writeTestConfig(t, d, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Error(s)
	}
	_ = c
}

// Guards the start while discovery turns calls away: the list in the
// configuration serves, with no wait for a better one.
func TestStartUsesConfiguredListWhenDiscoveryRejects(t *testing.T) {
	r := newTestRelay(t)
	r.cfg.KnownList = &discovery.List{Complete: true, Members: []discovery.Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}}}
	r.mailbox.Put(discoveryRejectedEvent{})
	done := make(chan struct{})
	go func() { r.awaitFirstList(time.Hour); close(done) }()
	<-done
	if len(r.endpoints.byID) != 1 {
		t.Errorf("%d endpoints", len(r.endpoints.byID))
	}
}

package relay

import (
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// A relay must start and accept messages although discovery does not respond and its
// configuration has no list.
func TestStartAcceptsMessagesWithSilentDiscovery(t *testing.T) {
	disc := discoverytest.New(t)
	disc.Set(func(disc *discoverytest.Server) { disc.Silent = true })
	env := writeTestConfig(t, disc, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Error(s)
	}
	_ = c
}

// If discovery rejects calls, a starting relay must use the list of its configuration at once
// and not wait for a newer one.
func TestStartUsesConfiguredListWhenDiscoveryRejects(t *testing.T) {
	r := newTestRelay(t)
	r.cfg.KnownList = &discovery.List{Complete: true, Members: []discovery.Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}}}
	r.mailbox.Put(discoveryRejectedEvent{})
	done := make(chan struct{})
	go func() { r.awaitFirstList(time.Hour); close(done) }()
	<-done
	if len(r.endpoints.byID) != 1 {
		t.Errorf("%d endpoints, want the one of the configured list", len(r.endpoints.byID))
	}
}

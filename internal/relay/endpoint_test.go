package relay

import (
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// After a machine was away, the idle connections to it are closed, as they may be dead
// without notice; one slow call among others is no reason.
func TestUnansweredCallAfterSilenceSuggestsDeadConnections(t *testing.T) {
	ep := &endpoint{}
	for i, x := range []struct {
		o    outcome
		now  policy.Time
		want bool
	}{
		{outcome{kind: policy.Delivered, status: 200, latency: 10}, 1000, false},
		{outcome{kind: policy.TimedOut, latency: 500}, 1100, false}, // it was sent at 600, and 1000 was answered
		{outcome{kind: policy.TimedOut, latency: 500}, 2000, true},
		{outcome{kind: policy.ConnectionReset}, 2100, true},
		{outcome{kind: policy.ConnectFailed}, 2200, true},
		{outcome{kind: policy.Rejected, status: 503}, 2300, false},
		{outcome{kind: policy.Cancelled, latency: 50}, 2320, false},
	} {
		if got := ep.updateLiveness(&x.o, x.now); got != x.want {
			t.Errorf("%d: %v", i, got)
		}
	}
}

// A new idle timeout reaches the connections, and the transport is replaced only when
// the timeout changes.
func TestTransportIsReplacedWhenIdleTimeoutChanges(t *testing.T) {
	cfg := parseTestConfig(t)
	ep := &endpoint{}
	ep.setIdleTimeout(cfg, 2, time.Second)
	first := ep.transport
	if ep.setIdleTimeout(cfg, 2, time.Second); ep.transport != first {
		t.Error("replaced with no change")
	}
	if ep.setIdleTimeout(cfg, 2, 128*time.Millisecond); ep.transport == first || ep.transport.IdleConnTimeout != 128*time.Millisecond {
		t.Errorf("idle for %v at most, want 128ms", ep.transport.IdleConnTimeout)
	}
}

// After a reset on an idle connection, the next call uses connections that may not be
// idle for as long.
func TestResetOnIdleConnectionShortensIdleTimeout(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	r := newTestRelay(t)
	r.updateList(&discovery.List{Complete: true, Members: []discovery.Member{ep.member("s-1", 7)}}, policy.ListFull)
	at := r.endpoints.byID["s-1"]
	send1 := func(id string) {
		m := r.newMessage(&wal.Record{Kind: wal.KindAccepted, ID: id, Dest: 7, Class: "plain"})
		m.isAcknowledged, m.isLogged, m.attempts = true, true, 1
		r.wal.Submit(m.record, nil)
		r.startBatch(&batch{endpoint: at, sends: []send{{message: m, timeoutAt: r.clock.now() + 20e6}}})
	}
	send1("a")
	if got, want := at.transport.IdleConnTimeout, 9*time.Second; got != want {
		t.Fatalf("at first idle for %v at most, want %v", got, want)
	}
	<-r.mailbox.Ready()
	for _, e := range r.mailbox.TakeAll(nil) {
		r.finishCall(e.(callDoneEvent).call, []outcome{{kind: policy.ConnectionReset, idleTime: 300 * time.Millisecond}})
	}
	send1("b")
	if got, want := at.transport.IdleConnTimeout, 256*time.Millisecond; got != want {
		t.Errorf("after a reset idle for %v at most, want %v", got, want)
	}
	<-r.mailbox.Ready()
}

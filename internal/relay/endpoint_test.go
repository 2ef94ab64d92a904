package relay

import (
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// After a reset, a failed connect, or a timeout or cancellation with no response to any call
// since that call began, the machine of the endpoint may have been away. The idle connections
// to it may then be dead without any sign of it, so they must be closed. One slow call while
// others are answered is no reason to close them.
func TestUpdateLivenessSuspectsConnectionsAfterResetOrSilence(t *testing.T) {
	ep := &endpoint{}
	for i, test := range []struct {
		o    outcome
		now  policy.Time
		want bool
	}{
		{outcome{kind: policy.Delivered, status: 200, latency: 10}, 1000, false},
		{outcome{kind: policy.TimedOut, latency: 500}, 1100, false}, // sent at 600, and another call was answered at 1000
		{outcome{kind: policy.TimedOut, latency: 500}, 2000, true},
		{outcome{kind: policy.ConnectionReset}, 2100, true},
		{outcome{kind: policy.ConnectFailed}, 2200, true},
		{outcome{kind: policy.Rejected, status: 503}, 2300, false},
		{outcome{kind: policy.Cancelled, latency: 50}, 2320, false},
	} {
		if got := ep.updateLiveness(&test.o, test.now); got != test.want {
			t.Errorf("outcome %d: connections suspected dead: %v", i, got)
		}
	}
}

// A new idle timeout must apply to the connections, for which the transport is replaced. It
// must not be replaced if the timeout stays the same.
func TestTransportIsReplacedWhenIdleTimeoutChanges(t *testing.T) {
	cfg := parseTestConfig(t)
	ep := &endpoint{}
	ep.setIdleTimeout(cfg, 2, time.Second)
	first := ep.transport
	if ep.setIdleTimeout(cfg, 2, time.Second); ep.transport != first {
		t.Error("the transport was replaced although the timeout did not change")
	}
	if ep.setIdleTimeout(cfg, 2, 128*time.Millisecond); ep.transport == first || ep.transport.IdleConnTimeout != 128*time.Millisecond {
		t.Errorf("idle timeout %v, want 128ms with a new transport", ep.transport.IdleConnTimeout)
	}
}

// After a reset on an idle connection, the next calls must use a shorter idle timeout.
func TestResetOnIdleConnectionShortensIdleTimeout(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	r := newTestRelay(t)
	r.updateList(&discovery.List{Complete: true, Members: []discovery.Member{ep.member("s-1", 7)}}, policy.ListFull)
	listed := r.endpoints.byID["s-1"]
	sendMessage := func(id string) {
		m := r.newMessage(&wal.Record{Kind: wal.KindAccepted, ID: id, Dest: 7, Class: "plain"})
		m.isAcknowledged, m.isLogged, m.attempts = true, true, 1
		r.wal.Submit(m.record, nil)
		r.startBatch(&batch{endpoint: listed, sends: []send{{message: m, timeoutAt: r.clock.now() + 20e6}}})
	}
	sendMessage("a")
	if got, want := listed.transport.IdleConnTimeout, 9*time.Second; got != want {
		t.Fatalf("first idle timeout %v, want %v", got, want)
	}
	<-r.mailbox.Ready()
	for _, e := range r.mailbox.TakeAll(nil) {
		r.finishCall(e.(callDoneEvent).call, []outcome{{kind: policy.ConnectionReset, idleTime: 300 * time.Millisecond}})
	}
	sendMessage("b")
	if got, want := listed.transport.IdleConnTimeout, 256*time.Millisecond; got != want {
		t.Errorf("idle timeout after a reset %v, want %v", got, want)
	}
	<-r.mailbox.Ready()
}

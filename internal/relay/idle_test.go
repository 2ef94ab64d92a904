package relay

import (
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// Guards against idle connections that die in silence: where calls on
// connections idle for long are reset, none so old is used, others still are,
// and after a while it is tried again.
func TestIdleLimit(t *testing.T) {
	const keep, second = 9 * time.Second, policy.Time(1e6)
	w := &idleResetTracker{}
	now := 100 * second
	for range 20 {
		w.record(10*time.Millisecond, true, now) // in use just before: its age is not the cause
		w.record(100*time.Millisecond, false, now)
		w.record(400*time.Millisecond, false, now)
	}
	if got := w.maxIdle(keep, now); got != keep {
		t.Errorf("with no reset on an idle connection: %v", got)
	}
	w.record(300*time.Millisecond, true, now)
	w.record(5*time.Second, true, now)
	if got := w.maxIdle(keep, now); got != 256*time.Millisecond {
		t.Errorf("after a reset on one idle for 300 ms: %v", got)
	}
	if got := w.maxIdle(200*time.Millisecond, now); got != 200*time.Millisecond {
		t.Errorf("more than the settings allow: %v", got)
	}
	if got := w.maxIdle(keep, now+60*second); got != keep {
		t.Errorf("a minute later: %v", got)
	}
	w.record(100*time.Hour, true, now) // beyond the last step
}

// Guards the way from a reset call to the next one: that goes out on
// connections that may not stand idle for as long.
func TestResetShortensReuse(t *testing.T) {
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

// Guards that the limit reaches the connections, and that what it closes is
// closed for good: the transport is replaced only when the limit changes.
func TestReuseFollowsLimit(t *testing.T) {
	cfg := testSet(t)
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

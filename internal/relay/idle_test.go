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
	w := &idleWatch{}
	now := 100 * second
	for range 20 {
		w.book(10*time.Millisecond, true, now) // in use just before: its age is not the cause
		w.book(100*time.Millisecond, false, now)
		w.book(400*time.Millisecond, false, now)
	}
	if got := w.limit(keep, now); got != keep {
		t.Errorf("with no reset on an idle connection: %v", got)
	}
	w.book(300*time.Millisecond, true, now)
	w.book(5*time.Second, true, now)
	if got := w.limit(keep, now); got != 256*time.Millisecond {
		t.Errorf("after a reset on one idle for 300 ms: %v", got)
	}
	if got := w.limit(200*time.Millisecond, now); got != 200*time.Millisecond {
		t.Errorf("more than the settings allow: %v", got)
	}
	if got := w.limit(keep, now+60*second); got != keep {
		t.Errorf("a minute later: %v", got)
	}
	w.book(100*time.Hour, true, now) // beyond the last step
}

// Guards the way from a reset call to the next one: that goes out on
// connections that may not stand idle for as long.
func TestResetShortensReuse(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	r := newTestRelay(t)
	r.updateList(&discovery.List{Complete: true, Members: []discovery.Member{ep.member("s-1", 7)}}, policy.ListFull)
	at := r.endpoints["s-1"]
	send1 := func(id string) {
		m := r.newMessage(&wal.Record{Kind: wal.KindAccepted, ID: id, Dest: 7, Class: "plain"})
		m.isAcknowledged, m.isLogged, m.attempts = true, true, 1
		r.wal.Submit(m.rec, nil)
		r.startBatch(&batch{ep: at, sends: []send{{m: m, timeoutAt: r.now() + 20e6}}})
	}
	send1("a")
	if got, want := at.conns.IdleConnTimeout, 9*time.Second; got != want {
		t.Fatalf("at first idle for %v at most, want %v", got, want)
	}
	<-r.mailbox.Ready()
	for _, h := range r.mailbox.TakeAll(nil) {
		r.finishCall(h.call, []outcome{{what: policy.ConnectionReset, idle: 300 * time.Millisecond}})
	}
	send1("b")
	if got, want := at.conns.IdleConnTimeout, 256*time.Millisecond; got != want {
		t.Errorf("after a reset idle for %v at most, want %v", got, want)
	}
	<-r.mailbox.Ready()
}

// Guards that the limit reaches the connections, and that what it closes is
// closed for good: the transport is replaced only when the limit changes.
func TestReuseFollowsLimit(t *testing.T) {
	cfg := testSet(t)
	ep := &endpoint{}
	ep.reuse(cfg, 2, time.Second)
	first := ep.conns
	if ep.reuse(cfg, 2, time.Second); ep.conns != first {
		t.Error("replaced with no change")
	}
	if ep.reuse(cfg, 2, 128*time.Millisecond); ep.conns == first || ep.conns.IdleConnTimeout != 128*time.Millisecond {
		t.Errorf("idle for %v at most, want 128ms", ep.conns.IdleConnTimeout)
	}
}

package stub

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestWriteFailsWithoutSendingWhileRetryAfterLasts, not even on a connection that
// was dialled before the wait came.
func TestWriteFailsWithoutSendingWhileRetryAfterLasts(t *testing.T) {
	stubSide, endpointSide := net.Pipe()
	defer stubSide.Close()
	defer endpointSide.Close()
	r := &relay{}
	r.stalls.tick(time.Now().Add(-time.Second))
	r.stalls.tick(time.Now())
	go r.stalls.run(t.Context())
	conn := &guardedConn{Conn: stubSide, relay: r, destination: 3}
	r.waits.extend(3, time.Minute)
	if n, err := conn.Write([]byte("POST")); n != 0 || !errors.Is(err, errMustWait) {
		t.Errorf("%d bytes, %v; want errHeldBack", n, err)
	}
	if result := failedCall(errors.Join(errMustWait)); !result.notSent || result.mayHaveRun {
		t.Errorf("%+v", result)
	}
}

// TestStallMonitorIsUnsettledDuringAndShortlyAfterStall until what came meanwhile can have been read.
func TestStallMonitorIsUnsettledDuringAndShortlyAfterStall(t *testing.T) {
	var s stallMonitor
	start := time.Now()
	s.tick(start)
	for _, step := range []struct {
		sinceStart time.Duration
		ticks      bool
		settled    bool
	}{
		{settleTime / 2, true, false},        // it has just begun
		{settleTime + stallTick, true, true}, // on the CPU since then
		{settleTime + stallTick + stallLimit, false, true},
		{settleTime + 3*stallLimit, false, false},     // no tick for too long
		{settleTime + 3*stallLimit + 1, true, false},  // back, with answers unread
		{2*settleTime + 3*stallLimit + 2, true, true}, // settled again
	} {
		now := start.Add(step.sinceStart)
		if step.ticks {
			s.tick(now)
		}
		if got := s.isSettled(now); got != step.settled {
			t.Errorf("after %v: settled %v, want %v", step.sinceStart, got, step.settled)
		}
	}
}

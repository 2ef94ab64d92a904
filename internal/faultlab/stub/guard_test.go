package stub

import (
	"errors"
	"net"
	"testing"
	"time"
)

// Covers a connection that was opened before the destination asked to wait.
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
		t.Errorf("wrote %d bytes with error %v, want 0 bytes and errMustWait", n, err)
	}
	if result := failedCall(errors.Join(errMustWait)); !result.notSent || result.mayHaveRun {
		t.Errorf("result of a call that was not sent: %+v, want notSent and not mayHaveRun", result)
	}
}

// Guards against requests that are sent right after a stall, before the stub has read a
// Retry-After that arrived during it.
func TestStallMonitorIsUnsettledDuringAndShortlyAfterStall(t *testing.T) {
	var s stallMonitor
	start := time.Now()
	s.tick(start)
	for _, step := range []struct {
		sinceStart time.Duration
		ticks      bool
		settled    bool
	}{
		{settleTime / 2, true, false},        // less than settleTime since the monitor's start
		{settleTime + stallTick, true, true}, // ticks without a gap for longer than settleTime
		{settleTime + stallTick + stallLimit, false, true},
		{settleTime + 3*stallLimit, false, false},     // no tick for longer than stallLimit
		{settleTime + 3*stallLimit + 1, true, false},  // the stall has just ended
		{2*settleTime + 3*stallLimit + 2, true, true}, // longer than settleTime after the stall
	} {
		now := start.Add(step.sinceStart)
		if step.ticks {
			s.tick(now)
		}
		if got := s.isSettled(now); got != step.settled {
			t.Errorf("%v after the start: isSettled is %v, want %v", step.sinceStart, got, step.settled)
		}
	}
}

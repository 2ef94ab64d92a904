package stub

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// A response with a Retry-After may arrive after an endpoint was chosen and before the
// request is sent, since the dial in between may take long on a busy machine. The stub
// must keep the rule at any load, so its connections check the wait again directly before
// they send. They also delay requests after the process was off the CPU, because responses
// that arrived meanwhile are still unread in its sockets.

// errMustWait means that a request was not sent because its destination has asked to wait,
// or may have asked in a response that is not read yet.
var errMustWait = errors.New("request not sent: the destination has asked to wait")

// guardedConn is a connection to an endpoint that sends no request while the endpoint's
// destination has asked to wait. The HTTP client sends each request in one write.
type guardedConn struct {
	net.Conn
	relay       *relay
	destination int
}

// Write sends a request, or returns errMustWait and sends nothing.
func (c *guardedConn) Write(request []byte) (int, error) {
	r := c.relay
	if r.defect != IgnoreWait {
		if !r.stalls.awaitSettled() || r.waits.remaining(c.destination) > 0 {
			return 0, errMustWait
		}
	}
	return c.Conn.Write(request)
}

// retryAfterTable records until when each destination has asked not to be called. The zero
// value is ready for use. It is safe for concurrent use.
type retryAfterTable struct {
	mu    sync.Mutex
	until map[int]time.Time // end of the wait of each destination
}

// remaining returns how much longer a destination must not be called; not positive if it
// may be called now.
func (t *retryAfterTable) remaining(destination int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Until(t.until[destination])
}

// extend forbids calls to a destination for the given time from now, unless an earlier
// wait ends later.
func (t *retryAfterTable) extend(destination int, wait time.Duration) {
	if wait <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = map[int]time.Time{}
	}
	if until := time.Now().Add(wait); until.After(t.until[destination]) {
		t.until[destination] = until
	}
}

const (
	stallTick   = 5 * time.Millisecond
	stallLimit  = 30 * time.Millisecond  // longest gap between two ticks that is not a stall
	settleTime  = 20 * time.Millisecond  // time after a stall in which the stub reads responses that arrived during it
	maxSettling = 250 * time.Millisecond // longest time that a request waits for isSettled
)

// stallMonitor detects that the process was off the CPU by a gap between its ticks. Its
// run method must run in a goroutine. It is safe for concurrent use.
type stallMonitor struct {
	mu        sync.Mutex
	lastTick  time.Time
	settledAt time.Time // settleTime after the end of the last stall
}

// run calls tick every stallTick until ctx ends.
func (s *stallMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.tick(time.Now())
		sleep(ctx, stallTick)
	}
}

func (s *stallMonitor) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastTick) > stallLimit {
		s.settledAt = now.Add(settleTime)
	}
	s.lastTick = now
}

// isSettled reports whether there is no stall now and settleTime has passed since the last
// one.
func (s *stallMonitor) isSettled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastTick) <= stallLimit && now.After(s.settledAt)
}

// awaitSettled waits until isSettled is true; it returns false if that takes longer than
// maxSettling.
func (s *stallMonitor) awaitSettled() bool {
	for end := time.Now().Add(maxSettling); ; time.Sleep(stallTick) {
		now := time.Now()
		if s.isSettled(now) {
			return true
		}
		if now.After(end) {
			return false
		}
	}
}

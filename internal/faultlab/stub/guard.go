package stub

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Between the choice of an endpoint and the first byte of a request lies a dial
// that may take long on a busy machine, and an answer with a Retry-After may come
// meanwhile. The stub must keep that rule at any load, so a connection looks at
// the wait again right before it sends. It also holds back while the process has
// been off the CPU: answers then lie unread in its sockets.

// errMustWait is a request that was not sent because of a Retry-After.
var errMustWait = errors.New("held back: the destination asked to wait")

// guardedConn is a connection to an endpoint that sends nothing while its
// destination has asked to wait. Each write of the HTTP client is one request.
type guardedConn struct {
	net.Conn
	relay       *relay
	destination int
}

// Write sends a request, or fails with errMustWait without sending anything.
func (c *guardedConn) Write(request []byte) (int, error) {
	r := c.relay
	if r.defect != IgnoreWait {
		if !r.stalls.awaitSettled() || r.waits.remaining(c.destination) > 0 {
			return 0, errMustWait
		}
	}
	return c.Conn.Write(request)
}

// retryAfterTable holds until when each destination is not to be called. The zero
// value holds no waits. Safe for concurrent use.
type retryAfterTable struct {
	mu    sync.Mutex
	until map[int]time.Time // by destination
}

// remaining is how long a destination is still to be left alone.
func (t *retryAfterTable) remaining(destination int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Until(t.until[destination])
}

// extend has a destination left alone for a time from now, or longer where an
// earlier wait lasts longer.
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
	stallLimit  = 30 * time.Millisecond  // a longer gap between two ticks is a stall
	settleTime  = 20 * time.Millisecond  // after a stall, for unread answers to be read
	maxSettling = 250 * time.Millisecond // that one request waits for it
)

// stallMonitor notices when the process was off the CPU, by the ticks that it
// missed. Safe for concurrent use; run has to run.
type stallMonitor struct {
	mu        sync.Mutex
	lastTick  time.Time
	settledAt time.Time // after the last stall
}

// run ticks until ctx ends.
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

// isSettled reports whether the process has been on the CPU for a while.
func (s *stallMonitor) isSettled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastTick) <= stallLimit && now.After(s.settledAt)
}

// settle waits until the process has been on the CPU for a while; false where
// that takes too long.
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

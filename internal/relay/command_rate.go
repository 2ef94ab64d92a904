package relay

import (
	"sync"
	"time"
)

// One client that sends commands without waiting for the responses could keep the relay so busy
// that others are not answered in time. So each connection has a rate of commands of its own,
// and what goes beyond that shares one rate with all other connections. A command beyond both
// is read later; nothing is rejected.

const (
	// connectionCommandRate is the number of commands a second that each connection may send,
	// whatever the others do.
	connectionCommandRate = 20
	// connectionCommandBurst is the number of commands that a connection may send at once after
	// a pause. A new connection may send one, so that connecting anew gains nothing.
	connectionCommandBurst = 16
	// sharedCommandRate is the number of commands a second that all connections together may
	// send beyond their own rates.
	sharedCommandRate = 2000
	// sharedCommandBurst is the number of such commands at once. It takes a few milliseconds of
	// a core, after which other clients' requests are seen.
	sharedCommandBurst = 64
)

// commandRate limits the rate of the commands of all connections. It is safe for concurrent use.
type commandRate struct {
	mu     sync.Mutex
	shared rateLimit
}

func newCommandRate() *commandRate {
	return &commandRate{shared: newRateLimit(sharedCommandRate, sharedCommandBurst)}
}

// newConnection returns the limit of a connection that is opened now, for reserve.
func (r *commandRate) newConnection(now time.Time) *rateLimit {
	limit := newRateLimit(connectionCommandRate, connectionCommandBurst)
	limit.fullAt = now.Add(limit.capacity - limit.interval)
	return &limit
}

// reserve counts a command of a connection, and returns how long it must wait. Only one goroutine
// may use a connection's limit.
func (r *commandRate) reserve(connection *rateLimit, now time.Time) time.Duration {
	own := connection.delay(now)
	if own == 0 {
		connection.take(now)
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	shared := r.shared.delay(now)
	if own <= shared {
		connection.take(now)
		return own
	}
	r.shared.take(now)
	return shared
}

// rateLimit is a token bucket. It stores the time at which the bucket is full again, so that it
// needs no timer.
type rateLimit struct {
	interval time.Duration // time in which one token is added
	capacity time.Duration // time in which an empty bucket is filled
	fullAt   time.Time
}

func newRateLimit(perSecond, burst int) rateLimit {
	interval := time.Second / time.Duration(perSecond)
	return rateLimit{interval: interval, capacity: interval * time.Duration(burst)}
}

// delay returns how long it takes until the bucket has a token.
func (l *rateLimit) delay(now time.Time) time.Duration {
	if !l.fullAt.After(now) {
		return 0
	}
	return max(l.fullAt.Sub(now)+l.interval-l.capacity, 0)
}

// take takes a token, also if the bucket has none yet.
func (l *rateLimit) take(now time.Time) {
	if l.fullAt.Before(now) {
		l.fullAt = now
	}
	l.fullAt = l.fullAt.Add(l.interval)
}

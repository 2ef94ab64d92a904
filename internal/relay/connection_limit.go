package relay

import (
	"cmp"
	"time"
)

// The clients' connections are limited so that a flood of them does not take
// the descriptors of calls, log and discovery. A new connection at the limit
// evicts the one that is worth least; an evicted one still holds its descriptor
// until it is closed, for which some slots are set aside.

const (
	// closingSlotsDivisor: one in so many of the slots is for connections that
	// are evicted and not closed yet.
	closingSlotsDivisor = 8
	// spareSlots may be used on top of the limit while evicted connections close.
	spareSlots = 4
	// maxSlotWait is how long a new connection waits for a slot. Others wait in
	// the listener's backlog meanwhile, and their clients give up after
	// clientTimeout.
	maxSlotWait = 100 * time.Millisecond
	// evictionGrace protects a connection that is new or was just answered: its
	// next request may be under way.
	evictionGrace = 20 * time.Millisecond
	// evictedReadTimeout is what an evicted connection has for the rest of a
	// command that had begun to arrive.
	evictedReadTimeout = 50 * time.Millisecond
)

// reserveSlot counts a new connection in once there is a descriptor for it,
// evicting another where the limit is reached. It reports false where no slot
// is freed within maxSlotWait.
func (c *clientServer) reserveSlot() bool {
	limit := time.NewTimer(maxSlotWait)
	defer limit.Stop()
	for {
		reserved, retryAfter := c.tryReserveSlot()
		if reserved || retryAfter == 0 {
			return reserved
		}
		select {
		case <-c.slotFreed:
		case <-time.After(retryAfter):
		case <-limit.C:
			return false
		}
	}
}

// tryReserveSlot reserves a slot if there is one. Otherwise retryAfter is when
// the next attempt may succeed, 0 for never.
func (c *clientServer) tryReserveSlot() (reserved bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.maxConns - c.maxConns/closingSlotsDivisor
	if len(c.conns) >= limit {
		retryAfter = c.evictConnection()
		nothingEvicted := retryAfter == 0 && len(c.conns) >= limit
		if nothingEvicted && c.openConns <= len(c.conns) { // and none is closing
			return false, 0
		}
	}
	if len(c.conns) < limit && c.openConns < c.maxConns+spareSlots {
		c.openConns++
		return true, 0
	}
	return false, cmp.Or(retryAfter, maxSlotWait)
}

// freeSlot gives back the slot of a connection that is closed.
func (c *clientServer) freeSlot(cc *clientConn) {
	c.mu.Lock()
	delete(c.conns, cc)
	delete(c.evicted, cc)
	c.openConns--
	c.mu.Unlock()
	select {
	case c.slotFreed <- struct{}{}:
	default: // signalled already
	}
}

// divideCapacity limits this process to its part of the connections while so
// many processes of this relay share the machine.
func (c *clientServer) divideCapacity(processes int) {
	maxConns, _ := c.cfg.socketBudget()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = maxConns / processes
}

// evictionRank orders connections by what their loss costs, the least first.
type evictionRank int

const (
	evictStopped        evictionRank = iota // only waits for its peer to close
	evictIdle                               // clients open another when they need one
	evictPartialCommand                     // within a command, and no message came on it before
	evictNever                              // a request of a client is in progress
)

func (cc *clientConn) evictionRank() evictionRank {
	switch {
	case cc.isStopped:
		return evictStopped
	case cc.pendingRequests == 0:
		return evictIdle
	case !cc.commandDeadline.IsZero():
		return evictPartialCommand
	}
	return evictNever
}

// evictConnection evicts the connection with the least rank, of several the one
// idle for longest. Where all that could go are within their grace period none
// is evicted, and the result is when the first of them leaves it. The caller
// holds mu.
func (c *clientServer) evictConnection() time.Duration {
	var victim *clientConn
	minGrace := time.Duration(0)
	for cc := range c.conns {
		grace := evictionGrace - time.Since(cc.idleSince)
		switch rank := cc.evictionRank(); {
		case rank == evictNever:
		case grace > 0 && rank != evictStopped:
			if minGrace == 0 || grace < minGrace {
				minGrace = grace
			}
		case victim == nil || cc.isEvictedBefore(victim):
			victim = cc
		}
	}
	if victim == nil {
		return minGrace
	}
	delete(c.conns, victim)
	c.evicted[victim] = true
	if victim.isStopped {
		victim.SetReadDeadline(pastDeadline) // ends the wait for its peer
	} else {
		victim.release()
	}
	return 0
}

// isEvictedBefore reports whether cc is to be evicted rather than other.
func (cc *clientConn) isEvictedBefore(other *clientConn) bool {
	rank, otherRank := cc.evictionRank(), other.evictionRank()
	return rank < otherRank || rank == otherRank && cc.idleSince.Before(other.idleSince)
}

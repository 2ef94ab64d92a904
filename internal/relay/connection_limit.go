package relay

import (
	"cmp"
	"time"
)

// The number of clients' connections is limited, so that a flood of them does not
// take the descriptors that calls, the log and discovery need. A new connection at
// the limit evicts the connection with the lowest evictionRank. An evicted
// connection holds its descriptor until it is closed, so some slots are reserved
// for evicted connections.

const (
	// closingSlotsDivisor is the total number of slots divided by the number that
	// is reserved for connections that are evicted and not closed yet.
	closingSlotsDivisor = 8
	// spareSlots is the number of slots beyond the limit that may be used while
	// evicted connections are being closed.
	spareSlots = 4
	// maxSlotWait is how long a new connection waits for a slot. Meanwhile other
	// new connections wait in the listener's backlog, and their clients give up
	// after clientTimeout.
	maxSlotWait = 100 * time.Millisecond
	// evictionGrace is how long a connection that is new or was just answered is
	// not evicted, since its next request may be in transit.
	evictionGrace = 20 * time.Millisecond
	// minClientIdle is how long a connection of a client must have been without a request
	// until the platform lets the relay close it at will.
	minClientIdle = 2 * time.Second
	// evictedReadTimeout is how long an evicted connection may take to send the
	// rest of a command whose first bytes had already arrived.
	evictedReadTimeout = 50 * time.Millisecond
)

// reserveSlot waits for a slot for a new connection and reserves it. At the limit it
// evicts another connection. It reports false if no slot is freed within maxSlotWait.
func (c *clientServer) reserveSlot() bool {
	timer := time.NewTimer(maxSlotWait)
	defer timer.Stop()
	for {
		reserved, retryAfter := c.tryReserveSlot()
		if reserved || retryAfter == 0 {
			return reserved
		}
		select {
		case <-c.slotFreed:
		case <-time.After(retryAfter):
		case <-timer.C:
			return false
		}
	}
}

// tryReserveSlot reserves a slot if there is one. Otherwise retryAfter is the time
// after which the next attempt may succeed, or 0 if no connection can be evicted and
// none is being closed.
func (c *clientServer) tryReserveSlot() (reserved bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.maxConns - c.maxConns/closingSlotsDivisor
	if len(c.conns) >= limit {
		retryAfter = c.evictConnection()
		nothingEvicted := retryAfter == 0 && len(c.conns) >= limit
		if nothingEvicted && c.openConns <= len(c.conns) { // and no evicted connection is being closed
			return false, 0
		}
	}
	if len(c.conns) < limit && c.openConns < c.maxConns+spareSlots {
		c.openConns++
		return true, 0
	}
	return false, cmp.Or(retryAfter, maxSlotWait)
}

// freeSlot frees the slot of a closed connection.
func (c *clientServer) freeSlot(cc *clientConn) {
	c.mu.Lock()
	delete(c.conns, cc)
	delete(c.evicted, cc)
	c.openConns--
	c.mu.Unlock()
	select {
	case c.slotFreed <- struct{}{}:
	default: // a signal is already pending
	}
}

// divideCapacity limits this process to its share of the connections and of the memory for
// commands, where the given number of processes of this relay run on the machine.
func (c *clientServer) divideCapacity(processes int) {
	maxConns, _ := c.cfg.socketBudget()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = maxConns / processes
	c.commandMemory.setLimit(c.cfg.commandMemoryLimit() / processes)
}

// evictionRank orders connections by the cost of evicting them, lowest cost first. Peers that
// have submitted no message are evicted before clients that use their connection, however many
// such peers there are and however they keep their connections busy.
type evictionRank int

const (
	evictStopped        evictionRank = iota // the connection only waits for its peer to close
	evictIdlePeer                           // no request in progress, and no message was submitted before
	evictStalledCommand                     // a command is incomplete for longer than a client waits for a response
	evictIdleClient                         // no request in progress for longer than clients may expect a connection to last
	evictPartialCommand                     // a command is incomplete, and no message was submitted before
	evictRecentClient                       // no request in progress; the client opens another connection when it needs one
	evictNever                              // a client's request is in progress
)

func (cc *clientConn) evictionRank(now time.Time) evictionRank {
	isClient := cc.commandDeadline.IsZero()
	switch {
	case cc.isStopped:
		return evictStopped
	case cc.pendingRequests == 0 && !isClient:
		return evictIdlePeer
	case cc.pendingRequests == 0 && now.Sub(cc.idleSince) >= minClientIdle:
		return evictIdleClient
	case cc.pendingRequests == 0:
		return evictRecentClient
	case cc.isReadingCommand && cc.pendingRequests == 1 && now.Sub(cc.commandBeganAt) >= clientTimeout:
		return evictStalledCommand
	case !isClient:
		return evictPartialCommand
	}
	return evictNever
}

// evictConnection evicts the connection with the lowest rank, and among several of
// them the one that has been idle for longest. If all connections that could be
// evicted are within their grace period, it evicts none and returns the time until
// the first grace period ends; otherwise it returns 0. A client that uses its connection
// is not evicted either while the grace period of another peer is awaited. The caller
// holds mu.
func (c *clientServer) evictConnection() time.Duration {
	var victim *clientConn
	now, minGrace, minPeerGrace := time.Now(), time.Duration(0), time.Duration(0)
	for cc := range c.conns {
		grace := evictionGrace - now.Sub(cc.idleSince)
		switch rank := cc.evictionRank(now); {
		case rank == evictNever:
		case grace > 0 && rank != evictStopped:
			minGrace = shorterWait(minGrace, grace)
			if rank < evictRecentClient {
				minPeerGrace = shorterWait(minPeerGrace, grace)
			}
		case victim == nil || cc.isEvictedBefore(victim, now):
			victim = cc
		}
	}
	if victim != nil && minPeerGrace > 0 && victim.evictionRank(now) == evictRecentClient {
		return minPeerGrace
	}
	if victim == nil {
		return minGrace
	}
	c.log.Debug("connection evicted", "rank", victim.evictionRank(now), "connections", len(c.conns), "idle", now.Sub(victim.idleSince))
	delete(c.conns, victim)
	c.evicted[victim] = true
	if victim.isStopped {
		victim.SetReadDeadline(pastDeadline) // ends the wait for the peer to close
	} else {
		victim.release()
	}
	return 0
}

// shorterWait returns the shorter of two waits; 0 stands for none.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// isEvictedBefore reports whether cc must be evicted before other.
func (cc *clientConn) isEvictedBefore(other *clientConn, now time.Time) bool {
	rank, otherRank := cc.evictionRank(now), other.evictionRank(now)
	return rank < otherRank || rank == otherRank && cc.idleSince.Before(other.idleSince)
}

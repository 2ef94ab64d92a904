package relay

import (
	"runtime/debug"
	"time"

	"plovershore/internal/wal"
)

// During an upgrade two processes of one relay run over one state folder. At each
// moment one of them owns it: it holds the lock, its policy decides, it alone begins
// calls. This file acquires and watches the ownership; handoff.go hands it to the next
// process and reclaims it where that dies; predecessor.go follows the previous process
// while it finishes its calls.

const (
	ownershipCheckInterval = 50 * time.Millisecond // how often the owner looks for a next process
	lockPollInterval       = 5 * time.Millisecond  // how often the next process tries the lock
	handoffPollInterval    = 10 * time.Millisecond // how often a handoff log is read: a Retry-After binds 100 ms later
	handoffRetryDelay      = 2 * time.Second       // after a handoff that failed
)

// ownership is what a process knows of who owns the relay. The loop owns it.
type ownership struct {
	lock          *wal.Lock       // held by the owner
	successorLock *wal.Lock       // held by the process that waits for lock
	isTransferred bool            // the other process owns the relay, or is just taking over
	isUnlocked    bool            // lock was released to it
	handoff       *wal.HandoffLog // of the previous process, while that lives
	nextCheck     time.Time
	process       int   // this process's number in the log
	isSharing     bool  // the limits are split with another process
	err           error // what this process can't go on without
	stopLog       chan struct{}
}

// acquire returns true with the lock, or false once stop is closed.
func (o *ownership) acquire(dir string, stop <-chan struct{}) (bool, error) {
	var err error
	if o.lock, err = wal.OpenLock(dir, wal.LockName); err != nil {
		return false, err
	}
	if o.successorLock, err = wal.OpenLock(dir, wal.SuccessorLockName); err != nil {
		o.lock.Close()
		return false, err
	}
	tick := time.NewTicker(lockPollInterval)
	defer tick.Stop()
	isSuccessor := false
	for {
		isOwner, err := o.lock.TryLock()
		if isOwner && isSuccessor {
			err = o.successorLock.Unlock()
		}
		if isOwner || err != nil {
			return err == nil, err
		}
		if !isSuccessor {
			if isSuccessor, err = o.successorLock.TryLock(); err != nil {
				return false, err
			}
		}
		select {
		case <-stop:
			o.close()
			return false, nil
		case <-tick.C:
		}
	}
}

func (o *ownership) close() {
	o.lock.Close()
	o.successorLock.Close()
}

// pollInterval is how long the loop may wait at most.
func (o *ownership) pollInterval() time.Duration {
	if o.handoff != nil {
		return handoffPollInterval
	}
	return ownershipCheckInterval
}

// checkOwnership looks whether another process wants to take over, or whether the one
// that did has died.
func (r *Relay) checkOwnership() error {
	o := &r.ownership
	if o.err != nil {
		return o.err
	}
	if time.Now().Before(o.nextCheck) {
		return nil
	}
	o.nextCheck = time.Now().Add(ownershipCheckInterval)
	hasSuccessor, err := o.successorLock.HeldByOther()
	if err != nil {
		r.log.Error("ownership check failed", "err", err)
		return nil
	}
	switch {
	case !o.isTransferred && o.handoff == nil && hasSuccessor:
		r.transferOwnership()
	case o.isUnlocked && !hasSuccessor:
		return r.reclaimIfExited()
	}
	return nil
}

// reclaimIfExited reclaims the ownership if the next process has exited. That one
// releases the successor's lock only once it holds the owner's.
func (r *Relay) reclaimIfExited() error {
	isOwner, err := r.ownership.lock.TryLock()
	if isOwner {
		r.log.Warn("next process exited")
		return r.reclaim()
	}
	if err != nil {
		r.log.Error("ownership check failed", "err", err)
	}
	return nil
}

// splitLimits halves what two processes use together, and undoes that.
func (r *Relay) splitLimits() {
	isSharing := r.ownership.handoff != nil || r.ownership.isTransferred
	if isSharing == r.ownership.isSharing {
		return
	}
	r.ownership.isSharing = isSharing
	memory := debug.SetMemoryLimit(-1)
	if isSharing {
		r.clients.divideCapacity(2)
		debug.SetMemoryLimit(memory / 2)
	} else {
		r.clients.divideCapacity(1)
		debug.SetMemoryLimit(memory * 2)
	}
}

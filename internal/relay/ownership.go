package relay

import (
	"runtime/debug"
	"time"

	"plovershore/internal/wal"
)

// During an upgrade two processes of a relay run with the same state folder. At most one
// of them owns the relay at a time: it holds the lock, its policy decides, and only it
// begins calls. This file acquires and monitors the ownership. handoff.go hands it to the next
// process and reclaims it if that process exits. predecessor.go handles the results of the
// previous process while that finishes its calls.

const (
	ownershipCheckInterval = 50 * time.Millisecond // interval at which the owner checks for a next process
	lockPollInterval       = 5 * time.Millisecond  // interval at which the next process tries the lock
	handoffPollInterval    = 10 * time.Millisecond // interval of reading a handoff log; a Retry-After in it must be obeyed within 100 ms
	handoffRetryDelay      = 2 * time.Second       // delay after a failed handoff
)

// ownership is the state of a process that concerns which process owns the relay. Only
// the loop uses it.
type ownership struct {
	lock           *wal.Lock       // held by the process that owns the relay
	successorLock  *wal.Lock       // held by the next process while it waits for lock
	isTransferred  bool            // the next process owns the relay or is taking over
	isUnlocked     bool            // this process has released lock to the next one
	handoff        *wal.HandoffLog // handoff log of the previous process, while that runs; otherwise nil
	nextCheck      time.Time
	hasPredecessor bool  // another process owned the relay when this one started
	process        int   // this process's number in the log
	isSharing      bool  // the limits are halved, since another process runs
	fatalErr       error // error after which this process can't continue
	stopLog        chan struct{}
}

// acquire waits for the lock of the state folder, and calls whileWaiting again and again
// until then. It returns true once it holds the lock, or false if stop is closed before.
func (o *ownership) acquire(dir string, stop <-chan struct{}, whileWaiting func()) (bool, error) {
	var err error
	if o.lock, err = wal.OpenLock(dir, wal.LockName); err != nil {
		return false, err
	}
	if o.successorLock, err = wal.OpenLock(dir, wal.SuccessorLockName); err != nil {
		o.lock.Close()
		return false, err
	}
	ticker := time.NewTicker(lockPollInterval)
	defer ticker.Stop()
	isSuccessor := false
	for {
		isOwner, err := o.lock.TryLock()
		if isOwner && isSuccessor {
			err = o.successorLock.Unlock()
		}
		if isOwner || err != nil {
			return err == nil, err
		}
		o.hasPredecessor = true
		whileWaiting()
		if !isSuccessor {
			if isSuccessor, err = o.successorLock.TryLock(); err != nil {
				return false, err
			}
		}
		select {
		case <-stop:
			o.close()
			return false, nil
		case <-ticker.C:
		}
	}
}

func (o *ownership) close() {
	o.lock.Close()
	o.successorLock.Close()
}

// pollInterval returns how long the loop may wait before it must check the ownership or
// read the handoff log.
func (o *ownership) pollInterval() time.Duration {
	if o.handoff != nil {
		return handoffPollInterval
	}
	return ownershipCheckInterval
}

// checkOwnership hands the relay off if a next process waits for it, and reclaims it if
// the next process has exited.
func (r *Relay) checkOwnership() error {
	o := &r.ownership
	if o.fatalErr != nil {
		return o.fatalErr
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
	if hasSuccessor || o.isTransferred || o.handoff != nil {
		r.adoptSharedDrain()
	} else {
		r.publishDrain()
	}
	switch {
	case !o.isTransferred && o.handoff == nil && hasSuccessor:
		r.transferOwnership()
	case o.isUnlocked && !hasSuccessor:
		return r.reclaimIfExited()
	}
	return nil
}

// reclaimIfExited reclaims the ownership if the next process has exited, which is so if
// neither lock is held: that process releases the successor's lock only once it holds the
// owner's.
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

// splitLimits halves the connection and memory limits while two processes run, and
// restores them after that.
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

package relay

import (
	"log/slog"
	"net"
	"time"
)

const (
	startRetryInterval = 50 * time.Millisecond
	listenTimeout      = 5 * time.Second // after which an address in use is a mistake in the configuration
	reopenTimeout      = time.Second     // the loop stands still meanwhile
)

// transientRetry repeats an operation of a start while it fails for a reason that may
// pass. Ending the relay instead would only have it started again, with its pending
// messages waiting for longer.
type transientRetry struct {
	log         *slog.Logger
	operation   string // in the log
	stop        <-chan struct{}
	timeout     time.Duration // 0 for none
	isTransient func(error) bool
}

// run calls attempt until it succeeds, fails with an error that is not transient, or
// the timeout is over. It returns false without an error once stop is closed.
func (t transientRetry) run(attempt func() error) (ok bool, err error) {
	began := time.Now()
	for isFirst := true; ; isFirst = false {
		err = attempt()
		isTimedOut := t.timeout > 0 && time.Since(began) >= t.timeout
		if err == nil || !t.isTransient(err) || isTimedOut {
			return err == nil, err
		}
		if isFirst {
			t.log.Warn("start operation failed, retrying", "operation", t.operation, "err", err)
		}
		select {
		case <-t.stop:
			return false, nil
		case <-time.After(startRetryInterval):
		}
	}
}

// acquireOwnership waits for the lock of the state folder.
func (r *Relay) acquireOwnership(stop <-chan struct{}) (ok bool, err error) {
	isOwner := false
	retry := transientRetry{log: r.log, operation: "lock", stop: stop, isTransient: isTransientDiskError}
	ok, err = retry.run(func() (err error) {
		isOwner, err = r.ownership.acquire(r.cfg.StateDir, stop)
		return err
	})
	return ok && isOwner, err
}

// openLogWithRetry opens the log once the disk lets it.
func (r *Relay) openLogWithRetry(stop <-chan struct{}) (pending int, ok bool, err error) {
	retry := transientRetry{log: r.log, operation: "open_log", stop: stop, isTransient: isTransientDiskError}
	ok, err = retry.run(func() (err error) {
		if pending, err = r.openLog(); err != nil {
			r.metrics.waitingFor.Store("waits for the disk: " + err.Error())
		}
		return err
	})
	return pending, ok, err
}

// listenWithRetry listens at an address that another process may still have.
func listenWithRetry[L net.Listener](log *slog.Logger, stop <-chan struct{}, open func() (L, error)) (ln L, ok bool, err error) {
	retry := transientRetry{log: log, operation: "listen", stop: stop, timeout: listenTimeout, isTransient: isTransientListenError}
	ok, err = retry.run(func() (err error) {
		ln, err = open()
		return err
	})
	return ln, ok, err
}

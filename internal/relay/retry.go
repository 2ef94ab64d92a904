package relay

import (
	"log/slog"
	"net"
	"time"
)

const (
	startRetryInterval = 50 * time.Millisecond
	listenTimeout      = 5 * time.Second // an address that is in use for longer is a configuration error
	reopenTimeout      = time.Second     // short, since the loop is blocked during the retries
)

// transientRetry repeats an operation of a start or of reclaim while it fails with a
// transient error.
// If the process ended instead, it would only be started again, and the pending messages
// would wait longer.
type transientRetry struct {
	log         *slog.Logger
	operation   string // name of the operation in log lines
	stop        <-chan struct{}
	timeout     time.Duration // 0 for no limit
	isTransient func(error) bool
}

// run calls attempt until it succeeds, until it fails with an error that is not transient
// or until the timeout is over. It returns false and no error if stop is closed before.
func (t transientRetry) run(attempt func() error) (ok bool, err error) {
	startedAt := time.Now()
	for isFirst := true; ; isFirst = false {
		err = attempt()
		isTimedOut := t.timeout > 0 && time.Since(startedAt) >= t.timeout
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

// acquireOwnership waits for the lock of the state folder. ok is false if stop was closed
// before.
func (r *Relay) acquireOwnership(stop <-chan struct{}) (ok bool, err error) {
	isOwner := false
	retry := transientRetry{log: r.log, operation: "lock", stop: stop, isTransient: isTransientDiskError}
	ok, err = retry.run(func() (err error) {
		isOwner, err = r.ownership.acquire(r.cfg.StateDir, stop, func() { r.takeListUpdates() })
		return err
	})
	return ok && isOwner, err
}

// openLogWithRetry opens the log, and retries that while the disk has transient errors.
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

// listenWithRetry opens a listener, and retries that while another process still uses the
// address.
func listenWithRetry[L net.Listener](log *slog.Logger, stop <-chan struct{}, listen func() (L, error)) (ln L, ok bool, err error) {
	retry := transientRetry{log: log, operation: "listen", stop: stop, timeout: listenTimeout, isTransient: isTransientListenError}
	ok, err = retry.run(func() (err error) {
		ln, err = listen()
		return err
	})
	return ln, ok, err
}

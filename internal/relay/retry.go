package relay

import (
	"log/slog"
	"net"
	"time"
)

// A start goes on over trouble that may pass: a relay that ends for it would only be
// started again, and what it owes would wait for longer.

const (
	startRetryInterval = 50 * time.Millisecond // between two tries
	listenTimeout      = 5 * time.Second       // after which an address that is taken is a fault of the configuration
	reopenTimeout      = time.Second           // the loop stands still meanwhile
)

// retryWhile tries until try succeeds, or fails with another error than may pass, or most
// is over (0 for no limit), or stop is closed: ok is false then. The first failure is
// logged as what.
func retryWhile(log *slog.Logger, operation string, stop <-chan struct{}, timeout time.Duration, isTransient func(error) bool, attempt func() error) (ok bool, err error) {
	began := time.Now()
	for first := true; ; first = false {
		if err = attempt(); err == nil || !isTransient(err) || timeout > 0 && time.Since(began) >= timeout {
			return err == nil, err
		}
		if first {
			log.Warn(operation+": tried again until it works", "err", err)
		}
		select {
		case <-stop:
			return false, nil
		case <-time.After(startRetryInterval):
		}
	}
}

// acquireOwnership waits for the lock of the state folder.
func (r *Relay) acquireOwnership(stop <-chan struct{}) (ok bool, err error) {
	isOwner := false
	ok, err = retryWhile(r.log, "lock", stop, 0, isDiskTrouble, func() error {
		var err error
		isOwner, err = r.ownership.acquire(r.cfg.StateDir, stop)
		return err
	})
	return ok && isOwner, err
}

// openLogWithRetry opens the log once the disk lets it.
func (r *Relay) openLogWithRetry(stop <-chan struct{}) (pending int, ok bool, err error) {
	ok, err = retryWhile(r.log, "log", stop, 0, isDiskTrouble, func() error {
		var err error
		if pending, err = r.openLog(); err != nil {
			r.metrics.waitingFor.Store("waits for the disk: " + err.Error())
		}
		return err
	})
	return pending, ok, err
}

// listenWithRetry listens at an address that another process may still have.
func listenWithRetry[L net.Listener](log *slog.Logger, stop <-chan struct{}, open func() (L, error)) (ln L, ok bool, err error) {
	ok, err = retryWhile(log, "listen", stop, listenTimeout, isListenTrouble, func() error {
		var err error
		ln, err = open()
		return err
	})
	return ln, ok, err
}

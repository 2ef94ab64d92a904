package relay

import (
	"log/slog"
	"net"
	"time"
)

// A start goes on over trouble that may pass: a relay that ends for it would only be
// started again, and what it owes would wait for longer.

const (
	patienceEvery  = 50 * time.Millisecond // between two tries
	listenPatience = 5 * time.Second       // after which an address that is taken is a fault of the configuration
	reopenPatience = time.Second           // the loop stands still meanwhile
)

// patiently tries until try succeeds, or fails with another error than may pass, or most
// is over (0 for no limit), or stop is closed: ok is false then. The first failure is
// logged as what.
func patiently(log *slog.Logger, what string, stop <-chan struct{}, most time.Duration, mayPass func(error) bool, try func() error) (ok bool, err error) {
	began := time.Now()
	for first := true; ; first = false {
		if err = try(); err == nil || !mayPass(err) || most > 0 && time.Since(began) >= most {
			return err == nil, err
		}
		if first {
			log.Warn(what+": tried again until it works", "err", err)
		}
		select {
		case <-stop:
			return false, nil
		case <-time.After(patienceEvery):
		}
	}
}

// ownPatiently waits for the lock of the state folder.
func (r *Relay) ownPatiently(stop <-chan struct{}) (ok bool, err error) {
	held := false
	ok, err = patiently(r.log, "lock", stop, 0, isDiskTrouble, func() error {
		var err error
		held, err = r.owner.wait(r.cfg.StateDir, stop)
		return err
	})
	return ok && held, err
}

// openLogPatiently opens the log once the disk lets it.
func (r *Relay) openLogPatiently(stop <-chan struct{}) (owed int, ok bool, err error) {
	ok, err = patiently(r.log, "log", stop, 0, isDiskTrouble, func() error {
		var err error
		if owed, err = r.openLog(); err != nil {
			r.fig.waits.Store("waits for the disk: " + err.Error())
		}
		return err
	})
	return owed, ok, err
}

// listenPatiently listens at an address that another process may still have.
func listenPatiently[L net.Listener](log *slog.Logger, stop <-chan struct{}, open func() (L, error)) (ln L, ok bool, err error) {
	ok, err = patiently(log, "listen", stop, listenPatience, isListenTrouble, func() error {
		var err error
		ln, err = open()
		return err
	})
	return ln, ok, err
}

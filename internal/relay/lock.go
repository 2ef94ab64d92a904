package relay

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Names in the state folder. Two processes may share the folder during an
// upgrade; the locks are advisory ones on open files, so that the kernel frees
// them when their process dies, however it dies.
const (
	lockName = "relay.lock" // its holder alone sends calls, ends messages and writes the log
	nextName = "relay.next" // held by a process that is ready to take over
	sideName = "relay.side" // what an old process still has to tell; locked as long as it lives
)

// fileLock is a lock on a file of its own; it may be tried again and again.
type fileLock struct{ f *os.File }

func openLock(dir, name string) (*fileLock, error) {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &fileLock{f}, nil
}

// try takes the lock if nobody holds it.
func (l *fileLock) try() (bool, error) { return tryLock(l.f) }

func (l *fileLock) free() error {
	if err := syscall.Flock(int(l.f.Fd()), syscall.LOCK_UN); err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	return nil
}

func (l *fileLock) close() { l.f.Close() }

// held reports whether another holds the lock.
func (l *fileLock) held() (bool, error) {
	got, err := l.try()
	if got {
		err = l.free()
	}
	return !got && err == nil, err
}

func tryLock(f *os.File) (bool, error) {
	for {
		switch err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); {
		case err == nil:
			return true, nil
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EWOULDBLOCK):
			return false, nil
		default:
			return false, fmt.Errorf("lock: %w", err)
		}
	}
}

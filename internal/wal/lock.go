package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Names of locks in the state folder. They are advisory ones on open files, so
// that the kernel frees them when their process dies, however it dies.
const (
	LockName          = "relay.lock" // its holder alone sends calls, ends messages and writes the log
	SuccessorLockName = "relay.next" // held by a process that is ready to take over
)

// Lock is a lock on a file of its own; it may be tried again and again.
type Lock struct{ f *os.File }

// OpenLock makes the file where it is missing.
func OpenLock(dir, name string) (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &Lock{f}, nil
}

// TryLock takes the lock if nobody holds it.
func (l *Lock) TryLock() (bool, error) { return tryLock(l.f) }

// Unlock lets go of it.
func (l *Lock) Unlock() error {
	if err := syscall.Flock(int(l.f.Fd()), syscall.LOCK_UN); err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	return nil
}

// Close lets go of it for good.
func (l *Lock) Close() { l.f.Close() }

// HeldByOther reports whether another holds the lock.
func (l *Lock) HeldByOther() (bool, error) {
	got, err := l.TryLock()
	if got {
		err = l.Unlock()
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

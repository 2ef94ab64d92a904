package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Names of the lock files in the state folder. The locks are advisory locks on open files.
// The kernel releases them when their process dies for any reason.
const (
	// LockName is locked by the one process that sends calls, completes
	// messages and writes the log.
	LockName = "relay.lock"
	// SuccessorLockName is locked by a process that is ready to take over.
	SuccessorLockName = "relay.next"
)

// Lock is a lock on a file that can be locked and unlocked repeatedly. OpenLock creates
// it, and its caller closes it. It is not safe for concurrent use.
type Lock struct{ f *os.File }

// OpenLock opens a lock file and creates it if it is missing. It does not take the lock.
func OpenLock(dir, name string) (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("wal: open lock: %w", err)
	}
	return &Lock{f}, nil
}

// TryLock takes the lock, or returns false if another process holds it.
func (l *Lock) TryLock() (bool, error) { return tryLock(l.f) }

// Unlock releases the lock.
func (l *Lock) Unlock() error {
	if err := syscall.Flock(int(l.f.Fd()), syscall.LOCK_UN); err != nil {
		return fmt.Errorf("wal: unlock: %w", err)
	}
	return nil
}

// Close releases the lock and closes its file.
func (l *Lock) Close() { l.f.Close() }

// HeldByOther reports whether another process holds the lock.
func (l *Lock) HeldByOther() (bool, error) {
	locked, err := l.TryLock()
	if locked {
		err = l.Unlock()
	}
	return !locked && err == nil, err
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
			return false, fmt.Errorf("wal: lock: %w", err)
		}
	}
}

// LockFolder takes a state folder's locks for a command-line tool. It creates no files.
// release releases the locks. It returns ErrInUse if a relay uses the folder, or a relay's
// previous process still writes its handoff log.
func LockFolder(dir string) (release func(), err error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("wal: %s: not a folder", dir)
	}
	var files []*os.File
	release = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range []string{LockName, HandoffName} {
		f, err := lockExisting(filepath.Join(dir, name))
		if err != nil {
			release()
			return nil, fmt.Errorf("%s: %w", dir, err)
		}
		if f != nil {
			files = append(files, f)
		}
	}
	return release, nil
}

// lockExisting opens a file and locks it until it is closed. It returns nil if the file is missing.
func lockExisting(path string) (*os.File, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	locked, err := tryLock(f)
	if err == nil && !locked {
		err = ErrInUse
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

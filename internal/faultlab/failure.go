package faultlab

import (
	"context"
	"sync"
)

// failure holds the first error that makes a run unusable, and stops the run at that
// error. It is safe for concurrent use.
type failure struct {
	stop context.CancelFunc // stops the run; it is assigned before the first call of set

	mu  sync.Mutex
	err error
}

// set records an error and stops the run, if it is the first one; nil is ignored.
func (f *failure) set(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
		f.stop()
	}
}

func (f *failure) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

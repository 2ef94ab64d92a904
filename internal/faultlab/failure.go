package faultlab

import (
	"context"
	"sync"
)

// failure is the first error that keeps a run from being one; it stops the run. It
// is safe for concurrent use.
type failure struct {
	stop context.CancelFunc // set before use

	mu  sync.Mutex
	err error
}

// set takes an error, if it is the first; nil is none.
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

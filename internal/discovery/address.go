package discovery

import (
	"context"
	"sync"
)

// agentAddress is the address of the discovery agent. The address may be replaced
// while a call is in flight. It is safe for concurrent use.
type agentAddress struct {
	mu         sync.Mutex
	addr       string
	cancelCall context.CancelFunc // ends the call that is in flight to addr
}

// beginCall returns the address to call, and a context that ends when ctx does or
// when the address is replaced. The caller must call the CancelFunc when its call
// is over.
func (a *agentAddress) beginCall(ctx context.Context) (context.Context, context.CancelFunc, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	a.cancelCall = cancel
	return ctx, cancel, a.addr
}

// SetAddress directs the next call to addr, and cancels the one that is in
// flight. Setting the present address again has no effect.
func (a *agentAddress) SetAddress(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	if a.cancelCall != nil {
		a.cancelCall()
	}
}

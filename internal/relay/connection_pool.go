package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connectionPool limits the connections to all endpoints together. Each endpoint
// has its own idle connections, so that they can be closed alone; with many
// endpoints they would add up to more descriptors than the process has.
//
// The loop owns it; openConns is also changed by the goroutines that dial and
// close connections.
type connectionPool struct {
	maxConns  int          // open connections, those being dialled included; 0 for no limit
	openConns atomic.Int64 // now
	endpoints []*endpoint  // that may have connections, roughly the least recently used first
}

// prepareCall records that a call to the endpoint is about to begin. At the limit
// it closes idle connections of other endpoints to make place for the one that
// the call may open.
func (p *connectionPool) prepareCall(ep *endpoint) {
	if ep.countedTransport != ep.transport {
		p.countConnections(ep.transport)
		ep.countedTransport = ep.transport
	}
	ep.callsStarted++
	if !ep.isPooled {
		ep.isPooled = true
		p.enqueue(ep)
	}
	p.closeLeastRecentlyUsed(ep)
}

// countConnections makes openConns include the connections of a transport.
func (p *connectionPool) countConnections(transport *http.Transport) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		p.openConns.Add(1)
		conn, err := dial(ctx, network, addr)
		if err != nil {
			p.openConns.Add(-1)
			return nil, err
		}
		if ec, ok := conn.(*endpointConn); ok {
			ec.onClose = sync.OnceFunc(func() { p.openConns.Add(-1) })
		}
		return conn, nil
	}
}

// closeLeastRecentlyUsed closes idle connections of endpoints, the least
// recently used first, until the pool is below its limit or each endpoint was
// looked at once. An endpoint that was used since it was enqueued goes to the
// end; except, the one that is about to be called, and those with calls in
// flight, are passed over.
func (p *connectionPool) closeLeastRecentlyUsed(except *endpoint) {
	for n := len(p.endpoints); p.isFull() && n > 0; n-- {
		ep := p.endpoints[0]
		p.endpoints = p.endpoints[1:]
		isUsedSince := ep.callsAtEnqueue != ep.callsStarted
		if ep == except || len(ep.calls) > 0 || isUsedSince {
			p.enqueue(ep)
			continue
		}
		ep.isPooled = false
		ep.transport.CloseIdleConnections()
	}
}

func (p *connectionPool) enqueue(ep *endpoint) {
	ep.callsAtEnqueue = ep.callsStarted
	p.endpoints = append(p.endpoints, ep)
}

func (p *connectionPool) isFull() bool {
	return p.maxConns > 0 && p.openConns.Load() >= int64(p.maxConns)
}

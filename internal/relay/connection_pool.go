package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connectionPool limits the total number of connections to endpoints. Each endpoint
// has its own transport with idle connections, so that they can be closed
// separately; with many endpoints their sum could exceed the descriptors of the
// process.
//
// The loop owns the pool; openConns is also changed by the goroutines that dial and
// close connections.
type connectionPool struct {
	maxConns  int          // limit on open connections, including those being dialled; 0 for none
	openConns atomic.Int64 // current number of connections, including those being dialled
	endpoints []*endpoint  // endpoints that may have connections, roughly the least recently used first
}

// prepareCall records that a call to the endpoint is about to begin. At the limit
// it closes idle connections of other endpoints, so that the call may open a new
// connection.
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

// countConnections replaces the transport's DialContext by one that includes its
// connections in openConns.
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

// closeLeastRecentlyUsed closes idle connections of endpoints, the least recently
// used first, until the pool is below its limit or each endpoint was considered
// once. It skips except, which is about to be called, endpoints with calls in
// flight and endpoints that were used since they were enqueued; these move to the
// end of the queue.
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

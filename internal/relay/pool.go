package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connectionPool bounds the connections to all endpoints together. Each endpoint keeps its
// idle ones for itself, so that they can be given back alone; with many endpoints
// that adds up to more descriptors than there are.
type connectionPool struct {
	maxConns  int          // connections, those that are being opened among them; 0 for no bound
	openConns atomic.Int64 // now
	endpoints []*endpoint  // that may hold some, roughly the one used longest ago first
}

// countConnections has the connections of an endpoint counted.
func (p *connectionPool) countConnections(transport *http.Transport) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		p.openConns.Add(1)
		conn, err := dial(ctx, network, addr)
		if err != nil {
			p.openConns.Add(-1)
			return nil, err
		}
		if line, ok := conn.(*endpointConn); ok {
			line.onClose = sync.OnceFunc(func() { p.openConns.Add(-1) })
		}
		return conn, nil
	}
}

// prepareCall books that a call is about to go to an endpoint, and makes room for the
// connection that it may need: those give up their idle ones that were used longest
// ago and have no call out.
func (p *connectionPool) prepareCall(ep *endpoint) {
	if ep.countedTransport != ep.transport {
		p.countConnections(ep.transport)
		ep.countedTransport = ep.transport
	}
	if ep.callsStarted++; !ep.isPooled {
		ep.isPooled = true
		p.endpoints = append(p.endpoints, ep)
		ep.callsAtEnqueue = ep.callsStarted
	}
	for n := len(p.endpoints); p.maxConns > 0 && p.openConns.Load() >= int64(p.maxConns) && n > 0; n-- {
		candidate := p.endpoints[0]
		p.endpoints = p.endpoints[1:]
		if candidate == ep || len(candidate.calls) > 0 || candidate.callsAtEnqueue != candidate.callsStarted { // not so long ago: to the end
			candidate.callsAtEnqueue = candidate.callsStarted
			p.endpoints = append(p.endpoints, candidate)
			continue
		}
		candidate.isPooled = false
		candidate.transport.CloseIdleConnections()
	}
}

package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// pool bounds the connections to all endpoints together. Each endpoint keeps its
// idle ones for itself, so that they can be given back alone; with many endpoints
// that adds up to more descriptors than there are.
type pool struct {
	most int          // connections, those that are being opened among them; 0 for no bound
	open atomic.Int64 // now
	used []*endpoint  // that may hold some, roughly the one used longest ago first
}

// count has the connections of an endpoint counted.
func (p *pool) count(conns *http.Transport) {
	dial := conns.DialContext
	conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		p.open.Add(1)
		conn, err := dial(ctx, network, addr)
		if err != nil {
			p.open.Add(-1)
			return nil, err
		}
		if line, ok := conn.(*lineConn); ok {
			line.closed = sync.OnceFunc(func() { p.open.Add(-1) })
		}
		return conn, nil
	}
}

// use books that a call is about to go to an endpoint, and makes room for the
// connection that it may need: those give up their idle ones that were used longest
// ago and have no call out.
func (p *pool) use(ep *endpoint) {
	if ep.counted != ep.conns {
		p.count(ep.conns)
		ep.counted = ep.conns
	}
	if ep.lastUse++; !ep.pooled {
		ep.pooled = true
		p.used = append(p.used, ep)
		ep.seenUse = ep.lastUse
	}
	for n := len(p.used); p.most > 0 && p.open.Load() >= int64(p.most) && n > 0; n-- {
		old := p.used[0]
		p.used = p.used[1:]
		if old == ep || len(old.calls) > 0 || old.seenUse != old.lastUse { // not so long ago: to the end
			old.seenUse = old.lastUse
			p.used = append(p.used, old)
			continue
		}
		old.pooled = false
		old.conns.CloseIdleConnections()
	}
}

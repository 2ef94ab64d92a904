package link

import (
	"net"
	"sync"
)

// connKey is both addresses of a connection as its server sees them: the kernel
// gives one port to several connections with different servers.
type connKey struct{ client, server string }

// Net knows all open connections of a lab's links. It is safe for concurrent use.
type Net struct {
	mu    sync.Mutex
	conns map[connKey]*Conn
}

// NewNet returns one without connections.
func NewNet() *Net { return &Net{conns: map[connKey]*Conn{}} }

// Find returns the link's end of a connection that a server has accepted, or nil.
func (n *Net) Find(accepted net.Conn) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[connKey{accepted.RemoteAddr().String(), accepted.LocalAddr().String()}]
}

// Open is the number of open connections.
func (n *Net) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Net) add(key connKey, c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[key] = c
}

func (n *Net) remove(key connKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, key)
}

package link

import (
	"net"
	"sync"
)

// connKey identifies a connection by the addresses of both sides. The client's address
// alone does not, since the kernel may use one port for connections to several servers.
type connKey struct{ client, server string }

// Net holds all open connections of a lab's links. It is safe for concurrent use.
type Net struct {
	mu    sync.Mutex
	conns map[connKey]*Conn
}

// NewNet returns a Net without connections.
func NewNet() *Net { return &Net{conns: map[connKey]*Conn{}} }

// Find returns the link's Conn for a connection that a server has accepted, or nil if that
// did not come over a link.
func (n *Net) Find(accepted net.Conn) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[connKey{accepted.RemoteAddr().String(), accepted.LocalAddr().String()}]
}

// Open returns the number of open connections.
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

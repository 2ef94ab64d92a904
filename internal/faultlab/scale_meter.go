package faultlab

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// meter passes connections on to one address and counts their bytes, both ways.
type meter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newMeter(addr, target string) (*meter, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	m := &meter{listener: ln, target: target, conns: map[net.Conn]bool{}}
	go m.run()
	return m, nil
}

func (m *meter) addr() string { return m.listener.Addr().String() }

func (m *meter) run() {
	for {
		near, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.forward(near)
	}
}

// add keeps a connection to be closed with the meter; false where that is closed.
func (m *meter) add(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = true
	return !m.closed
}

func (m *meter) remove(c net.Conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

func (m *meter) forward(near net.Conn) {
	defer m.remove(near)
	far, err := net.Dial("tcp4", m.target)
	if err != nil {
		return
	}
	defer m.remove(far)
	if !m.add(near) || !m.add(far) {
		return
	}
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			io.Copy(way[0], counted{way[1], &m.bytes})
			way[0].(*net.TCPConn).CloseWrite()
			done <- struct{}{}
		}()
	}
	<-done
	near.Close() // neither side of HTTP goes on without the other
	far.Close()
	<-done
}

func (m *meter) close() {
	m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for c := range m.conns {
		c.Close()
	}
}

// counted counts what is read.
type counted struct {
	io.Reader
	bytes *atomic.Int64
}

// Read counts.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

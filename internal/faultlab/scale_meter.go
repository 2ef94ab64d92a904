package faultlab

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// meter is a proxy to one address that counts the bytes in both directions. Whoever
// makes a meter closes it.
type meter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	running  sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// newMeter starts a meter at addr that forwards to target.
func newMeter(addr, target string) (*meter, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	m := &meter{listener: listener, target: target, conns: map[net.Conn]bool{}}
	m.running.Add(1)
	go m.accept()
	return m, nil
}

func (m *meter) addr() string { return m.listener.Addr().String() }

// accept accepts connections until the listener is closed.
func (m *meter) accept() {
	defer m.running.Done()
	for {
		client, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.running.Add(1)
		go m.forward(client)
	}
}

// add registers a connection that is to be closed with the meter; false if the meter is
// closed already.
func (m *meter) add(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[conn] = true
	return !m.closed
}

// remove closes a connection and forgets it.
func (m *meter) remove(conn net.Conn) {
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

// forward forwards one connection until either side closes it: with HTTP, neither side
// goes on without the other.
func (m *meter) forward(client net.Conn) {
	defer m.running.Done()
	defer m.remove(client)
	server, err := net.Dial("tcp4", m.target)
	if err != nil {
		return
	}
	defer m.remove(server)
	if !m.add(client) || !m.add(server) {
		return
	}
	done := make(chan struct{}, 2)
	for _, direction := range []struct{ to, from net.Conn }{{client, server}, {server, client}} {
		go func() {
			io.Copy(direction.to, countingReader{direction.from, &m.bytes})
			direction.to.(*net.TCPConn).CloseWrite()
			done <- struct{}{}
		}()
	}
	<-done
	client.Close()
	server.Close()
	<-done
}

// close ends the meter with its connections, and waits for its goroutines.
func (m *meter) close() {
	m.listener.Close()
	m.mu.Lock()
	m.closed = true
	for conn := range m.conns {
		conn.Close()
	}
	m.mu.Unlock()
	m.running.Wait()
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	bytes *atomic.Int64
}

// Read reads and counts.
func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes.Add(int64(n))
	return n, err
}

package relay

import (
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// commandTimeout is the time in which a command must be complete, and in which
	// a connection without messages must send its next command. If a peer stops
	// within a command, its connection must be closed within 3 s.
	commandTimeout = 2500 * time.Millisecond
	// clientTimeout is how long clients wait for a response before they submit
	// the message to another relay. The protocol defines it.
	clientTimeout = 400 * time.Millisecond
	// releaseTimeout is how long a connection that is to be closed may go on with requests
	// of a client that never pauses between two. It leaves time for the last responses before
	// a drain must be complete and before a process ends that was told to.
	releaseTimeout = 1500 * time.Millisecond
	// clientWriteTimeout bounds a write to a client that does not read. It is
	// well above clientTimeout, after which the client no longer waits.
	clientWriteTimeout = 2 * time.Second
)

// pastDeadline is a deadline in the past: setting it ends a read or accept at once.
var pastDeadline = time.Unix(1, 0)

// clientServer accepts the connections of clients, submits the messages that it
// receives on them and writes the responses. Create it with newClientServer and end
// it with close. Its methods may be called by several goroutines.
type clientServer struct {
	cfg    *Config
	log    *slog.Logger
	submit func(*putRequest) // passes a message to the relay's loop, which responds; must not block
	// onResponded is called once for each submitted message, except those whose
	// response is still missing when the server is closed. delivered is false if
	// the client left before the response, if the response could not be written, or
	// if the message was accepted only after clientTimeout, so that the client got
	// BUSY instead.
	onResponded func(q *putRequest, delivered bool)
	// commandTimeout bounds the time for a whole command. A connection with an
	// incomplete command may be exempt from eviction, so without the bound its peer
	// could hold the slot for ever. Before the first message of a connection, the
	// time counts from the connect or from the last PING, so that a peer that sends
	// nothing is disconnected too. A peer that sends PING in time may stay connected.
	commandTimeout time.Duration
	// clientTimeout is the age of a request after which its client submits the
	// message to another relay, so that it must not be accepted here any more.
	clientTimeout time.Duration
	commandMemory *commandMemory
	commandRate   *commandRate
	// onCommandDropped is called for each command that was dropped for want of memory.
	onCommandDropped func()
	accept4          func(fd, flags int) (int, syscall.Sockaddr, error) // the system call; tests replace it

	mu             sync.Mutex
	maxConns       int                  // limit on open connections; see connection_limit.go
	conns          map[*clientConn]bool // connections that are not evicted
	evicted        map[*clientConn]bool // connections that are evicted and not closed yet
	openConns      int                  // number of slots in use, including those of evicted connections
	isClosing      bool                 // connections are closed after their next response
	isDraining     bool                 // PING is answered with errDraining
	slotFreed      chan struct{}        // capacity 1: signals that a descriptor was freed
	isClosed       bool
	closed         chan struct{}  // closed by the method close
	connGoroutines sync.WaitGroup // counts the goroutines that serve connections; the method close waits for them
}

func newClientServer(cfg *Config, log *slog.Logger, submit func(*putRequest), onResponded func(*putRequest, bool)) *clientServer {
	maxConns, _ := cfg.socketBudget()
	return &clientServer{
		cfg:              cfg,
		log:              log,
		submit:           submit,
		onResponded:      onResponded,
		commandTimeout:   commandTimeout,
		clientTimeout:    clientTimeout,
		accept4:          syscall.Accept4,
		commandMemory:    newCommandMemory(cfg.commandMemoryLimit()),
		commandRate:      newCommandRate(),
		onCommandDropped: func() {},
		maxConns:         maxConns,
		conns:            map[*clientConn]bool{},
		evicted:          map[*clientConn]bool{},
		closed:           make(chan struct{}),
		slotFreed:        make(chan struct{}, 1),
	}
}

// startConnection serves a new connection in its own goroutine. If no slot becomes
// free in time, the connection is closed unread.
func (c *clientServer) startConnection(conn net.Conn) {
	if !c.reserveSlot() {
		conn.Close()
		return
	}
	now := time.Now()
	cc := &clientConn{Conn: conn, idleSince: now, commandDeadline: now.Add(c.commandTimeout)}
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		cc.Close()
		c.freeSlot(cc)
		return
	}
	if c.isClosing { // one request is allowed, as drainConnections allows to new connections
		cc.markReleased()
		cc.commandDeadline = now.Add(clientTimeout)
	}
	cc.limitReadUntil(cc.commandDeadline)
	c.conns[cc] = true
	c.connGoroutines.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.connGoroutines.Done()
		c.serveConnection(cc)
		c.closeGracefully(cc)
		cc.Close()
		c.freeSlot(cc)
	}()
}

// close closes all connections, also those with a request in progress, and waits
// for their goroutines. Connections that are accepted later are closed at once.
// It must be called once.
func (c *clientServer) close() {
	c.mu.Lock()
	c.isClosed = true
	close(c.closed)
	for cc := range c.conns {
		cc.Close()
	}
	for cc := range c.evicted {
		cc.Close()
	}
	c.mu.Unlock()
	c.connGoroutines.Wait()
}

// connectionCount returns the number of open connections that are not evicted.
func (c *clientServer) connectionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// drainConnections closes connections now that are idle after a request. Those with
// requests in progress are closed once these are answered, and all after releaseTimeout. A connection on which no
// request has begun yet, or that is accepted later, has clientTimeout for its first
// request; it is closed after the response, or at the end of that time if no request
// has begun.
func (c *clientServer) drainConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	for cc := range c.conns {
		cc.markReleased()
		switch {
		case cc.pendingRequests > 0:
		case cc.hasReceivedRequest:
			cc.release()
		default: // a new connection, whose first request may be in transit
			cc.limitReadUntil(time.Now().Add(clientTimeout))
		}
	}
}

// setDraining makes PING fail, or succeed again. When it ends the draining,
// connections stay open after their responses again, except those that were
// released before.
func (c *clientServer) setDraining(isDraining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = isDraining
	if !isDraining {
		c.isClosing = false
	}
}

// pingFails reports whether PING is answered with errDraining.
func (c *clientServer) pingFails() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDraining
}

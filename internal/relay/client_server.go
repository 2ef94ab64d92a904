package relay

import (
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// commandTimeout bounds the time in which a command is to be complete, and
	// a connection without messages is to send its next one. Peers that stop
	// within a command must see the connection closed within 3 s.
	commandTimeout = 2500 * time.Millisecond
	// clientTimeout is how long clients wait for a response before they submit
	// the message elsewhere, as the protocol has it.
	clientTimeout = 400 * time.Millisecond
	// clientWriteTimeout bounds a write to a client that does not read. It is
	// well above clientTimeout: the client has left by then.
	clientWriteTimeout = 2 * time.Second
)

// pastDeadline as a deadline ends a wait at once.
var pastDeadline = time.Unix(1, 0)

// clientServer accepts the connections of clients, submits the messages that
// come on them and writes the responses. Create it with newClientServer and end
// it with close. Its methods may be called by several goroutines.
type clientServer struct {
	cfg    *Config
	log    *slog.Logger
	submit func(*putRequest) // gives a message to the relay's loop, which responds; must not block
	// onResponded is called once for each submitted message, except those that
	// wait for their response when the server is closed. delivered is false where
	// the client left before the response, or got BUSY because it came too late.
	onResponded func(q *putRequest, delivered bool)
	// commandTimeout bounds the time for a whole command. A connection within a
	// command may be exempt from eviction; without the bound its peer could hold
	// the slot for ever. A peer that sends nothing, or nothing but PING, could do
	// so too: until its first message the time counts from the connect or from
	// the last PING.
	commandTimeout time.Duration
	// clientTimeout is the age of a request from which on its client has
	// submitted the message elsewhere, so that it is not accepted here.
	clientTimeout time.Duration
	accept4       func(fd, flags int) (int, syscall.Sockaddr, error) // the system call; tests replace it

	mu         sync.Mutex
	maxConns   int                  // limit on open connections, see connection_limit.go
	conns      map[*clientConn]bool // the connections that are not evicted
	evicted    map[*clientConn]bool // evicted and not closed yet
	openConns  int                  // slots in use, those of evicted connections included
	isClosing  bool                 // connections are closed after their next response
	isDraining bool                 // PING is answered with errDraining
	slotFreed  chan struct{}        // capacity 1: signals that a descriptor was freed
	isClosed   bool
	closed     chan struct{}  // closed by close
	sessions   sync.WaitGroup // the connections' goroutines
}

func newClientServer(cfg *Config, log *slog.Logger, submit func(*putRequest), onResponded func(*putRequest, bool)) *clientServer {
	maxConns, _ := cfg.socketBudget()
	return &clientServer{
		cfg:            cfg,
		log:            log,
		submit:         submit,
		onResponded:    onResponded,
		commandTimeout: commandTimeout,
		clientTimeout:  clientTimeout,
		accept4:        syscall.Accept4,
		maxConns:       maxConns,
		conns:          map[*clientConn]bool{},
		evicted:        map[*clientConn]bool{},
		closed:         make(chan struct{}),
		slotFreed:      make(chan struct{}, 1),
	}
}

// startConnection serves a new connection in a goroutine of its own. Where no
// slot is free in time it is closed unread.
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
	if c.isClosing { // one request, as for connections that were new when the closing began
		cc.isReleased, cc.commandDeadline = true, time.Now().Add(clientTimeout)
	}
	cc.limitReadUntil(cc.commandDeadline)
	c.conns[cc] = true
	c.sessions.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.sessions.Done()
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
	c.sessions.Wait()
}

// connectionCount is the number of open connections that are not evicted.
func (c *clientServer) connectionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// drainConnections closes idle connections now, and each other one, as well as
// those that are accepted later, after its response.
func (c *clientServer) drainConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	for cc := range c.conns {
		switch {
		case cc.pendingRequests > 0:
		case cc.hasReceivedRequest:
			cc.release()
		default: // new: its first request may be under way
			cc.isReleased = true
			cc.limitReadUntil(time.Now().Add(clientTimeout))
		}
	}
}

// setDraining has PING fail, or succeed again. Back in service, connections are
// kept open as before; those that were released meanwhile still close.
func (c *clientServer) setDraining(isDraining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = isDraining
	if !isDraining {
		c.isClosing = false
	}
}

// pingFails reports whether PING is to fail.
func (c *clientServer) pingFails() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDraining
}

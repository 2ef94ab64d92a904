package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// soReusePort is the socket option SO_REUSEPORT, which package syscall does not
// define for every architecture. With it, two processes of a relay can listen at the
// same address during a rolling upgrade.
const soReusePort = 0xf

// acceptRetryDelay is the pause after a failed accept. It is short enough that a
// client does not notice, and long enough to avoid a busy loop while descriptors
// are exhausted.
const acceptRetryDelay = 10 * time.Millisecond

// Limits of acceptQueued. The listener is closed after it, and the kernel resets the
// connections that were not accepted, so acceptQueued tolerates many errors.
const (
	shortageRetryDelay = 5 * time.Millisecond   // pause between two attempts while descriptors or memory are exhausted
	maxShortageWait    = 500 * time.Millisecond // maximum sum of these pauses: clients give up after clientTimeout
	maxAcceptErrors    = 10000                  // maximum errors of single connections; more than the backlog of any listener
)

// listenReusePort listens at a TCP address that another process of this relay
// may be listening at too.
func listenReusePort(ctx context.Context, addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	ln, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln.(*net.TCPListener), nil
}

// serve accepts connections until the listener is closed or stopListening is
// called. Other errors are logged and do not end it: descriptors may be exhausted
// for a moment, or a client may have left before it was accepted.
func (c *clientServer) serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			c.startConnection(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.acceptQueued(ln.(*net.TCPListener))
			return ln.Close()
		default:
			c.log.Warn("accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// stopListening makes serve accept the connections that are queued now and then
// close the listener. The kernel resets connections that are never accepted.
func (c *clientServer) stopListening(ln *net.TCPListener) { ln.SetDeadline(pastDeadline) }

// acceptQueued accepts the connections in the listener's backlog without
// waiting for more.
func (c *clientServer) acceptQueued(ln *net.TCPListener) {
	raw, err := ln.SyscallConn()
	if err != nil {
		c.log.Error("accept of queued connections failed", "err", err)
		return
	}
	raw.Control(func(fd uintptr) {
		waited, failures := time.Duration(0), 0
		for {
			err := c.acceptNext(int(fd))
			switch {
			case err == nil:
			case isAcceptError(err) && failures < maxAcceptErrors:
				failures++
			case errors.Is(err, syscall.EAGAIN): // there are no more queued connections
				return
			case isShortage(err) && waited < maxShortageWait:
				waited += shortageRetryDelay
				time.Sleep(shortageRetryDelay)
			default:
				c.log.Error("accept of queued connections failed", "err", err)
				return
			}
		}
	})
}

// acceptNext accepts one connection, or returns EAGAIN if none is queued.
func (c *clientServer) acceptNext(fd int) error {
	accepted, _, err := c.accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return err
	}
	file := os.NewFile(uintptr(accepted), "client")
	defer file.Close()
	conn, err := connFromFile(file)
	if err != nil {
		c.log.Warn("accept of a queued connection failed", "err", err)
		return nil
	}
	c.startConnection(conn)
	return nil
}

// connFromFile returns a net.Conn with a duplicate of the file's descriptor. Until
// the file is closed, that takes a second descriptor, so connFromFile waits while
// descriptors are exhausted, for up to maxShortageWait.
func connFromFile(file *os.File) (net.Conn, error) {
	conn, err := net.FileConn(file)
	for waited := time.Duration(0); err != nil && isShortage(err) && waited < maxShortageWait; waited += shortageRetryDelay {
		time.Sleep(shortageRetryDelay)
		conn, err = net.FileConn(file)
	}
	return conn, err
}

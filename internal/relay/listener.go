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

// soReusePort is SO_REUSEPORT, which package syscall does not define on every
// port. It lets the next process of a rolling upgrade listen at the same address.
const soReusePort = 0xf

// acceptRetryDelay is the pause after a failed accept: short enough that a
// client does not notice, long enough not to spin while descriptors are short.
const acceptRetryDelay = 10 * time.Millisecond

// Bounds of acceptQueued. The listener closes behind it, and the kernel resets
// what was not accepted, so it puts up with more errors than serve.
const (
	shortageRetryDelay = 5 * time.Millisecond   // between two attempts while descriptors or memory are short
	maxShortageWait    = 500 * time.Millisecond // the sum of such delays: clients have given up by then
	maxAcceptErrors    = 10000                  // errors of single connections: more than any listener's backlog
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
// called. Other errors are logged and do not end it: descriptors may be short
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
			case errors.Is(err, syscall.EAGAIN): // the backlog is empty
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

// acceptNext accepts one connection, or returns EAGAIN where none is queued.
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

// connFromFile duplicates the file's descriptor into a net.Conn. For a moment
// that takes a second descriptor, so it waits while they are short.
func connFromFile(file *os.File) (net.Conn, error) {
	conn, err := net.FileConn(file)
	for waited := time.Duration(0); err != nil && isShortage(err) && waited < maxShortageWait; waited += shortageRetryDelay {
		time.Sleep(shortageRetryDelay)
		conn, err = net.FileConn(file)
	}
	return conn, err
}

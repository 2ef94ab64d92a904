package link

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// accept accepts connections from one listener until the listener is closed.
func (l *Link) accept(listener *net.TCPListener) {
	defer l.wg.Done()
	for {
		client, err := listener.AcceptTCP()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // SetFaults has cut the link and set the deadline
			if !l.waitWhileCut(listener) {
				return
			}
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptBackoff)
		case l.closeFiller(client.RemoteAddr().String()):
			client.Close()
		default:
			l.wg.Add(1)
			go l.connect(client)
		}
	}
}

// closeFiller closes a connection that fillQueue opened, and reports whether remoteAddr
// belongs to one.
func (l *Link) closeFiller(remoteAddr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	filler, ok := l.fillers[remoteAddr]
	if ok {
		filler.Close()
		delete(l.fillers, remoteAddr)
	}
	return ok
}

// waitWhileCut prevents new connections while the link is cut: it keeps the accept queue
// full, so that the kernel drops requests for a connection without an answer. It returns
// false if the link was closed or began to refuse connections, and the listener is closed.
func (l *Link) waitWhileCut(listener *net.TCPListener) bool {
	setBacklog(listener, 0)
	l.fillQueue()
	for {
		l.mu.Lock()
		isCut, ended, changed := l.isCut(), l.closed || l.refusing, l.changed
		l.mu.Unlock()
		if ended {
			return false
		}
		if !isCut {
			setBacklog(listener, backlog)
			listener.SetDeadline(time.Time{})
			return true
		}
		<-changed
	}
}

// fillQueue opens connections to the link itself until its accept queue is full.
func (l *Link) fillQueue() {
	for range maxFillers {
		filler, err := net.DialTimeout("tcp4", l.addr, fillerTimeout)
		if err != nil {
			return // a timeout means that the queue is full
		}
		l.mu.Lock()
		l.fillers[filler.LocalAddr().String()] = filler
		l.mu.Unlock()
	}
}

func setBacklog(listener *net.TCPListener, size int) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return // the listener has been closed
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), size) })
}

// connect connects to the server for one client, and forwards bytes until the connection
// has ended.
func (l *Link) connect(client *net.TCPConn) {
	defer l.wg.Done()
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.Dial("tcp4", l.targetAddr)
	if err != nil { // a server that does not listen looks to the client like a reset
		client.SetLinger(0)
		client.Close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{link: l, client: client, server: server.(*net.TCPConn), ctx: ctx, cancel: cancel}
	key := connKey{server.LocalAddr().String(), server.RemoteAddr().String()}
	l.net.add(key, c)
	defer l.net.remove(key)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	ended := l.closed || l.refusing
	l.mu.Unlock()
	if ended {
		c.abort()
	}
	c.run()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

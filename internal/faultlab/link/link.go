// Package link is the lab's network: each link is a proxy for one pair of
// processes, whose connections can be cut one way or both, delayed, jittered,
// slowed, reset or left half open while the processes run. It promises that a
// cut says nothing (open connections stay open and silent, new ones never come
// up), that bytes pass in order, and that it knows when the last byte of
// something was written to the other side. What the bytes mean is left to the
// stand-ins.
package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Direction is one of a link's two.
type Direction int

// Forth runs from the side that connects to the side that listens.
const (
	ToServer Direction = iota
	ToClient
)

// Faults are what a link does to the bytes of one direction. The zero value
// passes them on at once.
type Faults struct {
	Cut    bool          // nothing passes, and nothing is said
	Delay  time.Duration // of each byte
	Jitter time.Duration // up to so much more, drawn for each piece; bytes stay in order
	Rate   int           // bytes a second; 0 for no bound
}

const (
	maxQueuedPieces = 64                     // pieces that wait in one direction; TCP holds back the rest
	maxPiece        = 16 << 10               // bytes of a piece
	maxRecorded     = 256 << 10              // bytes kept of a call that is not answered
	backlog         = 512                    // connections that wait to be accepted
	maxFillers      = 3                      // connections that keep the queue of a cut link full
	fillerTimeout   = 40 * time.Millisecond  // after which the queue is held to be full
	dialTimeout     = 500 * time.Millisecond // for the side that listens, on this machine
)

// Net knows all open connections of a lab by both addresses that the listening
// side sees: the kernel gives one port to several connections that go to
// different places.
type Net struct {
	mu    sync.Mutex
	conns map[[2]string]*Conn
}

// NewNet makes an empty one.
func NewNet() *Net { return &Net{conns: map[[2]string]*Conn{}} }

// Find gives the connection that a listening side has accepted, or nil.
func (n *Net) Find(accepted net.Conn) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[[2]string{accepted.RemoteAddr().String(), accepted.LocalAddr().String()}]
}

// Open is how many connections are open.
func (n *Net) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// OnCallLost tells of bytes of a call that never got through: all that the
// connecting side wrote since it last heard an answer, and when its first byte
// came. It is told when the connection ends, which may be long after.
type OnCallLost func(l *Link, written []byte, first time.Time)

// Link is a proxy from one process to another.
type Link struct {
	Source, Target string // names of the two processes
	net            *Net
	addr           string
	targetAddr     string
	onCallLost     OnCallLost
	random         func() float64
	wg             sync.WaitGroup

	mu       sync.Mutex
	faults   [2]Faults
	changed  chan struct{} // closed at each change of what follows, and of faults
	refuses  bool
	closed   bool
	listener *net.TCPListener
	fillers  map[string]net.Conn
	conns    map[*Conn]struct{}
}

// Listen starts a link at addr that leads to target. Close ends it.
func (n *Net) Listen(from, to, addr, target string, seed uint64, swallowed OnCallLost) (*Link, error) {
	r := rand.New(rand.NewPCG(seed, 0x6c696e6b))
	var mu sync.Mutex
	l := &Link{Source: from, Target: to, net: n, addr: addr, targetAddr: target, onCallLost: swallowed,
		random:  func() float64 { mu.Lock(); defer mu.Unlock(); return r.Float64() },
		changed: make(chan struct{}), fillers: map[string]net.Conn{}, conns: map[*Conn]struct{}{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.addr = l.listener.Addr().String()
	return l, nil
}

// Addr is where the connecting side connects.
func (l *Link) Addr() string { return l.addr }

func (l *Link) listen() error {
	ln, err := net.Listen("tcp4", l.addr)
	if err != nil {
		return fmt.Errorf("link %s to %s: %w", l.Source, l.Target, err)
	}
	l.listener = ln.(*net.TCPListener)
	l.wg.Add(1)
	go l.accept(l.listener)
	return nil
}

// currentFaults gives the faults of one direction, and what is closed when they change.
func (l *Link) currentFaults(d Direction) (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[d], l.changed
}

func (l *Link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetFaults puts faults on one direction, in place of those before.
func (l *Link) SetFaults(d Direction, f Faults) {
	l.mu.Lock()
	was := l.isCut()
	l.faults[d] = f
	now, ln := l.isCut(), l.listener
	l.notifyChange()
	l.mu.Unlock()
	if now && !was && ln != nil {
		ln.SetDeadline(time.Now()) // the accept loop fills the queue and waits
	}
}

// isCut tells whether a new connection cannot come up.
func (l *Link) isCut() bool { return l.faults[ToServer].Cut || l.faults[ToClient].Cut }

// SetRefusing has new connections refused and open ones reset, as when the process
// at the listening side has died. Refuse(false) listens again.
func (l *Link) SetRefusing(on bool) error {
	l.mu.Lock()
	if l.refuses == on || l.closed {
		l.mu.Unlock()
		return nil
	}
	l.refuses = on
	l.notifyChange()
	if !on {
		defer l.mu.Unlock()
		return l.listen()
	}
	l.listener.Close()
	l.mu.Unlock()
	l.ResetConns(1)
	return nil
}

// ResetConns ends open connections by a reset, each with the given probability, and
// tells how many.
func (l *Link) ResetConns(p float64) (n int) {
	for _, c := range l.openConns() {
		if p >= 1 || l.random() < p {
			c.abort()
			n++
		}
	}
	return n
}

// HalfOpen ends the listening side of each open connection and leaves the
// other side open and silent.
func (l *Link) HalfOpen() {
	for _, c := range l.openConns() {
		c.clientMuted.Store(true)
		c.server.SetLinger(0)
		c.server.Close()
	}
}

func (l *Link) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Close ends the link with all of its connections and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.notifyChange()
		l.listener.Close()
		for _, f := range l.fillers {
			f.Close()
		}
	}
	l.mu.Unlock()
	l.ResetConns(1)
	l.wg.Wait()
}

// accept takes connections from one listener until that is closed.
func (l *Link) accept(ln *net.TCPListener) {
	defer l.wg.Done()
	for {
		near, err := ln.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !l.waitWhileCut(ln) {
				return
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: not the link's end
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if l.takeFiller(near.RemoteAddr().String()) {
			near.Close()
			continue
		}
		l.wg.Add(1)
		go l.connect(near)
	}
}

func (l *Link) takeFiller(remote string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.fillers[remote]
	if ok {
		f.Close()
		delete(l.fillers, remote)
	}
	return ok
}

// waitWhileCut keeps new connections from coming up while the link is cut: with its
// accept queue full, the kernel drops what asks for one, and says nothing. It
// reports whether ln is to be listened to again.
func (l *Link) waitWhileCut(ln *net.TCPListener) bool {
	setBacklog(ln, 0)
	for range maxFillers {
		f, err := net.DialTimeout("tcp4", l.addr, fillerTimeout)
		if err != nil {
			break
		}
		l.mu.Lock()
		l.fillers[f.LocalAddr().String()] = f
		l.mu.Unlock()
	}
	for {
		l.mu.Lock()
		cut, gone, changed := l.isCut(), l.closed || l.refuses, l.changed
		l.mu.Unlock()
		if gone {
			return false
		}
		if !cut {
			setBacklog(ln, backlog)
			ln.SetDeadline(time.Time{})
			return true
		}
		<-changed
	}
}

func setBacklog(ln *net.TCPListener, n int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return // closed meanwhile
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}

// connect leads one connection on, and owns it until it has ended.
func (l *Link) connect(near *net.TCPConn) {
	defer l.wg.Done()
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.Dial("tcp4", l.targetAddr)
	if err != nil { // nobody listens there: as good as refused
		near.SetLinger(0)
		near.Close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{link: l, client: near, server: conn.(*net.TCPConn), ctx: ctx, cancel: cancel}
	ends := [2]string{conn.LocalAddr().String(), conn.RemoteAddr().String()}
	l.net.mu.Lock()
	l.net.conns[ends] = c
	l.net.mu.Unlock()
	l.mu.Lock()
	l.conns[c] = struct{}{}
	gone := l.closed || l.refuses
	l.mu.Unlock()
	if gone {
		c.abort()
	}
	c.run()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.net.mu.Lock()
	delete(l.net.conns, ends)
	l.net.mu.Unlock()
}

// Package link is the lab's network: each link is a proxy for one pair of
// processes, whose connections can be cut one way or both, delayed, throttled,
// reset or left half open while the processes run.
//
// A cut is silent: open connections stay open, and new ones never come up. Bytes
// stay in order, and a link knows when the last byte of a response was written to
// the client. What the bytes mean is left to package model.
package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxQueuedPieces = 64                     // in one direction; TCP holds back the rest
	maxPiece        = 16 << 10               // bytes
	maxRecorded     = 256 << 10              // bytes of a request without a response
	backlog         = 512                    // connections that wait to be accepted
	maxFillers      = 3                      // connections that fill the queue of a cut link
	fillerTimeout   = 40 * time.Millisecond  // after which the queue counts as full
	dialTimeout     = 500 * time.Millisecond // for the server, on this machine
	acceptBackoff   = 5 * time.Millisecond   // after a failed accept: out of descriptors, say
	closeGrace      = time.Second            // for a client to close what its server has closed
	randomSeed      = 0x6c696e6b
)

// OnCallLost is called with a request of which a part never reached the server: all
// that the client wrote since its last response, and when its first byte came. The
// call comes when the connection ends, which may be long after.
type OnCallLost func(l *Link, written []byte, firstByteAt time.Time)

// Link is a proxy from one process to another. It is safe for concurrent use;
// Net.Listen makes one, and its owner closes it.
type Link struct {
	Source, Target string // names of the two processes

	net        *Net
	addr       string
	targetAddr string
	onCallLost OnCallLost
	random     func() float64
	wg         sync.WaitGroup

	mu       sync.Mutex
	faults   [2]Faults // by direction
	refusing bool
	closed   bool
	changed  chan struct{} // closed at each change of the fields above
	listener *net.TCPListener
	fillers  map[string]net.Conn // by local address
	conns    map[*Conn]struct{}
}

// Listen starts a link at addr that leads to targetAddr. onCallLost may be nil.
func (n *Net) Listen(source, target, addr, targetAddr string, seed uint64, onCallLost OnCallLost) (*Link, error) {
	l := &Link{
		Source:     source,
		Target:     target,
		net:        n,
		addr:       addr,
		targetAddr: targetAddr,
		onCallLost: onCallLost,
		random:     lockedRandom(seed),
		changed:    make(chan struct{}),
		fillers:    map[string]net.Conn{},
		conns:      map[*Conn]struct{}{},
	}
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.addr = l.listener.Addr().String()
	return l, nil
}

// lockedRandom returns a source of floats from 0 to 1 that is safe for concurrent use.
func lockedRandom(seed uint64) func() float64 {
	random := rand.New(rand.NewPCG(seed, randomSeed))
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// Addr is where the client connects.
func (l *Link) Addr() string { return l.addr }

// listen opens the listener and accepts from it; l.mu is held, or l is not shared yet.
func (l *Link) listen() error {
	listener, err := net.Listen("tcp4", l.addr)
	if err != nil {
		return fmt.Errorf("link %s to %s: %w", l.Source, l.Target, err)
	}
	l.listener = listener.(*net.TCPListener)
	l.wg.Add(1)
	go l.accept(l.listener)
	return nil
}

// currentFaults returns the faults of one direction, and what is closed when they
// change.
func (l *Link) currentFaults(d Direction) (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[d], l.changed
}

// notifyChange wakes whoever waits for a change; l.mu is held.
func (l *Link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetFaults sets the faults of one direction, in place of those before.
func (l *Link) SetFaults(d Direction, faults Faults) {
	l.mu.Lock()
	wasCut := l.isCut()
	l.faults[d] = faults
	isCut, listener := l.isCut(), l.listener
	l.notifyChange()
	l.mu.Unlock()
	if isCut && !wasCut && listener != nil {
		listener.SetDeadline(time.Now()) // the accept loop fills the queue and waits
	}
}

// SetBoth sets the faults of both directions.
func (l *Link) SetBoth(faults Faults) {
	l.SetFaults(ToServer, faults)
	l.SetFaults(ToClient, faults)
}

// isCut reports whether new connections cannot come up; l.mu is held.
func (l *Link) isCut() bool { return l.faults[ToServer].Cut || l.faults[ToClient].Cut }

// SetRefusing has new connections refused and open ones reset, as if the server's
// process had died, or has the link listen again.
func (l *Link) SetRefusing(refusing bool) error {
	l.mu.Lock()
	if l.refusing == refusing || l.closed {
		l.mu.Unlock()
		return nil
	}
	l.refusing = refusing
	l.notifyChange()
	if !refusing {
		defer l.mu.Unlock()
		return l.listen()
	}
	l.listener.Close()
	l.mu.Unlock()
	l.ResetConns(1)
	return nil
}

// ResetConns resets open connections, each with the given probability, and returns
// how many.
func (l *Link) ResetConns(probability float64) (count int) {
	for _, c := range l.openConns() {
		if probability >= 1 || l.random() < probability {
			c.abort()
			count++
		}
	}
	return count
}

// HalfOpen ends the server's side of each open connection and leaves the client's
// side open and silent.
func (l *Link) HalfOpen() {
	for _, c := range l.openConns() {
		c.muteClient()
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
		for _, filler := range l.fillers {
			filler.Close()
		}
	}
	l.mu.Unlock()
	l.ResetConns(1)
	l.wg.Wait()
}

// Package link is the lab's network. Each link is a proxy between two processes. It can
// cut their connections in one direction or both, delay or throttle them, reset them or
// leave them half open while the processes run.
//
// A cut is silent: open connections stay open, new ones are never established, and no
// process gets an error. Bytes stay in order, and a link knows when the last byte of a
// response was written to the client. Package model interprets the bytes.
package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxQueuedPieces = 64                     // pieces queued in one direction; TCP flow control holds back the rest
	maxPiece        = 16 << 10               // bytes
	maxRecorded     = 256 << 10              // bytes recorded of a request that has no response yet
	backlog         = 512                    // length of the accept queue
	maxFillers      = 3                      // most connections that it takes to fill the accept queue of a cut link
	fillerTimeout   = 40 * time.Millisecond  // a connection that takes longer to open shows that the queue is full
	dialTimeout     = 500 * time.Millisecond // timeout for a connection to the server, which is on this machine
	acceptBackoff   = 5 * time.Millisecond   // wait after a failed accept, for example when descriptors have run out
	closeGrace      = time.Second            // time for a client to close a connection that its server has closed
	randomSeed      = 0x6c696e6b
)

// OnCallLost is called for a request that has not reached the server completely. written
// is all that the client wrote since its last response, firstByteAt the time of its first
// byte. The call comes when the connection ends, which may be long after.
type OnCallLost func(l *Link, written []byte, firstByteAt time.Time)

// Link is a proxy from one process to another. It is safe for concurrent use. Net.Listen
// makes one; the caller must close it.
type Link struct {
	Source, Target string // names of the two processes

	net        *Net
	addr       string
	targetAddr string
	onCallLost OnCallLost
	random     func() float64
	wg         sync.WaitGroup

	mu       sync.Mutex
	faults   [2]Faults // indexed by Direction
	refusing bool
	closed   bool
	changed  chan struct{} // closed and replaced when one of the fields above changes
	listener *net.TCPListener
	fillers  map[string]net.Conn // connections that fill the accept queue, by local address
	conns    map[*Conn]struct{}
}

// Listen starts a link that listens at addr and connects to targetAddr. onCallLost may be
// nil.
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

// lockedRandom returns a source of random numbers from 0 to 1. It is safe for concurrent
// use.
func lockedRandom(seed uint64) func() float64 {
	random := rand.New(rand.NewPCG(seed, randomSeed))
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.addr }

// listen opens the listener and starts to accept from it. The caller holds l.mu, or is the
// only user of l.
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

// currentFaults returns the faults of one direction and a channel that is closed when they
// change.
func (l *Link) currentFaults(d Direction) (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[d], l.changed
}

// notifyChange wakes the goroutines that wait for a change. The caller holds l.mu.
func (l *Link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetFaults replaces the faults of one direction.
func (l *Link) SetFaults(d Direction, faults Faults) {
	l.mu.Lock()
	wasCut := l.isCut()
	l.faults[d] = faults
	isCut, listener := l.isCut(), l.listener
	l.notifyChange()
	l.mu.Unlock()
	if isCut && !wasCut && listener != nil {
		listener.SetDeadline(time.Now()) // makes the accept loop call waitWhileCut
	}
}

// SetBoth replaces the faults of both directions.
func (l *Link) SetBoth(faults Faults) {
	l.SetFaults(ToServer, faults)
	l.SetFaults(ToClient, faults)
}

// isCut reports whether a direction is cut, so that no connection can be established. The
// caller holds l.mu.
func (l *Link) isCut() bool { return l.faults[ToServer].Cut || l.faults[ToClient].Cut }

// SetRefusing makes the link refuse new connections and resets the open ones, as if the
// server's process had died; with false it makes the link listen again.
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

// ResetConns resets each open connection with the given probability, and returns the
// number of connections reset.
func (l *Link) ResetConns(probability float64) (count int) {
	for _, c := range l.openConns() {
		if probability >= 1 || l.random() < probability {
			c.abort()
			count++
		}
	}
	return count
}

// HalfOpen closes each open connection to the server and leaves the client's side open and
// silent.
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

// Close closes the link and all of its connections, and waits for its goroutines.
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

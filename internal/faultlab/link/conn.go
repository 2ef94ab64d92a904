package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one connection over a link.
type Conn struct {
	link      *Link
	near, far *net.TCPConn // the connecting side, the listening side
	ctx       context.Context
	cancel    context.CancelFunc
	mute      atomic.Bool // half open: the near side is told nothing more

	mu      sync.Mutex
	first   time.Time // when the near side wrote the first byte since its last answer
	written []byte    // what it wrote since then
	passed  int       // how much of that got through
	back    int64     // bytes written to the near side
	gone    bool      // the near side has ended its sending
	heard   []expected
	leaves  func() // hears once that the near side has ended its sending
}

type expected struct {
	at   int64
	then func(time.Time)
}

// From names the process that connects.
func (c *Conn) From() string { return c.link.From }

// First is when the connecting side wrote the first byte of what it now asks;
// a call counts from there.
func (c *Conn) First() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

// Expect has then called once so many bytes in all have been written to the
// connecting side, if it still listens. It must be called before they are sent.
func (c *Conn) Expect(bytes int64, then func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = append(c.heard, expected{bytes, then})
}

// Leaves has then called once, when the connecting side ends the connection or
// its sending, whatever the link does to that word. It replaces the one before.
func (c *Conn) Leaves(then func()) {
	c.mu.Lock()
	gone := c.gone
	if !gone {
		c.leaves = then
	}
	c.mu.Unlock()
	if gone {
		then()
	}
}

// abort ends both sides by a reset.
func (c *Conn) abort() {
	c.cancel()
	c.far.SetLinger(0)
	c.near.SetLinger(0)
	c.far.Close()
	c.near.Close()
}

// run passes bytes both ways until both sides have ended.
func (c *Conn) run() {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.pump(Forth, c.near, c.far) }()
	go func() { defer wg.Done(); c.pump(Back, c.far, c.near) }()
	wg.Wait()
	c.cancel()
	c.near.Close()
	c.far.Close()
	c.mu.Lock()
	written, passed, first := c.written, c.passed, c.first
	c.mu.Unlock()
	if passed < len(written) && c.link.swallowed != nil {
		c.link.swallowed(c.link, written, first)
	}
}

type piece struct {
	bytes []byte
	at    time.Time
	err   error // the side that sends has ended
}

// pump passes one direction on. Reading never waits for faults, so the moment
// at which a byte was sent is known whatever the link does to it.
func (c *Conn) pump(d Direction, from, to *net.TCPConn) {
	pieces := make(chan piece, queueMost)
	go func() {
		defer close(pieces)
		buf := make([]byte, pieceMost)
		for {
			n, err := from.Read(buf)
			now := time.Now()
			if d == Forth {
				c.sent(buf[:n], now, err)
			}
			if n > 0 {
				select {
				case pieces <- piece{bytes: append([]byte(nil), buf[:n]...), at: now}:
				case <-c.ctx.Done():
					return
				}
			}
			if err != nil {
				select {
				case pieces <- piece{at: now, err: err}:
				case <-c.ctx.Done():
				}
				return
			}
		}
	}()
	for p := range pieces {
		if !c.hold(d, p) {
			break
		}
		if p.err != nil && c.mute.Load() && d == Back {
			<-c.ctx.Done() // the near side is left open and silent until it ends by itself
			break
		}
		if p.err == io.EOF && !c.mute.Load() {
			to.CloseWrite()
			if d == Back { // the far side is done: nothing sent to it arrives any more
				c.finish()
			}
			return
		}
		if p.err != nil {
			break
		}
		// Told before it is written: what is written may be read, and answered,
		// before this goroutine goes on, and the history has to keep the order.
		if d == Back {
			c.told(len(p.bytes))
		}
		if _, err := to.Write(p.bytes); err != nil {
			if c.mute.Load() && d == Forth {
				continue // swallowed
			}
			break
		}
		if d == Forth {
			c.mu.Lock()
			c.passed = min(c.passed+len(p.bytes), len(c.written))
			c.mu.Unlock()
		}
	}
	c.abort()
	for range pieces { // lets the reader end
	}
}

// finish gives the near side a moment to end by itself, then ends it.
func (c *Conn) finish() {
	t := time.AfterFunc(time.Second, c.abort)
	context.AfterFunc(c.ctx, func() { t.Stop() })
}

// hold waits until a piece may pass; false if the connection ends first.
func (c *Conn) hold(d Direction, p piece) bool {
	drawn := c.link.rand()
	for {
		f, changed := c.link.state(d)
		if f.Cut {
			select {
			case <-changed:
				continue
			case <-c.ctx.Done():
				return false
			}
		}
		due := p.at.Add(f.Delay + time.Duration(drawn*float64(f.Jitter)))
		if f.Rate > 0 {
			due = due.Add(time.Duration(len(p.bytes)) * time.Second / time.Duration(f.Rate))
		}
		left := time.Until(due)
		if left <= 0 {
			return c.ctx.Err() == nil
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
			return c.ctx.Err() == nil
		case <-changed:
			t.Stop()
		case <-c.ctx.Done():
			t.Stop()
			return false
		}
	}
}

// sent books what the near side wrote.
func (c *Conn) sent(b []byte, now time.Time, err error) {
	c.mu.Lock()
	var leaves func()
	if err != nil && !c.gone {
		leaves, c.leaves = c.leaves, nil
	}
	defer func() {
		c.mu.Unlock()
		if leaves != nil {
			leaves()
		}
	}()
	if len(b) > 0 && len(c.written) == 0 {
		c.first = now
	}
	if len(c.written)+len(b) <= keepMost {
		c.written = append(c.written, b...)
	}
	c.gone = c.gone || err != nil
}

// told books what is written to the near side: from here on it has heard, and
// what it writes next is a new call. Where it has gone, nobody hears.
func (c *Conn) told(n int) {
	now := time.Now()
	c.mu.Lock()
	c.back += int64(n)
	c.written, c.passed = c.written[:0], 0
	var due []expected
	for len(c.heard) > 0 && c.heard[0].at <= c.back {
		if !c.gone {
			due = append(due, c.heard[0])
		}
		c.heard = c.heard[1:]
	}
	c.mu.Unlock()
	for _, e := range due {
		e.then(now)
	}
}

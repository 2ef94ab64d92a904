package faultlab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
)

// benchWatcher is one watcher: it reads lines and tells when it heard a revision.
type benchWatcher struct {
	addr       string
	revision   int64 // revision; -1 before the first
	onRevision func(int64, time.Time)
	polls      bool
}

func (w *benchWatcher) run(ctx context.Context, first func()) {
	for n := 0; ctx.Err() == nil; n++ {
		err := w.watchOnce(ctx, func() { first(); n = 0 })
		if ctx.Err() != nil || err == nil && !w.polls {
			return
		}
		if w.polls && err == nil {
			model.Sleep(ctx, time.Second)
			continue
		}
		// As the client does: longer with each try, spread over the fleet.
		model.Sleep(ctx, time.Duration(rand.Float64()*float64(min(50*time.Millisecond<<min(n, 6), 2*time.Second)+500*time.Millisecond)))
	}
}

func (w *benchWatcher) watchOnce(ctx context.Context, open func()) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp4", w.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	query := fmt.Sprintf("?watch=1&from=%d", w.revision)
	if w.polls {
		query = ""
	}
	fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", discovery.ListPath, query)
	in := bufio.NewReaderSize(conn, 512)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		text, err := in.ReadSlice('\n')
		now := time.Now()
		if errors.Is(err, bufio.ErrBufferFull) {
			text = bytes.Clone(text) // the revision stands at the front; the rest is passed over
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = in.ReadSlice('\n')
			}
		}
		if !w.polls && bytes.HasPrefix(text, []byte("HTTP/1.1 200")) {
			open()
		}
		if bytes.HasPrefix(text, []byte(`{"revision":`)) {
			var revision int64
			fmt.Sscanf(string(text[12:min(len(text), 32)]), "%d", &revision)
			if w.revision < 0 && w.polls {
				open()
			}
			w.revision = revision
			w.onRevision(revision, now)
		}
		if w.polls && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// watcherSet is many watchers of a group.
type watcherSet struct {
	mu         sync.Mutex
	awaited    int64
	arrived    int
	last       time.Time
	allArrived chan struct{}
	size       int
	opened     atomic.Int64
	wg         sync.WaitGroup
}

func (c *watcherSet) expect(revision int64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.arrived, c.allArrived = revision, 0, make(chan struct{})
	return c.allArrived
}

// start opens the watchers; each tells of revision r once.
func (c *watcherSet) start(ctx context.Context, nodes []string, size int, poll bool) {
	c.size = size
	for i := range size {
		w := &benchWatcher{addr: nodes[i%len(nodes)], revision: -1, polls: poll}
		done := int64(-1)
		w.onRevision = func(r int64, t time.Time) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.awaited > 0 && r >= c.awaited && done < c.awaited {
				done = c.awaited
				c.arrived++
				c.last = t
				if c.arrived == c.size {
					close(c.allArrived)
				}
			}
		}
		c.wg.Add(1)
		go func() { defer c.wg.Done(); w.run(ctx, func() { c.opened.Add(1) }) }()
	}
}

// awaitOpen waits until so many watches have opened since the count was taken.
func (c *watcherSet) awaitOpen(ctx context.Context, from int64) error {
	for c.opened.Load()-from < int64(c.size) {
		if !model.Sleep(ctx, 2*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

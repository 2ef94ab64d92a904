package capacity

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"plovershore/internal/discovery"
)

const (
	watchTimeout = 60 * time.Second
	dialsAtOnce  = 50
)

// watcherSet is many watchers of a group, of which it is known when the last one has
// received a revision.
type watcherSet struct {
	size  int
	close context.CancelFunc
	wg    sync.WaitGroup

	mu       sync.Mutex
	awaited  int64
	arrived  int
	last     time.Time
	all      chan struct{}
	failed   error
	revision map[int]int64 // that each watcher is at
}

// newWatcherSet opens so many watches, each from nothing.
func newWatcherSet(ctx context.Context, nodes []string, size int) *watcherSet {
	c := &watcherSet{size: size, revision: map[int]int64{}}
	ctx, c.close = context.WithCancel(ctx)
	c.expect(1)
	dials := make(chan struct{}, dialsAtOnce)
	for i := range size {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			if err := c.watch(ctx, dials, i, nodes[i%len(nodes)]); err != nil && ctx.Err() == nil {
				c.mu.Lock()
				c.failed = err
				c.mu.Unlock()
			}
		}()
	}
	return c
}

// expect counts anew the watchers that have received a revision.
func (c *watcherSet) expect(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.arrived, c.all = revision, 0, make(chan struct{})
}

// wait waits until all have, and gives the moment of the last.
func (c *watcherSet) wait(ctx context.Context) (time.Time, error) {
	c.mu.Lock()
	all := c.all
	c.mu.Unlock()
	limit := time.NewTimer(watchTimeout)
	defer limit.Stop()
	select {
	case <-all:
	case <-limit.C:
		c.mu.Lock()
		defer c.mu.Unlock()
		return time.Time{}, fmt.Errorf("watchers: %d of %d heard of revision %d (%w)", c.arrived, c.size, c.awaited, errors.Join(c.failed, context.DeadlineExceeded))
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, nil
}

func (c *watcherSet) recordRevision(watcher int, revision int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.awaited && c.revision[watcher] < c.awaited {
		c.arrived++
		c.last = at
		if c.arrived == c.size {
			close(c.all)
		}
	}
	c.revision[watcher] = revision
}

// watch reads one watch to its end. Lists are read past, not kept: what a
// watcher makes of them is not the group's cost.
func (c *watcherSet) watch(ctx context.Context, dials chan struct{}, watcher int, node string) error {
	dials <- struct{}{}
	conn, err := net.DialTimeout("tcp4", node, watchTimeout)
	<-dials
	if err != nil {
		return fmt.Errorf("watcher: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	fmt.Fprintf(conn, "GET %s?watch=1&from=-1 HTTP/1.1\r\nHost: node\r\n\r\n", discovery.ListPath)
	in := bufio.NewReaderSize(conn, 4096)
	for {
		line, err := in.ReadSlice('\n')
		line = line[:min(len(line), 64)]
		var revision int64
		if bytes.HasPrefix(line, []byte(`{"revision":`)) {
			fmt.Sscanf(string(line), `{"revision":%d`, &revision)
		}
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = in.ReadSlice('\n')
		}
		if err != nil {
			return fmt.Errorf("watcher: %w", err)
		}
		if revision > 0 {
			c.recordRevision(watcher, revision, time.Now())
		}
	}
}

// watchGroup measures how long so many watchers take to have the complete list, and
// the way of a change to the last of them once they have it.
func watchGroup(ctx context.Context, e *environment, members, watchers int) ([]float64, error) {
	g, err := e.startGroup(ctx, groupNodes, members)
	if err != nil {
		return nil, err
	}
	defer g.close()
	before, err := g.usage()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	c := newWatcherSet(ctx, g.nodes, watchers)
	defer func() { c.close(); c.wg.Wait() }()
	last, err := c.wait(ctx)
	if err != nil {
		return nil, err
	}
	opened := last.Sub(began)
	after, err := g.usage()
	if err != nil {
		return nil, err
	}
	var took []float64
	for n := range scaled(e, 3, writesTimed) {
		leader, err := g.leader(ctx)
		if err != nil {
			return nil, err
		}
		status, err := statusOf(ctx, g.nodes[leader])
		if err != nil {
			return nil, err
		}
		c.expect(status.Revision + 1)
		wrote := time.Now()
		if _, err := change(ctx, g.client, n, n); err != nil {
			return nil, err
		}
		last, err := c.wait(ctx)
		if err != nil {
			return nil, err
		}
		took = append(took, last.Sub(wrote).Seconds()*1e3)
	}
	slices.Sort(took)
	return []float64{opened.Seconds() * 1e3, took[len(took)/2], took[len(took)-1], max(0, after.rss-before.rss) / 1e6}, nil
}

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
	watchTimeout     = 60 * time.Second
	maxParallelDials = 50
)

// watcherSet holds open watches of a list service's list and records when the last watcher
// has received a revision.
type watcherSet struct {
	size  int
	close context.CancelFunc
	wg    sync.WaitGroup

	mu          sync.Mutex
	awaited     int64
	arrived     int
	lastArrival time.Time
	allArrived  chan struct{}
	failed      error
	revisions   map[int]int64 // latest revision that each watcher has received
}

// newWatcherSet opens the given number of watches, spread over the nodes. Each begins with
// the complete list.
func newWatcherSet(ctx context.Context, nodes []string, size int) *watcherSet {
	c := &watcherSet{size: size, revisions: map[int]int64{}}
	ctx, c.close = context.WithCancel(ctx)
	c.startAwaiting(1)
	dialSlots := make(chan struct{}, maxParallelDials)
	for i := range size {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			if err := c.watch(ctx, dialSlots, i, nodes[i%len(nodes)]); err != nil && ctx.Err() == nil {
				c.mu.Lock()
				c.failed = err
				c.mu.Unlock()
			}
		}()
	}
	return c
}

// startAwaiting sets the revision that wait waits for. No watcher may have received it yet.
func (c *watcherSet) startAwaiting(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.arrived, c.allArrived = revision, 0, make(chan struct{})
}

// wait waits until all watchers have received the awaited revision, and returns when the
// last one did.
func (c *watcherSet) wait(ctx context.Context) (time.Time, error) {
	c.mu.Lock()
	allArrived := c.allArrived
	c.mu.Unlock()
	limit := time.NewTimer(watchTimeout)
	defer limit.Stop()
	select {
	case <-allArrived:
	case <-limit.C:
		c.mu.Lock()
		defer c.mu.Unlock()
		return time.Time{}, fmt.Errorf("watchers: %d of %d heard of revision %d (%w)", c.arrived, c.size, c.awaited, errors.Join(c.failed, context.DeadlineExceeded))
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastArrival, nil
}

func (c *watcherSet) recordRevision(watcher int, revision int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.awaited && c.revisions[watcher] < c.awaited {
		c.arrived++
		c.lastArrival = at
		if c.arrived == c.size {
			close(c.allArrived)
		}
	}
	c.revisions[watcher] = revision
}

// watch reads one watch until it ends. It parses only the revisions: parsing members would
// add the watchers' cost to the figures of the group.
func (c *watcherSet) watch(ctx context.Context, dialSlots chan struct{}, watcher int, node string) error {
	dialSlots <- struct{}{}
	conn, err := net.DialTimeout("tcp4", node, watchTimeout)
	<-dialSlots
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

// measureWatchers measures how long it takes until all watchers have the complete list,
// and then until a change has reached all of them.
func measureWatchers(ctx context.Context, e *environment, memberCount, watcherCount int) ([]float64, error) {
	g, err := e.startGroup(ctx, groupNodes, memberCount)
	if err != nil {
		return nil, err
	}
	defer g.close()
	before, err := g.usage()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	watchers := newWatcherSet(ctx, g.nodes, watcherCount)
	defer func() { watchers.close(); watchers.wg.Wait() }()
	last, err := watchers.wait(ctx)
	if err != nil {
		return nil, err
	}
	openTime := last.Sub(began)
	after, err := g.usage()
	if err != nil {
		return nil, err
	}
	var writeTimes []float64
	for n := range scaled(e, 3, timedWrites) {
		leader, err := g.leaderIndex(ctx)
		if err != nil {
			return nil, err
		}
		status, err := nodeStatus(ctx, g.nodes[leader])
		if err != nil {
			return nil, err
		}
		watchers.startAwaiting(status.Revision + 1)
		writeTime := time.Now()
		if _, err := changeMember(ctx, g.client, n, n); err != nil {
			return nil, err
		}
		last, err := watchers.wait(ctx)
		if err != nil {
			return nil, err
		}
		writeTimes = append(writeTimes, last.Sub(writeTime).Seconds()*1e3)
	}
	slices.Sort(writeTimes)
	return []float64{openTime.Seconds() * 1e3, writeTimes[len(writeTimes)/2], writeTimes[len(writeTimes)-1], max(0, after.rssBytes-before.rssBytes) / 1e6}, nil
}

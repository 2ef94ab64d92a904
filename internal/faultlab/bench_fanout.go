package faultlab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry/client"
)

const (
	fanOutTimeout = 30 * time.Second       // for a write to reach all watchers
	memorySettle  = 500 * time.Millisecond // wait after all watchers have opened, before memory is measured
	groupDowntime = time.Second            // how long the group is stopped
)

// errNotDelivered reports a write that did not reach all watchers in time.
var errNotDelivered = errors.New("bench: a write did not reach all watchers in time")

// measureFanOut measures how long a write takes to reach the last of many watchers, how
// much memory a watcher costs the nodes, and how soon all watchers have reconnected
// after a stopped group starts again. Memory is not measured for polling clients, and
// reconnects are measured only for watchers of a list of fewMembers.
func (b *registryBench) measureFanOut(ctx context.Context, watchers, members int, poll bool) error {
	c, err := b.startReady(ctx, benchNodes, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	name := fmt.Sprintf("%d watchers, %d members", watchers, members)
	if poll {
		name = fmt.Sprintf("%d polls every second, %d members", watchers, members)
	}
	rssBefore := b.rss()
	watchCtx, cancel := context.WithCancel(ctx)
	watcherSet := &watcherSet{}
	defer func() { cancel(); watcherSet.wait() }()
	watcherSet.start(watchCtx, b.http, watchers, poll)
	if err := watcherSet.awaitOpen(ctx, 0); err != nil {
		return err
	}
	model.Sleep(ctx, memorySettle)
	if !poll {
		const kilobyte = 1024
		b.figures.add(name+": KB of all three nodes, a watcher", []float64{(b.rss() - rssBefore) / kilobyte / float64(watchers)})
	}
	durations, err := b.timeWrites(ctx, c, watcherSet)
	if err != nil {
		return err
	}
	b.figures.add(name+": ms from the write's answer to the last", durations)
	if poll || members != fewMembers {
		return nil
	}
	reconnectTimes, err := b.timeReconnects(ctx, watcherSet)
	if err != nil {
		return err
	}
	b.figures.add(name+": ms from the group's start until all are back", reconnectTimes)
	return nil
}

// timeWrites measures, for each write, the time from its answer until the last watcher
// has received it.
func (b *registryBench) timeWrites(ctx context.Context, c *client.Client, set *watcherSet) (durations []float64, err error) {
	for n := range b.options.Writes {
		// A write's revision is not known in advance; it is the one after the current.
		var list discovery.List
		if _, err := c.Do(ctx, http.MethodGet, discovery.ListPath+consistentQuery, nil, &list); err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
		arrived := set.expectRevision(list.Revision + 1)
		if err := benchWrite(ctx, c, "f", n); err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
		answered := time.Now()
		select {
		case <-arrived:
		case <-time.After(fanOutTimeout):
			return nil, errNotDelivered
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		durations = append(durations, max(0, toMillis(set.lastArrival().Sub(answered))))
	}
	return durations, nil
}

// timeReconnects stops the group repeatedly, and measures the time from its next start
// until all watchers have reconnected.
func (b *registryBench) timeReconnects(ctx context.Context, set *watcherSet) (durations []float64, err error) {
	for range benchRepeats {
		b.stop()
		opened := set.opened.Load()
		model.Sleep(ctx, groupDowntime)
		restartedAt := time.Now()
		if err := b.startNodes(); err != nil {
			return nil, err
		}
		if err := set.awaitOpen(ctx, opened); err != nil {
			return nil, err
		}
		durations = append(durations, toMillis(time.Since(restartedAt)))
	}
	return durations, nil
}

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

const (
	watchDialTimeout  = time.Second
	watchReadTimeout  = 10 * time.Second
	watchBuffer       = 512 // bytes; enough for the revision, which stands at the start of a line
	benchPollInterval = time.Second
	openPoll          = 2 * time.Millisecond

	// Backoff of a watcher. As in the list service's client, its limit doubles with each
	// attempt, but it has a lower maximum and does not grow with the number of clients.
	backoffBase   = 50 * time.Millisecond
	backoffMax    = 2 * time.Second
	backoffSpread = 500 * time.Millisecond
	backoffSteps  = 6
)

var (
	okStatus       = []byte("HTTP/1.1 200")
	revisionPrefix = []byte(`{"revision":`)
)

// benchWatcher is one watcher of a node, or a client that polls it every second. It
// parses no more of a line than its revision, and discards the rest.
type benchWatcher struct {
	addr       string
	polls      bool
	revision   int64 // last revision that it received; -1 before the first
	onOpen     func()
	onRevision func(int64, time.Time)
}

// run watches or polls until ctx ends, with a backoff after each error.
func (w *benchWatcher) run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := w.watch(ctx, func() { w.onOpen(); attempt = 0 })
		if err == nil && !w.polls {
			return
		}
		if err == nil {
			model.Sleep(ctx, benchPollInterval)
			continue
		}
		limit := min(backoffBase<<min(attempt, backoffSteps), backoffMax) + backoffSpread
		model.Sleep(ctx, time.Duration(rand.Float64()*float64(limit)))
	}
}

// watch opens one connection and reads it to its end.
func (w *benchWatcher) watch(ctx context.Context, onOpen func()) error {
	dialer := net.Dialer{Timeout: watchDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", w.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	query := fmt.Sprintf("?watch=1&from=%d", w.revision)
	if w.polls {
		query = ""
	}
	fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", discovery.ListPath, query)
	reader := bufio.NewReaderSize(conn, watchBuffer)
	for {
		conn.SetReadDeadline(time.Now().Add(watchReadTimeout))
		line, err := readLineStart(reader)
		w.receive(line, time.Now(), onOpen)
		if w.polls && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLineStart reads a line and returns as much of it as the buffer holds.
func readLineStart(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line = bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
	}
	return line, err
}

// receive handles the start of one line: the status of an opened watch, or a revision.
func (w *benchWatcher) receive(line []byte, receivedAt time.Time, onOpen func()) {
	if !w.polls && bytes.HasPrefix(line, okStatus) {
		onOpen()
	}
	digits, ok := bytes.CutPrefix(line, revisionPrefix)
	if !ok {
		return
	}
	var revision int64
	fmt.Sscanf(string(digits[:min(len(digits), 20)]), "%d", &revision)
	if w.revision < 0 && w.polls {
		onOpen()
	}
	w.revision = revision
	w.onRevision(revision, receivedAt)
}

// watcherSet is a set of watchers of one group. The zero value is an empty set; start
// is called at most once.
type watcherSet struct {
	size   int
	opened atomic.Int64 // number of watches opened, including those after a reconnect

	running sync.WaitGroup

	mu               sync.Mutex
	expectedRevision int64 // 0 if no revision is expected
	arrived          int   // watchers that have received expectedRevision
	lastArrivalAt    time.Time
	allArrived       chan struct{}
}

// expectRevision returns a channel that is closed once all watchers have received a
// revision or a later one.
func (s *watcherSet) expectRevision(revision int64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectedRevision, s.arrived, s.allArrived = revision, 0, make(chan struct{})
	return s.allArrived
}

// lastArrival returns when the last watcher received the expected revision.
func (s *watcherSet) lastArrival() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastArrivalAt
}

// start opens the watchers, spread over the nodes; they end with ctx.
func (s *watcherSet) start(ctx context.Context, nodes []string, size int, poll bool) {
	s.size = size
	for i := range size {
		countedRevision := int64(-1) // last expected revision for which this watcher was counted
		w := &benchWatcher{addr: nodes[i%len(nodes)], revision: -1, polls: poll}
		w.onOpen = func() { s.opened.Add(1) }
		w.onRevision = func(revision int64, receivedAt time.Time) { s.recordArrival(revision, receivedAt, &countedRevision) }
		s.running.Add(1)
		go func() { defer s.running.Done(); w.run(ctx) }()
	}
}

// recordArrival counts a watcher once for the expected revision.
func (s *watcherSet) recordArrival(revision int64, receivedAt time.Time, countedRevision *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expectedRevision == 0 || revision < s.expectedRevision || *countedRevision >= s.expectedRevision {
		return
	}
	*countedRevision = s.expectedRevision
	s.arrived++
	s.lastArrivalAt = receivedAt
	if s.arrived == s.size {
		close(s.allArrived)
	}
}

// awaitOpen waits until opened has grown beyond since by the number of watchers.
func (s *watcherSet) awaitOpen(ctx context.Context, since int64) error {
	for s.opened.Load()-since < int64(s.size) {
		if !model.Sleep(ctx, openPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// wait waits until all watchers have ended.
func (s *watcherSet) wait() { s.running.Wait() }

// Package client is the client of a group of the list service.
//
// A write is sent again under one request id until it is answered, so that the group
// applies it once. Whoever follows the list sees each change once and in order, and
// never an older revision of an epoch. Saving the list over a restart is left to the
// caller.
package client

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	connectTimeout   = time.Second
	responseTimeout  = 4 * time.Second
	idleConnsPerNode = 2
	bufferBytes      = 2 << 10 // of a connection: a fleet's clients keep many open

	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second

	// backoffPerClient spreads the retries of a fleet that comes back at one moment.
	backoffPerClient = 5 * time.Millisecond
)

// ErrNoNodes means that New was given no node.
var ErrNoNodes = errors.New("registry: no node is named")

// Client is a client of one group. New makes it; whoever called New calls Close. It is
// safe for concurrent use.
type Client struct {
	nodes       []string
	fleet       int
	log         *slog.Logger
	httpClient  *http.Client // for requests
	watchClient *http.Client // for watches: without a timeout of the whole response

	mu      sync.Mutex
	current int // index of the node that is asked next
	rand    func() float64
}

// New returns a client for the nodes at host:port addresses. fleet is the number of
// clients that the group has: the backoff grows with it.
func New(nodes []string, fleet int, log *slog.Logger) (*Client, error) {
	if len(nodes) == 0 {
		return nil, ErrNoNodes
	}
	for _, node := range nodes {
		if _, _, err := net.SplitHostPort(node); err != nil {
			return nil, fmt.Errorf("registry: node %q: %w", node, err)
		}
	}
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost:   idleConnsPerNode,
		ResponseHeaderTimeout: responseTimeout,
		DisableCompression:    true,
		WriteBufferSize:       bufferBytes,
		ReadBufferSize:        bufferBytes,
	}
	return &Client{
		nodes:       nodes,
		fleet:       fleet,
		log:         log,
		httpClient:  &http.Client{Transport: transport, Timeout: responseTimeout},
		watchClient: &http.Client{Transport: transport},
		current:     rand.IntN(len(nodes)), // spreads the fleet over the nodes
		rand:        rand.Float64,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// node returns the node to ask next.
func (c *Client) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.current]
}

// rotate turns from a node that failed to the next one, unless another call has.
func (c *Client) rotate(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[c.current] == failed {
		c.current = (c.current + 1) % len(c.nodes)
	}
}

// backoff waits before the n-th retry in a row, or until ctx is done. The wait is
// random, up to a limit that doubles with each retry and has the time that a fleet of
// this size needs to come back one by one added.
func (c *Client) backoff(ctx context.Context, n int) error {
	c.mu.Lock()
	draw := c.rand()
	c.mu.Unlock()
	limit := min(minBackoff<<min(n, 10), maxBackoff) + time.Duration(c.fleet)*backoffPerClient
	limit = min(limit, 2*maxBackoff)
	timer := time.NewTimer(minBackoff/2 + time.Duration(draw*float64(limit)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Package client sends requests to a group of the list service, and follows its list.
//
// A write is sent again under the same request id until it is answered, so that the group
// applies it once. A follower of the list is given each change once and in order, and
// never an older revision of the same epoch. Saving the list over a restart is left to
// the caller.
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
	bufferBytes      = 2 << 10 // of each read and write buffer; small, since a fleet keeps many connections open

	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second

	// backoffPerClient times the number of clients is added to the limit of a backoff. It
	// spreads out the retries of a fleet whose clients all reconnect at once.
	backoffPerClient = 5 * time.Millisecond
)

// ErrNoNodes means that New was called without a node.
var ErrNoNodes = errors.New("registry: no node is named")

// Client is a client of one group. New creates it, and the caller of New closes it. It is
// safe for concurrent use.
type Client struct {
	nodes       []string
	fleet       int
	log         *slog.Logger
	httpClient  *http.Client // for requests other than watches and notices
	watchClient *http.Client // for watches; has no timeout for the whole response
	// noticeClient sends notices. The platform may take them, whose responses do not
	// name the request that they answer, so each has a connection of its own.
	noticeClient *http.Client

	mu      sync.Mutex
	current int // index of the node that the next request is sent to
	rand    func() float64
}

// New returns a client of the nodes at some host:port addresses. fleet is the number of
// clients of the group; the backoff grows with it.
func New(nodes []string, fleet int, log *slog.Logger) (*Client, error) {
	if len(nodes) == 0 {
		return nil, ErrNoNodes
	}
	for _, node := range nodes {
		if _, _, err := net.SplitHostPort(node); err != nil {
			return nil, fmt.Errorf("registry: node %q: %w", node, err)
		}
	}
	keepAlive, singleUse := newTransport(), newTransport()
	keepAlive.MaxIdleConnsPerHost = idleConnsPerNode
	singleUse.DisableKeepAlives = true
	return &Client{
		nodes:        nodes,
		fleet:        fleet,
		log:          log,
		httpClient:   &http.Client{Transport: keepAlive, Timeout: responseTimeout},
		watchClient:  &http.Client{Transport: singleUse},
		noticeClient: &http.Client{Transport: singleUse, Timeout: responseTimeout},
		current:      rand.IntN(len(nodes)), // random, so that the clients of a fleet spread over the nodes
		rand:         rand.Float64,
	}, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
		ResponseHeaderTimeout: responseTimeout,
		DisableCompression:    true,
		WriteBufferSize:       bufferBytes,
		ReadBufferSize:        bufferBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// node returns the address of the node to send the next request to.
func (c *Client) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.current]
}

// rotate switches from a node that failed to the next one, unless another call has
// switched already.
func (c *Client) rotate(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[c.current] == failed {
		c.current = (c.current + 1) % len(c.nodes)
	}
}

// backoff waits before the n-th consecutive retry, or until ctx is done. The wait is random
// up to a limit, which doubles with each retry from minBackoff to maxBackoff. To the limit
// backoffPerClient is added for each client of the fleet, and the sum is at most twice
// maxBackoff. Half of minBackoff is added to the wait.
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

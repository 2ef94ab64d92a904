// Package client speaks to a group of the list service from outside. It
// promises that a write is asked again under one request id until it is
// answered, and that whoever follows the list hears each change once, in order,
// and never goes back to an older revision of an epoch. Keeping the list over a
// restart is left to its users.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

const (
	watchSilenceTimeout = 5 * time.Second // a watch says something every 2 s
	connectTimeout      = time.Second
	responseTimeout     = 4 * time.Second
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = 5 * time.Second
	backoffPerClient    = 5 * time.Millisecond // of a fleet that comes back at one moment: the spread of its tries
	maxLineBytes        = 16 << 20
)

// Client knows the nodes of one group.
type Client struct {
	nodes       []string
	fleet       int
	log         *slog.Logger
	httpClient  *http.Client
	watchClient *http.Client

	mu      sync.Mutex
	current int // the node that is asked next
	rand    func() float64
}

// New makes a client of a fleet of so many, for the nodes at these addresses.
func New(nodes []string, fleet int, log *slog.Logger) (*Client, error) {
	if len(nodes) == 0 {
		return nil, errors.New("registry: no node is named")
	}
	for _, n := range nodes {
		if _, _, err := net.SplitHostPort(n); err != nil {
			return nil, fmt.Errorf("registry: node %q: %w", n, err)
		}
	}
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, MaxIdleConnsPerHost: 2,
		ResponseHeaderTimeout: responseTimeout, DisableCompression: true, WriteBufferSize: 2 << 10, ReadBufferSize: 2 << 10}
	c := &Client{nodes: nodes, fleet: fleet, log: log, httpClient: &http.Client{Transport: t, Timeout: responseTimeout}, watchClient: &http.Client{Transport: t},
		rand: rand.Float64}
	c.current = rand.IntN(len(nodes)) // the fleet spreads over the nodes
	return c, nil
}

// Close lets go of idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

func (c *Client) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.current]
}

// rotate turns to another node than the one that failed.
func (c *Client) rotate(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[c.current] == failed {
		c.current = (c.current + 1) % len(c.nodes)
	}
}

// backoff waits before the next try, the n-th in a row: longer with each, and
// spread over what a fleet of this size needs to come back one after the other.
func (c *Client) backoff(ctx context.Context, n int) error {
	c.mu.Lock()
	draw := c.rand()
	c.mu.Unlock()
	most := min(minBackoff<<min(n, 10), maxBackoff) + time.Duration(c.fleet)*backoffPerClient
	t := time.NewTimer(minBackoff/2 + time.Duration(draw*float64(min(most, 2*maxBackoff))))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RejectedError is an answer that asking again does not change.
type RejectedError struct {
	Status  int
	Text    string
	Changed int64 // 409: the member's last change, as it holds
}

func (r *RejectedError) Error() string { return r.Text }

// Do asks until it is answered or ctx ends. A write carries one request id over
// all of its tries, so the group takes it once. out may be nil.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) (http.Header, error) {
	return c.DoWith(ctx, method, path, nil, body, out)
}

// DoWith is Do with headers, such as a duty's fence.
func (c *Client) DoWith(ctx context.Context, method, path string, head http.Header, body, out any) (http.Header, error) {
	var text []byte
	if b, ok := body.([]byte); ok {
		text = b
	} else if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("registry: %w", err)
		}
	}
	request := registry.NewID()
	var last error
	for n := 0; ; n++ {
		node := c.node()
		h, err := c.attempt(ctx, method, "http://"+node+path, request, head, text, out)
		var refused *RejectedError
		if err == nil || errors.As(err, &refused) {
			return h, err
		}
		if ctx.Err() == nil {
			last = err
		}
		c.rotate(node)
		if n < len(c.nodes) && ctx.Err() == nil { // each node once, without a pause
			continue
		}
		if perr := c.backoff(ctx, max(0, n-len(c.nodes))); perr != nil {
			return nil, fmt.Errorf("registry: %w (%w)", perr, last)
		}
	}
}

func (c *Client) attempt(ctx context.Context, method, to, request string, head http.Header, body []byte, out any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	for name, values := range head {
		req.Header[name] = values
	}
	req.Header.Set(registry.RequestHeader, request)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.StatusCode >= 500:
		return nil, fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(text))
	case resp.StatusCode >= 300:
		var p struct {
			Error   string
			Changed int64
		}
		if json.Unmarshal(text, &p) != nil || p.Error == "" {
			p.Error = string(bytes.TrimSpace(text))
		}
		return nil, &RejectedError{resp.StatusCode, fmt.Sprintf("%s: %s", resp.Status, p.Error), p.Changed}
	}
	switch o := out.(type) {
	case nil:
	case *[]byte:
		*o = text
	default:
		if err := json.Unmarshal(text, out); err != nil {
			return nil, fmt.Errorf("registry: answer: %w", err)
		}
	}
	return resp.Header, nil
}

// Position is how far somebody who follows the list has come.
type Position struct {
	Epoch    string `json:"epoch"`
	Revision int64  `json:"revision"`
}

// Update is one piece of what a follower hears: a change, or the whole list.
type Update struct {
	discovery.List
	Epoch string `json:"epoch"`
}

// Advance tells whether news goes on from a position, and where that leads. What
// is older than the position in its epoch is not taken: a node that is behind
// told it. News of another epoch has to be a whole list.
func (p Position) Advance(n *Update) (Position, bool) {
	next := Position{n.Epoch, n.Revision}
	switch {
	case n.Epoch != p.Epoch:
		return next, n.Complete
	case n.Complete:
		return next, n.Revision >= p.Revision
	default:
		return next, n.Revision > p.Revision
	}
}

// errStaleNode is a node that tells of what is older than what was heard.
var errStaleNode = errors.New("the node is behind")

// Follow hears all that changes after a position, until ctx ends. up hears
// whether a watch is open; either may block, and the watch waits meanwhile.
func (c *Client) Follow(ctx context.Context, from Position, news func(Update), up func(bool)) error {
	for n := 0; ctx.Err() == nil; n++ {
		node := c.node()
		was := from
		err := c.watchOnce(ctx, node, &from, news, func() { up(true) })
		up(false)
		if from != was {
			n = 0
		}
		if ctx.Err() != nil {
			break
		}
		c.log.Debug("watch over", "node", node, "revision", from.Revision, "err", err)
		c.rotate(node)
		if c.backoff(ctx, n) != nil {
			break
		}
	}
	return ctx.Err()
}

func (c *Client) watchOnce(ctx context.Context, node string, at *Position, news func(Update), open func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(watchSilenceTimeout, func() { cancel(errors.New("silent")) })
	defer quiet.Stop()
	q := url.Values{"watch": {"1"}, "from": {strconv.FormatInt(at.Revision, 10)}}
	if at.Epoch == "" {
		q.Set("from", "-1") // the whole list, whatever the group's revision
	} else {
		q.Set("epoch", at.Epoch)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+discovery.ListPath+"?"+q.Encode(), nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	resp, err := c.watchClient.Do(req)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: %s", resp.Status)
	}
	open()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 1024), maxLineBytes)
	for lines.Scan() {
		quiet.Reset(watchSilenceTimeout)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		x, err := ReadUpdate(text)
		if err != nil {
			return err
		}
		next, ok := at.Advance(x)
		if !ok {
			return fmt.Errorf("watch: revision %d after %d: %w", x.Revision, at.Revision, errStaleNode)
		}
		*at = next
		news(*x)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	return io.EOF
}

// ReadUpdate reads a line of a watch.
func ReadUpdate(text []byte) (*Update, error) {
	l, err := discovery.Parse(text)
	if err != nil {
		return nil, err
	}
	var e struct {
		Epoch string `json:"epoch"`
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	return &Update{*l, e.Epoch}, nil
}

package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"plovershore/internal/discovery"
)

const (
	// watchSilenceTimeout is how long a watch may be without a line before it is ended.
	// Nodes send a line at least every 2 s.
	watchSilenceTimeout = 5 * time.Second

	minLineBytes = 1 << 10
	maxLineBytes = 16 << 20
)

// Errors that end a watch. Follow then opens one at another node.
var (
	errStaleNode   = errors.New("the node's list is older than the one received before")
	errWatchSilent = errors.New("the watch sent no line within the timeout")
)

// Position is a position in the list's changes. The zero value is before the first change
// of any epoch.
type Position struct {
	Epoch    string `json:"epoch"`
	Revision int64  `json:"revision"`
}

// Update is a change of the list or a complete list, as one line of a watch has it.
type Update struct {
	discovery.List
	Epoch string `json:"epoch"`
}

// Advance returns the position after an update, and whether the update may follow on this
// position. In the same epoch, a change has to be newer than the position and a complete
// list at least as new; an older one comes from a node that is behind. From another epoch
// only a complete list may follow.
func (p Position) Advance(u *Update) (next Position, ok bool) {
	next = Position{u.Epoch, u.Revision}
	switch {
	case u.Epoch != p.Epoch:
		return next, u.Complete
	case u.Complete:
		return next, u.Revision >= p.Revision
	default:
		return next, u.Revision > p.Revision
	}
}

// Follow calls onUpdate with each update after a position until ctx is done, and returns
// ctx's error. It calls onWatch(true) when a watch is open and onWatch(false) after each
// attempt to watch has ended. No further line is read until these calls return.
func (c *Client) Follow(ctx context.Context, from Position, onUpdate func(Update), onWatch func(open bool)) error {
	for n := 0; ctx.Err() == nil; n++ {
		node, before := c.node(), from
		err := c.watch(ctx, node, &from, onUpdate, func() { onWatch(true) })
		onWatch(false)
		if from != before {
			n = 0
		}
		if ctx.Err() != nil {
			break
		}
		c.log.Debug("watch closed", "node", node, "revision", from.Revision, "err", err)
		c.rotate(node)
		if c.backoff(ctx, n) != nil {
			break
		}
	}
	return ctx.Err()
}

// watch runs one watch, and advances position with each update. It always returns the
// error that ended the watch, which is io.EOF if the node closed it.
func (c *Client) watch(ctx context.Context, node string, position *Position, onUpdate func(Update), onOpen func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(watchSilenceTimeout, func() { cancel(errWatchSilent) })
	defer silence.Stop()
	body, err := c.openWatch(ctx, node, *position)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer body.Close()
	onOpen()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, minLineBytes), maxLineBytes)
	for lines.Scan() {
		silence.Reset(watchSilenceTimeout)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		update, err := ReadUpdate(text)
		if err != nil {
			return err
		}
		next, ok := position.Advance(update)
		if !ok {
			return fmt.Errorf("watch: revision %d after %d: %w", update.Revision, position.Revision, errStaleNode)
		}
		*position = next
		onUpdate(*update)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	return io.EOF
}

// openWatch opens a watch from a position. The caller closes the body.
func (c *Client) openWatch(ctx context.Context, node string, position Position) (io.ReadCloser, error) {
	query := url.Values{"watch": {"1"}}
	if position.Epoch == "" {
		query.Set("from", "-1") // a revision before any other, so that the complete list is sent
	} else {
		query.Set("from", strconv.FormatInt(position.Revision, 10))
		query.Set("epoch", position.Epoch)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+discovery.ListPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.watchClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.New(resp.Status)
	}
	return resp.Body, nil
}

// ReadUpdate decodes a line of a watch.
func ReadUpdate(text []byte) (*Update, error) {
	list, err := discovery.Parse(text)
	if err != nil {
		return nil, err
	}
	var epoch struct {
		Epoch string `json:"epoch"`
	}
	if err := json.Unmarshal(text, &epoch); err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	return &Update{*list, epoch.Epoch}, nil
}

package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"plovershore/internal/mailbox"
)

// Outcomes that a notice tells.
const (
	Failed   = "given_up"    // it failed
	Returned = "handed_back" // its client may come again
)

// Notice tells the platform how a message ended, where it was not delivered.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms,omitempty"`
}

const (
	noticeBatchSize  = 64
	noticeTimeoutMin = 200 * time.Millisecond // doubles with each failure in a row: a second try is still in time
	noticeBackoffMin = 50 * time.Millisecond  // grows with each failure in a row
	noticeBackoffMax = 500 * time.Millisecond
	noticeTimeoutMax = 2 * time.Second

	maxNoticeAnswerBytes = 64 << 10 // of an answer that are read, so that its connection can carry the next call
)

// Notices sends notices, each again and again until it has been taken: repeats
// are harmless.
type Notices struct {
	movableAddress
	log     *slog.Logger
	client  *http.Client
	queue   *mailbox.Mailbox[Notice]
	onTaken func(id string)
}

// NewNotices makes the sender of one relay; onTaken hears of each that was taken.
func NewNotices(addr string, log *slog.Logger, onTaken func(string)) *Notices {
	return &Notices{movableAddress: movableAddress{addr: addr}, log: log, client: newHTTPClient(2, baseAnswerTimeout),
		queue: mailbox.New[Notice](), onTaken: onTaken}
}

// Put adds a notice to those that are to be sent. It never blocks.
func (n *Notices) Put(x Notice) { n.queue.Put(x) }

// Run sends until ctx ends.
func (n *Notices) Run(ctx context.Context) {
	defer n.client.CloseIdleConnections()
	var fresh, pending []Notice
	for backoff, timeout := noticeBackoffMin, noticeTimeoutMin; ctx.Err() == nil; {
		fresh = n.queue.TakeAll(fresh)
		pending = append(pending, fresh...)
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
			case <-n.queue.Ready():
			}
			continue
		}
		done, err := n.send(ctx, pending[:min(len(pending), noticeBatchSize)], timeout)
		pending = pending[done:]
		if err == nil {
			backoff, timeout = noticeBackoffMin, noticeTimeoutMin
			continue
		}
		n.log.Warn("notices: not taken", "count", len(pending), "err", err)
		sleep(ctx, backoff)
		backoff, timeout = min(2*backoff, noticeBackoffMax), min(2*timeout, noticeTimeoutMax)
	}
}

// send sends a batch and returns how many of its notices are done with: taken,
// or such as the agent cannot read, which must not hold up the others.
func (n *Notices) send(ctx context.Context, batch []Notice, timeout time.Duration) (done int, err error) {
	err = n.post(ctx, batch, timeout)
	if unreadable(err) && len(batch) > 1 {
		for i := range batch {
			if done, err := n.send(ctx, batch[i:i+1], timeout); done == 0 {
				return i, err
			}
		}
		return len(batch), nil
	}
	if err != nil && !unreadable(err) {
		return 0, err
	}
	for _, x := range batch {
		if err != nil {
			n.log.Error("notices: cannot be read", "message", x.Message, "err", err)
		}
		n.onTaken(x.Message)
	}
	return len(batch), nil
}

// unreadable reports whether the agent answered that it cannot read a notice.
func unreadable(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusBadRequest
}

// post makes one call with a batch.
func (n *Notices) post(ctx context.Context, batch []Notice, timeout time.Duration) error {
	ctx, endCall, addr := n.beginCall(ctx)
	defer endCall()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object a line
	for _, x := range batch {
		if err := enc.Encode(x); err != nil {
			return fmt.Errorf("notices: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+NoticePath, &body)
	if err != nil {
		return fmt.Errorf("notices: %w", err)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return fmt.Errorf("notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticeAnswerBytes))
	if resp.StatusCode != http.StatusNoContent {
		return &StatusError{Call: "notices", Status: resp.StatusCode}
	}
	return nil
}

// ReadNotices reads notices, one JSON object a line; an error names the first
// that cannot be read.
func ReadNotices(r io.Reader) ([]Notice, error) {
	var all []Notice
	for dec := json.NewDecoder(r); ; {
		var x Notice
		err := dec.Decode(&x)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err == nil && (x.Message == "" || x.Outcome != Failed && x.Outcome != Returned) {
			err = fmt.Errorf("outcome %q of message %q", x.Outcome, x.Message)
		}
		if err != nil {
			return nil, fmt.Errorf("notice %d: %w", len(all)+1, err)
		}
		all = append(all, x)
	}
}

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

	"troutusher/internal/mailbox"
)

// Words for the ends that a notice tells.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
)

// Notice tells the platform how a message ended.
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

// Notices sends notices until each has been taken. Repeats are harmless.
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

// Put has a notice sent.
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
		batch := pending[:min(len(pending), noticeBatchSize)]
		status, err := n.post(ctx, batch, timeout)
		if status == http.StatusBadRequest && len(batch) > 1 {
			// One of them cannot be read; it must not hold up the others.
			for _, x := range batch {
				if status, err = n.post(ctx, []Notice{x}, timeout); err != nil && status != http.StatusBadRequest {
					break
				}
				n.markTaken(x, err)
				pending = pending[1:]
			}
		} else if err == nil || status == http.StatusBadRequest {
			for _, x := range batch {
				n.markTaken(x, err)
			}
			pending = pending[len(batch):]
		}
		if err == nil || status == http.StatusBadRequest {
			backoff, timeout = noticeBackoffMin, noticeTimeoutMin
			continue
		}
		n.log.Warn("notices: not taken", "count", len(pending), "err", err)
		sleep(ctx, backoff)
		backoff, timeout = min(2*backoff, noticeBackoffMax), min(2*timeout, noticeTimeoutMax)
	}
}

func (n *Notices) markTaken(x Notice, err error) {
	if err != nil {
		n.log.Error("notices: cannot be read", "message", x.Message, "err", err)
	}
	n.onTaken(x.Message)
}

func (n *Notices) post(ctx context.Context, batch []Notice, timeout time.Duration) (int, error) {
	ctx, endCall, addr := n.beginCall(ctx)
	defer endCall()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object a line
	for _, x := range batch {
		if err := enc.Encode(x); err != nil {
			return 0, fmt.Errorf("notices: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+NoticePath, &body)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticeAnswerBytes))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
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
		if err == nil && (x.Message == "" || x.Outcome != GivenUp && x.Outcome != HandedBack) {
			err = fmt.Errorf("outcome %q of message %q", x.Outcome, x.Message)
		}
		if err != nil {
			return nil, fmt.Errorf("notice %d: %w", len(all)+1, err)
		}
		all = append(all, x)
	}
}

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

// Outcomes of a message, as a notice reports them on the wire.
const (
	Failed   = "given_up"    // the message may have been delivered, and the relay does not send it again
	Returned = "handed_back" // the message was not delivered, and its client may submit it again
)

// Notice reports to the platform the final outcome of a message that was not
// delivered.
type Notice struct {
	Message string `json:"message"`               // the id of the message
	Outcome string `json:"outcome"`               // Failed or Returned
	RetryMS int64  `json:"retry_in_ms,omitempty"` // milliseconds after which the client may submit a Returned message again
}

const (
	noticeBatchSize  = 64
	noticeTimeoutMin = 200 * time.Millisecond // doubles with each failure in a row; so short that the first retry still delivers the notice in time
	noticeBackoffMin = 50 * time.Millisecond  // doubles with each failure in a row
	noticeBackoffMax = 500 * time.Millisecond
	noticeTimeoutMax = 2 * time.Second

	maxNoticeAnswerBytes = 64 << 10 // a response is read up to this size, to see whether it is complete
)

// Notices sends notices to the discovery agent, each until it is acknowledged or
// rejected as malformed. A notice that the agent receives twice has no further effect. Use NewNotices to make
// one. The methods are safe for concurrent use, except Run, which is called once.
type Notices struct {
	agentAddress
	log            *slog.Logger
	client         *http.Client
	queue          *mailbox.Mailbox[Notice]
	onAcknowledged func(id string)
}

// NewNotices returns the sender of one relay's notices to the agent at addr. Run
// calls onAcknowledged with the message id of each notice that was acknowledged, and
// of each that the agent rejected as malformed.
func NewNotices(addr string, log *slog.Logger, onAcknowledged func(string)) *Notices {
	return &Notices{agentAddress: agentAddress{addr: addr}, log: log, client: newHTTPClient(2, baseAnswerTimeout),
		queue: mailbox.New[Notice](), onAcknowledged: onAcknowledged}
}

// Put queues a notice. It never blocks.
func (n *Notices) Put(notice Notice) { n.queue.Put(notice) }

// Run sends queued notices until ctx ends. The notices that are still queued then
// are dropped; the relay's log still has their messages.
func (n *Notices) Run(ctx context.Context) {
	var added, pending []Notice
	for backoff, timeout := noticeBackoffMin, noticeTimeoutMin; ctx.Err() == nil; {
		added = n.queue.TakeAll(added)
		pending = append(pending, added...)
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
			case <-n.queue.Ready():
			}
			continue
		}
		acknowledged, err := n.send(ctx, pending[:min(len(pending), noticeBatchSize)], timeout)
		pending = pending[acknowledged:]
		if err == nil {
			backoff, timeout = noticeBackoffMin, noticeTimeoutMin
			continue
		}
		n.log.Warn("notices not acknowledged", "pending", len(pending), "err", err)
		sleepContext(ctx, backoff)
		backoff, timeout = min(2*backoff, noticeBackoffMax), min(2*timeout, noticeTimeoutMax)
	}
}

// send sends a batch and returns how many of its first notices need no further
// call, because they were acknowledged or because the agent rejected them as
// malformed. A batch that the agent rejects is sent again one by one, so that a
// malformed notice does not hold up the others.
func (n *Notices) send(ctx context.Context, batch []Notice, timeout time.Duration) (acknowledged int, err error) {
	err = n.post(ctx, batch, timeout)
	if isBadRequest(err) && len(batch) > 1 {
		for i := range batch {
			if acknowledged, err := n.send(ctx, batch[i:i+1], timeout); acknowledged == 0 {
				return i, err
			}
		}
		return len(batch), nil
	}
	if err != nil && !isBadRequest(err) {
		return 0, err
	}
	for _, notice := range batch {
		if err != nil {
			n.log.Error("notice rejected", "message", notice.Message, "err", err)
		}
		n.onAcknowledged(notice.Message)
	}
	return len(batch), nil
}

// isBadRequest reports whether the agent rejected a call because of a malformed notice.
func isBadRequest(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusBadRequest
}

// post sends a batch in one call, and returns nil if the agent acknowledged all of it.
func (n *Notices) post(ctx context.Context, batch []Notice, timeout time.Duration) error {
	ctx, endCall, addr := n.beginCall(ctx)
	defer endCall()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object a line
	for _, notice := range batch {
		if err := enc.Encode(notice); err != nil {
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
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticeAnswerBytes)); err != nil {
		return fmt.Errorf("notices: response with status %d: %w", resp.StatusCode, err) // its status proves nothing
	}
	return &StatusError{Call: "notices", Status: resp.StatusCode}
}

// ReadNotices decodes notices, one JSON object per line. An error names the first
// malformed notice by its number, counted from 1.
func ReadNotices(r io.Reader) ([]Notice, error) {
	var notices []Notice
	for dec := json.NewDecoder(r); ; {
		var notice Notice
		err := dec.Decode(&notice)
		if errors.Is(err, io.EOF) {
			return notices, nil
		}
		if err == nil && (notice.Message == "" || notice.Outcome != Failed && notice.Outcome != Returned) {
			err = fmt.Errorf("outcome %q of message %q", notice.Outcome, notice.Message)
		}
		if err != nil {
			return nil, fmt.Errorf("notice %d: %w", len(notices)+1, err)
		}
		notices = append(notices, notice)
	}
}

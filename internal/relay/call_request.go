package relay

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"plovershore/internal/wal"
)

const (
	messagePath = "/v1/messages"
	batchPath   = "/v1/messages:batch"
	// batchItemOverhead is what the JSON of a batch adds to each message: names,
	// quotes and commas.
	batchItemOverhead = 64
)

// batchItem is one message in the body of a batch call.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // Base64 in the JSON
}

// batchItemSize estimates the bytes of a message in the body of a batch, on the
// high side: the id and the key may grow where JSON escapes them.
func batchItemSize(rec *wal.Record) int {
	return base64.StdEncoding.EncodedLen(len(rec.Body)) + 2*(len(rec.ID)+len(rec.Key)) + batchItemOverhead
}

// newCallRequest makes the HTTP request of a call that carries the records: one
// as it is, several as a batch.
func newCallRequest(ctx context.Context, hostPort string, records []*wal.Record, timeout time.Duration) (*http.Request, error) {
	if len(records) == 1 {
		return newMessageRequest(ctx, hostPort, records[0], timeout)
	}
	return newBatchRequest(ctx, hostPort, records, timeout)
}

func newMessageRequest(ctx context.Context, hostPort string, rec *wal.Record, timeout time.Duration) (*http.Request, error) {
	req, err := newPost(ctx, hostPort, messagePath, rec.Body, timeout)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-ID", rec.ID)
	if rec.Key != "" {
		req.Header.Set("Idempotency-Key", rec.Key)
	}
	return req, nil
}

func newBatchRequest(ctx context.Context, hostPort string, records []*wal.Record, timeout time.Duration) (*http.Request, error) {
	items := make([]batchItem, 0, len(records))
	for _, rec := range records {
		body := append([]byte{}, rec.Body...) // an empty body is "", not null
		items = append(items, batchItem{rec.ID, rec.Key, body})
	}
	body, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	req, err := newPost(ctx, hostPort, batchPath, body, timeout)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// newPost makes a POST that net/http never sends twice by itself: GetBody stays
// nil.
func newPost(ctx context.Context, hostPort, path string, body []byte, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostPort+path, nil)
	if err != nil {
		return nil, err
	}
	req.Body = requestBody{ctx, bytes.NewReader(body)} // also an empty one: without a body net/http may resend
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// requestBody is a request body that net/http cannot rewind. With an
// Idempotency-Key net/http takes a POST to be replayable and resends it on its
// own where it can get the body again or there is none.
//
// Its reads fail once the call is stopped: net/http does not look at the context
// any more between a new connection and the first write to it.
type requestBody struct {
	ctx    context.Context
	reader *bytes.Reader
}

func (b requestBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.reader.Read(p)
}

func (requestBody) Close() error { return nil }

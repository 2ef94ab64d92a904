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
	// batchItemOverhead is the number of bytes that the JSON of a batch adds to each
	// message: field names, quotes and commas.
	batchItemOverhead = 64
)

// batchItem is one message in the body of a batch call.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // encoded as Base64 in the JSON
}

// batchItemSize returns an upper bound of the bytes that a message takes in the body
// of a batch. Ids and keys count twice, since JSON may escape their characters.
func batchItemSize(rec *wal.Record) int {
	return base64.StdEncoding.EncodedLen(len(rec.Body)) + 2*(len(rec.ID)+len(rec.Key)) + batchItemOverhead
}

// newCallRequest creates the HTTP request of a call. The body of a single message is
// sent unchanged; several messages are sent as a batch.
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
		body := append([]byte{}, rec.Body...) // a nil slice would be encoded as null instead of ""
		items = append(items, batchItem{rec.ID, rec.Key, body})
	}
	body, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	req, err := newPost(ctx, hostPort, batchPath, body, timeout)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// newPost creates a POST request that net/http never resends by itself, since its
// GetBody is nil.
func newPost(ctx context.Context, hostPort, path string, body []byte, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostPort+path, nil)
	if err != nil {
		return nil, err
	}
	req.Body = requestBody{ctx, bytes.NewReader(body)} // set for an empty body too: net/http may resend a request without a body
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// requestBody is a request body that net/http cannot rewind. net/http considers a
// POST with an Idempotency-Key replayable and resends it on its own if it can get
// the body again or there is no body.
//
// Reads fail once the call is stopped: between getting a new connection and the
// first write to it, net/http does not check the context.
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

package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"plovershore/internal/registry"
)

// RejectedError is a response that sending the request again would not change.
type RejectedError struct {
	Status  int    // the HTTP status code
	Text    string // for people
	Changed int64  // 409: the revision of the member's last change
}

// Error implements error.
func (r *RejectedError) Error() string { return r.Text }

// Do sends a request until it is answered or ctx is done. All attempts carry one
// request id, so that the group applies a write once. body is sent as JSON, or as it
// is if it is a []byte; nil for none. out takes the response's JSON, or its text if it
// is a *[]byte; it may be nil. An answer other than 2xx is a *RejectedError.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) (http.Header, error) {
	return c.DoWith(ctx, method, path, nil, body, out)
}

// DoWith is Do with headers of the request, such as a role's fence.
func (c *Client) DoWith(ctx context.Context, method, path string, header http.Header, body, out any) (http.Header, error) {
	text, err := encodeBody(body)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	req := request{method: method, path: path, id: registry.NewID(), header: header, body: text}
	var lastErr error
	for n := 0; ; n++ {
		node := c.node()
		responseHeader, err := c.attempt(ctx, node, &req, out)
		var rejected *RejectedError
		if err == nil || errors.As(err, &rejected) {
			return responseHeader, err
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		c.rotate(node)
		if n < len(c.nodes) && ctx.Err() == nil { // each node once, without a wait
			continue
		}
		if ctxErr := c.backoff(ctx, max(0, n-len(c.nodes))); ctxErr != nil {
			return nil, fmt.Errorf("registry: %w (%w)", ctxErr, lastErr)
		}
	}
}

func encodeBody(body any) ([]byte, error) {
	switch body := body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return body, nil
	default:
		return json.Marshal(body)
	}
}

// request is what all attempts of one call have in common.
type request struct {
	method, path string
	id           string
	header       http.Header
	body         []byte
}

// attempt sends a request to one node.
func (c *Client) attempt(ctx context.Context, node string, r *request, out any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+node+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set(registry.RequestHeader, r.id)
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
		return nil, newRejectedError(resp, text)
	}
	if err := decodeResponse(text, out); err != nil {
		return nil, fmt.Errorf("registry: answer: %w", err)
	}
	return resp.Header, nil
}

func newRejectedError(resp *http.Response, text []byte) *RejectedError {
	var body struct {
		Error   string `json:"error"`
		Changed int64  `json:"changed"`
	}
	if json.Unmarshal(text, &body) != nil || body.Error == "" {
		body.Error = string(bytes.TrimSpace(text))
	}
	return &RejectedError{resp.StatusCode, fmt.Sprintf("%s: %s", resp.Status, body.Error), body.Changed}
}

func decodeResponse(text []byte, out any) error {
	switch out := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*out = text
		return nil
	default:
		return json.Unmarshal(text, out)
	}
}

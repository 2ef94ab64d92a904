package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// errOtherResponse reports a response to an earlier request that was received on the same
// connection, such as a second copy of one.
var errOtherResponse = errors.New("response to another request")

// RejectedError is a response with a status from 300 to 499. The request isn't sent again,
// since the response would be the same.
type RejectedError struct {
	Status  int    // the HTTP status code
	Text    string // status and the group's error text, for operators
	Changed int64  // 409 about a member: the revision of its last change; 0 if the member is unknown, and for any other response
}

// Error implements error.
func (r *RejectedError) Error() string { return r.Text }

// Do sends a request to one node after another until it is answered or ctx is done. All
// attempts have the same request id, so that the group applies a write once. body is
// encoded as JSON; a []byte is sent unchanged, and nil stands for no body. The response's
// JSON is decoded into out. If out is a *[]byte, it is set to the text of the response; if
// it is nil, the body is ignored. A response with a status from 300 to 499 is returned as a
// *RejectedError; after one of 500 or above the request is sent again.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) (http.Header, error) {
	return c.DoWith(ctx, method, path, nil, body, out)
}

// DoWith is Do with further headers of the request, such as registry.FenceHeader.
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
		if n < len(c.nodes) && ctx.Err() == nil { // the first backoff comes after an attempt at each node and another at the first one
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

// request is the part of a call that is the same in all of its attempts.
type request struct {
	method, path string
	id           string
	header       http.Header
	body         []byte
}

// attempt sends a request to one node. An error other than a *RejectedError means that the
// request may be sent again.
func (c *Client) attempt(ctx context.Context, node string, r *request, out any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+node+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set(registry.RequestHeader, r.id)
	resp, err := c.clientFor(r).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if answered := resp.Header.Get(registry.RequestHeader); answered != "" && answered != r.id {
		c.httpClient.CloseIdleConnections() // the connection with the surplus response may be among them
		return nil, fmt.Errorf("%w: to %s, not to %s", errOtherResponse, answered, r.id)
	}
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

// clientFor returns the HTTP client that sends a request.
func (c *Client) clientFor(r *request) *http.Client {
	if r.path == discovery.NoticePath {
		return c.noticeClient
	}
	return c.httpClient
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

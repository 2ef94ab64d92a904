package stub

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callResult is the result of one call of an endpoint.
type callResult struct {
	notSent    bool // the request was not sent, because the destination had asked to wait or may have (see errMustWait)
	completed  bool // the message was delivered or has expired, and must not be sent again
	mayHaveRun bool
}

// call sends a message to an endpoint and waits for the response. A Retry-After in the
// response delays all further calls to the endpoint's destination.
func (r *relay) call(m *message, target endpoint) callResult {
	ctx, cancel := context.WithDeadline(context.WithValue(context.Background(), destinationKey{}, target.Destination), m.deadline)
	defer cancel()
	body := m.body
	if r.affects(Altered, m) {
		body = append(bytes.Clone(body), '!')
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/v1/messages", bytes.NewReader(body))
	if err != nil {
		return callResult{}
	}
	req.Header.Set("X-Request-ID", m.id)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, time.Until(m.deadline).Milliseconds()), 10))
	resp, err := r.client.Do(req)
	if err != nil {
		return failedCall(err)
	}
	defer resp.Body.Close()
	r.waits.extend(target.Destination, retryAfter(resp))
	io.Copy(io.Discard, resp.Body) // reads the whole body, so that the connection can be reused
	return callResult{
		completed:  resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusGone,
		mayHaveRun: resp.StatusCode == http.StatusInternalServerError,
	}
}

// failedCall returns the result of a call without a response.
func failedCall(err error) callResult {
	if errors.Is(err, errMustWait) {
		return callResult{notSent: true}
	}
	var netErr *net.OpError
	dialFailed := errors.As(err, &netErr) && netErr.Op == "dial"
	return callResult{mayHaveRun: !dialFailed}
}

// retryAfter returns the wait that a response asks for, or 0 if it asks for none.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// destinationKey is the context key of the destination that a call goes to. The connection
// that dial opens for the call keeps that destination, since an address belongs to one
// destination only.
type destinationKey struct{}

// dial opens a connection that sends nothing while its destination has asked to wait.
func (r *relay) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	destination, _ := ctx.Value(destinationKey{}).(int)
	return &guardedConn{Conn: conn, relay: r, destination: destination}, nil
}

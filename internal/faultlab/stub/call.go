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

// callResult is what one attempt came to.
type callResult struct {
	notSent    bool // nothing was sent: a Retry-After came first
	completed  bool // nothing more is pending for the message
	mayHaveRun bool
}

// call sends a message to an endpoint and waits for the answer. A Retry-After in
// it counts for the endpoint's destination from then on.
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
	io.Copy(io.Discard, resp.Body) // so that the connection is reused
	return callResult{
		completed:  resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusGone,
		mayHaveRun: resp.StatusCode == http.StatusInternalServerError,
	}
}

// failedCall is the result of a call that got no answer.
func failedCall(err error) callResult {
	if errors.Is(err, errMustWait) {
		return callResult{notSent: true}
	}
	var netErr *net.OpError
	dialFailed := errors.As(err, &netErr) && netErr.Op == "dial"
	return callResult{mayHaveRun: !dialFailed}
}

// retryAfter is the wait that a response asks for; 0 for none.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// destinationKey is the context key of the destination that a call goes to. An
// address belongs to one destination, so it holds for the connection as well.
type destinationKey struct{}

// dial opens a connection that checks Retry-After before each write.
func (r *relay) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	destination, _ := ctx.Value(destinationKey{}).(int)
	return &guardedConn{Conn: conn, relay: r, destination: destination}, nil
}

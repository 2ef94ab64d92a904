package relay

import (
	"context"
	"net/http"
	"time"

	"plovershore/policy"
)

const (
	healthCheckPath    = "/health/live"
	healthCheckTimeout = 2 * time.Second // a health check that takes longer has failed
)

// checkHealth sends a health check to an endpoint and returns its result. The outcome is
// Delivered if the endpoint answers 200.
func checkHealth(ctx context.Context, transport *http.Transport, hostPort string) outcome {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostPort+healthCheckPath, nil)
	if err != nil {
		return outcome{kind: policy.NotSent, err: err}
	}
	resp, err := transport.RoundTrip(req)
	o := outcome{latency: time.Since(startedAt).Microseconds()}
	if err != nil {
		o.err, o.kind = err, policy.ConnectionReset
		if ctx.Err() != nil {
			o.kind = policy.TimedOut
		}
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		o.kind = policy.Delivered
	case http.StatusServiceUnavailable:
		o.kind = policy.Rejected
	default:
		o.kind = policy.Errored
	}
	if _, err := readResponseBody(resp.Body); err != nil {
		o.kind, o.err = policy.Errored, err
	}
	return o
}

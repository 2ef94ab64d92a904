package rollout

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"plovershore/internal/leader"
)

const responseMax = 1 << 20 // bytes

// Names of the metrics that a relay's operator address serves.
const (
	metricPending   = "app_pending"
	metricCompleted = "app_completed"
	metricFailed    = "app_failed"
	metricRejected  = "app_rejected"
)

// RelayStatus is the state of a relay as its operator address reports it.
type RelayStatus struct {
	Ready     bool  `json:"ready"`
	Pending   int64 `json:"pending"` // messages
	Completed int64 `json:"ended"`   // messages since the process began, including failed and rejected ones
	Rejected  int64 `json:"refused"` // messages since the process began
}

// relayClient sends requests to runners and relays.
type relayClient struct{ http *http.Client }

// newRelayClient returns a client whose requests have a connection each, so that no surplus
// of an earlier response can be taken for the response to a restart.
func newRelayClient() *relayClient {
	return &relayClient{http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// restart requests a step from the relay's runner. It returns leader.ErrLeaseLost if the
// runner has seen a newer fencing token.
func (c *relayClient) restart(ctx context.Context, relay Relay, step Step) error {
	body, err := json.Marshal(step)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	_, err = c.do(ctx, http.MethodPost, "http://"+relay.Runner+RunnerPath, body)
	return err
}

// status reads the readiness and the metrics of a relay.
func (c *relayClient) status(ctx context.Context, relay Relay) (RelayStatus, error) {
	base := "http://" + cmp.Or(relay.Operator, relay.Runner)
	_, readyErr := c.do(ctx, http.MethodGet, base+"/v1/readyz", nil)
	status := RelayStatus{Ready: readyErr == nil}
	text, err := c.do(ctx, http.MethodGet, base+"/v1/metrics", nil)
	if err != nil {
		return status, err
	}
	return status, status.addMetrics(text)
}

// addMetrics reads metrics in the Prometheus text format and adds their values to the
// status, over all labels.
func (s *RelayStatus) addMetrics(text []byte) error {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		series, number, ok := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || strings.HasPrefix(series, "#") {
			continue
		}
		name, _, _ := strings.Cut(series, "{")
		switch name {
		case metricPending:
			s.Pending += int64(value)
		case metricCompleted, metricFailed:
			s.Completed += int64(value)
		case metricRejected:
			s.Completed += int64(value)
			s.Rejected += int64(value)
		}
	}
	return lines.Err()
}

func (c *relayClient) do(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, responseMax))
	switch {
	case err != nil:
		return nil, fmt.Errorf("rollout: %w", err)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return nil, fmt.Errorf("%w: %s", leader.ErrLeaseLost, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("rollout: %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

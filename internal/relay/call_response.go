package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

const (
	maxResponseBytes = 64 << 10         // maximum size of a response's body; the protocol's limit for all bodies
	maxRetryAfter    = 10 * time.Minute // a longer Retry-After is reduced to this
	// maxLoadValue bounds the values of a load report: fractions and calls a second. What
	// the policy computes from them has to stay finite, as JSON has no other numbers.
	maxLoadValue = 1e9
)

// errResponseTooLong reports a response whose body exceeds maxResponseBytes.
var errResponseTooLong = errors.New("body is too long")

// States of a message in the response to a batch.
const (
	batchAccepted = "accepted"
	batchDeferred = "deferred"
	batchExpired  = "expired"
	batchNoMore   = "no_more" // the message has no attempts left
)

// classifyResponse sets the outcome of a call from the status and the headers of
// its response.
func classifyResponse(resp *http.Response, o *outcome, loadFields []string) {
	o.status = resp.StatusCode
	o.load = parseLoadReport(resp.Header.Get("X-Server-Load"), loadFields)
	o.retryAfter = parseRetryAfter(resp.Header.Get("Retry-After"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.kind, o.isFinal = policy.Delivered, true
	case http.StatusTooManyRequests:
		o.kind = policy.Rejected
	case http.StatusServiceUnavailable:
		o.kind = policy.Rejected
		if resp.Header.Get("Slots-Taken") == "1" {
			o.kind, o.callsExhausted = policy.NotSent, true
		}
	case http.StatusGatewayTimeout: // the message has no attempts left
		o.kind = policy.NotSent
	case http.StatusGone:
		o.kind, o.isFinal = policy.NotSent, true
	default: // 500 and statuses that the protocol does not define: the message may have run
		o.kind = policy.Errored
	}
}

// readResponseBody reads the body of a response to its end, after which the connection
// can be reused. It returns errResponseTooLong, or the error of the connection or of
// its encoding, if the body is not complete.
func readResponseBody(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err == nil && len(text) > maxResponseBytes {
		err = errResponseTooLong
	}
	return text, err
}

// batchOutcomes returns the outcome of each message from the body of a batch's response
// with status 200. common holds the fields that are the same for all. A message that the
// body does not name may have run, so its outcome is Errored.
func batchOutcomes(common outcome, body []byte, records []*wal.Record) []outcome {
	common.kind, common.isFinal = policy.Errored, false
	states, err := parseBatchStates(body)
	if err != nil {
		common.err = fmt.Errorf("batch response: %w", err)
		return slices.Repeat([]outcome{common}, len(records))
	}
	outcomes := slices.Repeat([]outcome{common}, len(records))
	for i, rec := range records {
		o := &outcomes[i]
		switch states[rec.ID] {
		case batchAccepted:
			o.kind, o.isFinal = policy.Delivered, true
		case batchDeferred:
			o.kind = policy.Rejected
		case batchExpired:
			o.kind, o.isFinal = policy.NotSent, true
		case batchNoMore:
			o.kind = policy.NotSent
		}
	}
	return outcomes
}

// parseBatchStates parses the body of a batch's response and returns the states by
// message id.
func parseBatchStates(text []byte) (map[string]string, error) {
	var items []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	if err := json.Unmarshal(text, &items); err != nil {
		return nil, err
	}
	states := make(map[string]string, len(items))
	for _, item := range items {
		states[item.ID] = item.State
	}
	return states, nil
}

// parseRetryAfter parses a decimal number of seconds and limits it to maxRetryAfter. It
// returns 0 if s is not a positive number.
func parseRetryAfter(s string) policy.Time {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(seconds > 0) { // the second condition is also true for NaN
		return 0
	}
	return policy.Time(min(seconds, maxRetryAfter.Seconds()) * 1e6)
}

// parseLoadReport parses a load report such as x0=0.4,x1=25. It ignores values that are no
// numbers from 0 to maxLoadValue. The result is empty if fields, the field names in the
// settings, is empty.
func parseLoadReport(s string, fields []string) (load policy.LoadReport) {
	if len(fields) == 0 {
		return load
	}
	for field := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= maxLoadValue) { // the second condition is also true for NaN
			continue
		}
		switch name {
		case "x0":
			load.Remaining, load.Present = value, true
		case "x1":
			load.Limit, load.Present = value, true
		}
	}
	return load
}

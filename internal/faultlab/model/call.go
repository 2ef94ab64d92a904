package model

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"plovershore/internal/faultlab/history"
)

const (
	messagePath = "/v1/messages"
	batchPath   = "/v1/messages:batch"
	idHeader    = "X-Request-ID"

	maxItems                = 64  // a batch with more messages is rejected, whatever Endpoint.MaxBatch allows
	batchItemCost           = 0.1 // fraction of the service time that each message of a batch after the first adds
	failEarlyFraction       = 0.5 // fraction of failing calls that fail before they take effect
	abortEarlyFraction      = 0.5 // fraction of the calls aborted during service that stop before they take effect
	readableCorruptFraction = 0.5 // fraction of corrupt responses whose status line can be read
)

// call is one call that an endpoint has received completely.
type call struct {
	id              int64
	route           route
	req             *http.Request
	body            []byte
	fault           Fault
	overloaded      bool // the upstream is overloaded and rejects every call
	exceedsMaxConns bool // the connection was opened when the endpoint had MaxConns already

	items    []item
	isBatch  bool
	verdicts []callVerdict // one for each item
}

// item is one message of a call, in the form that a batch has it.
type item struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// ids returns the IDs of the call's messages.
func (c *call) ids() []string {
	ids := make([]string, len(c.items))
	for i, item := range c.items {
		ids[i] = item.ID
	}
	return ids
}

// handle serves a call and returns its response, or one without text if the connection
// shall end without a response.
func (e *Endpoint) handle(ctx context.Context, c *call) response {
	now := time.Now()
	invalidStatus := e.parse(c)
	e.world.Recorder.Record(history.Event{Kind: history.CallReceived, Call: c.id, Relay: c.route.Source(), Endpoint: e.ID,
		Destination: e.Upstream.Destination, Messages: c.ids(), SentAt: e.world.Recorder.At(c.route.FirstByteAt())})
	if invalidStatus != 0 {
		e.recordInvalidCall(c.route.Source(), "", fmt.Sprintf("a call that is answered %d", invalidStatus))
		return e.statusResponse(invalidStatus, withoutLoad)
	}
	serviceTime, valid := e.receive(c, now)
	if !valid {
		return e.statusResponse(http.StatusBadRequest, withoutLoad)
	}
	if resp, rejected := e.admit(c, now); rejected {
		return resp
	}
	if resp, final := e.answerUndeliverable(c); final {
		return resp
	}
	if !e.acquireServer(ctx) {
		if ctx.Err() != nil {
			return response{}
		}
		return e.statusResponse(http.StatusServiceUnavailable, withLoad)
	}
	defer e.releaseServer()
	return e.execute(ctx, c, serviceTime)
}

// parse reads the messages of a call into c.items. It returns the status with which
// an invalid call is answered, or 0 for a valid one.
func (e *Endpoint) parse(c *call) (invalidStatus int) {
	switch {
	case c.req.Method != http.MethodPost:
		return http.StatusMethodNotAllowed
	case len(c.body) > maxBody:
		return http.StatusRequestEntityTooLarge
	case c.req.URL.Path == messagePath:
		c.items = []item{{c.req.Header.Get(idHeader), c.body}}
		return 0
	case c.req.URL.Path != batchPath:
		return http.StatusNotFound
	}
	c.isBatch = true
	if json.Unmarshal(c.body, &c.items) != nil || len(c.items) == 0 {
		return http.StatusBadRequest
	}
	if len(c.items) > max(1, e.MaxBatch) || len(c.items) > maxItems {
		return http.StatusRequestEntityTooLarge
	}
	seen := map[string]bool{}
	for _, item := range c.items {
		if seen[item.ID] {
			return http.StatusBadRequest
		}
		seen[item.ID] = true
	}
	return 0
}

// receive looks up the call's messages in the ledger and draws how long it takes to
// serve them. It reports false if a message is unknown or belongs to another
// destination.
func (e *Endpoint) receive(c *call, now time.Time) (serviceTime time.Duration, valid bool) {
	destination := e.Upstream.Destination
	c.verdicts = make([]callVerdict, len(c.items))
	for i, item := range c.items {
		verdict, class := e.world.Ledger.receive(item.ID, destination, item.Body, e.world.Rules.MaxAttempts, now)
		switch verdict {
		case unknownMessage:
			e.recordInvalidCall(c.route.Source(), item.ID, "a message that no client submitted in this form")
			return 0, false
		case wrongDestination:
			e.recordInvalidCall(c.route.Source(), item.ID, fmt.Sprintf("a message of another destination, at %d", destination))
			return 0, false
		}
		c.verdicts[i] = verdict
		limits := Classes()[class].ServiceTime
		drawn := limits[0] + time.Duration(e.Upstream.drawFloat()*float64(limits[1]-limits[0]))
		serviceTime = max(serviceTime, drawn)
	}
	extra := time.Duration(len(c.items) - 1)
	return serviceTime + time.Duration(batchItemCost*float64(serviceTime))*extra, true
}

// admit applies the limits of the endpoint and its upstream. It returns the response
// to a call that they reject.
func (e *Endpoint) admit(c *call, now time.Time) (resp response, rejected bool) {
	if c.exceedsMaxConns {
		resp = response{isLast: true}
		resp.setStatus(http.StatusServiceUnavailable, "")
		return resp, true
	}
	limited := e.Upstream.admit(c.route.Source(), now)
	if !limited.rejected && !c.overloaded {
		return response{}, false
	}
	report := loadIf(!c.overloaded)
	if limited.retryAfter > 0 {
		return e.retryAfterResponse(limited.retryAfter, report), true
	}
	return e.statusResponse(http.StatusServiceUnavailable, report), true
}

// answerUndeliverable answers a single-message call if the message has expired or has no
// attempts left. It leaves batches alone: their response has a state for each message.
func (e *Endpoint) answerUndeliverable(c *call) (resp response, final bool) {
	if c.isBatch {
		return response{}, false
	}
	switch c.verdicts[0] {
	case expired:
		resp = e.statusResponse(http.StatusGone, withLoad)
		resp.expired = c.ids()
		return resp, true
	case attemptsExhausted:
		return e.statusResponse(http.StatusGatewayTimeout, withLoad), true
	}
	return response{}, false
}

// execute serves an admitted call for its service time, and applies the call's fault
// to its execution and response.
func (e *Endpoint) execute(ctx context.Context, c *call, serviceTime time.Duration) response {
	draw := e.Upstream.drawFloat
	if c.fault.Silent {
		<-ctx.Done()
		return response{}
	}
	took := time.Duration(float64(serviceTime) * e.Upstream.LatencyFactor * max(1, c.fault.Slow))
	if !Sleep(ctx, took) && draw() < abortEarlyFraction {
		return response{}
	}
	fails := draw() < c.fault.Fail
	if fails && draw() < failEarlyFraction {
		return e.statusResponse(http.StatusInternalServerError, withLoad)
	}
	e.recordExecution(c)
	switch {
	case fails:
		return e.statusResponse(http.StatusInternalServerError, withLoad)
	case draw() < c.fault.LoseResponse:
		return response{reset: true}
	case draw() < c.fault.CorruptResponse:
		return e.corruptResponse(c)
	case c.isBatch:
		return e.batchResponse(c)
	}
	resp := e.statusResponse(http.StatusOK, withLoad)
	resp.delivered = c.ids()
	return resp
}

// recordExecution records that the messages of a call take effect, except those that
// have expired or have no attempts left.
func (e *Endpoint) recordExecution(c *call) {
	for i, item := range c.items {
		switch c.verdicts[i] {
		case callable, duplicate, unsafeDuplicate:
			e.world.Recorder.Record(history.Event{Kind: history.MessageExecuted, Call: c.id, Endpoint: e.ID, Message: item.ID})
		}
	}
}

// ParseCall returns the message IDs of a call from the bytes that a relay wrote to a
// connection. complete reports whether the relay wrote the whole call.
func ParseCall(written []byte) (ids []string, complete bool) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(written)))
	if err != nil {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, false
	}
	if req.URL.Path != batchPath {
		return []string{req.Header.Get(idHeader)}, true
	}
	var items []item
	if json.Unmarshal(body, &items) != nil {
		return nil, true
	}
	for _, item := range items {
		ids = append(ids, item.ID)
	}
	return ids, true
}

package model

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"
)

// States of the messages in the response to a batch.
const (
	StateAccepted = "accepted"
	StateDeferred = "deferred"
	StateExpired  = "expired"
	StateNoMore   = "no_more"
)

// batchStates maps the verdict on a message of a batch to its state in the response.
var batchStates = map[callVerdict]string{
	callable:          StateAccepted,
	duplicate:         StateAccepted,
	unsafeDuplicate:   StateAccepted,
	expired:           StateExpired,
	attemptsExhausted: StateNoMore,
}

// response is the response to a call. The zero value means that the connection is
// closed without a response.
type response struct {
	status     int // 0 if the response cannot be parsed
	retryAfter time.Duration
	states     []string // of the messages of a batch, in their order
	text       []byte   // the bytes to send; nil for no response
	reset      bool     // the connection is reset instead
	isLast     bool     // the connection is closed after the response
	delivered  []string // messages that are delivered once the relay has received the response
	expired    []string // messages that have expired, and are completed once the relay has received the response
}

// loadChoice says whether a response carries a load report.
type loadChoice bool

const (
	withLoad    loadChoice = true
	withoutLoad loadChoice = false
)

func loadIf(condition bool) loadChoice { return loadChoice(condition) }

// setStatus sets status and text to a response without a body. headers are complete
// lines.
func (r *response) setStatus(status int, headers string) {
	r.status = status
	if r.isLast {
		headers += "Connection: close\r\n"
	}
	r.text = []byte(statusLine(status) + headers + "Content-Length: 0\r\n\r\n")
}

func statusLine(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
}

// loadHeader returns the header line with the load report, or nothing without one.
func (e *Endpoint) loadHeader(choice loadChoice) string {
	if choice == withoutLoad {
		return ""
	}
	remaining, rate := e.Upstream.currentLoad(time.Now())
	return fmt.Sprintf("X-Server-Load: x0=%.3f,x1=%.2f\r\n", remaining, rate)
}

// statusResponse returns a response without a body.
func (e *Endpoint) statusResponse(status int, choice loadChoice) (resp response) {
	resp.setStatus(status, e.loadHeader(choice))
	return resp
}

// retryAfterResponse returns a 429 with a Retry-After, which is rounded up to
// milliseconds.
func (e *Endpoint) retryAfterResponse(wait time.Duration, choice loadChoice) response {
	const millisPerSecond = 1000
	resp := response{retryAfter: wait}
	header := fmt.Sprintf("Retry-After: %.3f\r\n", math.Ceil(wait.Seconds()*millisPerSecond)/millisPerSecond)
	resp.setStatus(http.StatusTooManyRequests, header+e.loadHeader(choice))
	return resp
}

// batchResponse returns the response to a batch, with a state for each message.
func (e *Endpoint) batchResponse(c *call) response {
	resp := response{status: http.StatusOK}
	lines := make([]batchLine, len(c.items))
	for i, item := range c.items {
		state := batchStates[c.verdicts[i]]
		resp.states = append(resp.states, state)
		lines[i] = batchLine{ID: item.ID, State: state}
		switch state {
		case StateAccepted:
			resp.delivered = append(resp.delivered, item.ID)
		case StateExpired:
			resp.expired = append(resp.expired, item.ID)
		}
	}
	body, _ := json.Marshal(lines) // marshaling strings cannot fail
	header := statusLine(http.StatusOK) + e.loadHeader(withLoad)
	resp.text = fmt.Appendf([]byte(header), "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return resp
}

// batchLine is the state of one message in the response to a batch.
type batchLine struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// corruptResponse returns a response that cannot be parsed. For a single message its
// status line may still say 200, and the message then counts as delivered.
func (e *Endpoint) corruptResponse(c *call) response {
	if !c.isBatch && e.Upstream.drawFloat() < readableCorruptFraction {
		return response{isLast: true, status: http.StatusOK, delivered: []string{c.items[0].ID},
			text: []byte("HTTP/1.1 200 OK\r\nContent-Length: x\x00\r\n\r\n")}
	}
	return response{isLast: true, text: []byte("HTQP/1,1 2\xff0 \r\n\r\n\r\n")}
}

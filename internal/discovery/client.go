package discovery

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Paths of discovery's HTTP interface.
const (
	ListPath   = "/registry/instances" // serves the endpoint list, and watches on it
	NoticePath = "/reports"            // takes notices in a POST request, one JSON object per line
)

// baseAnswerTimeout bounds a connect, and the wait for the response to a call that
// does not queue behind those of other relays. The agent is on this machine: it
// either responds at once or is down.
const baseAnswerTimeout = time.Second

// newHTTPClient returns a client for the agent on this machine. It opens at most
// conns connections, uses no proxy and speaks HTTP/1.1 only.
//
// Each request has a connection of its own. On a connection that is kept, net/http takes
// whatever follows a response for the response to the next request if that begins at the
// same moment, and a second copy of a response acknowledges what was never received.
func newHTTPClient(conns int, answerTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: baseAnswerTimeout}).DialContext,
			DisableKeepAlives:     true,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: answerTimeout,
			DisableCompression:    true,
			Protocols:             http1Only(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// StatusError reports a response of discovery whose status is not the expected one.
type StatusError struct {
	Call   string // "list", "watch" or "notices"
	Status int    // HTTP status code
}

// Error names the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery: %s: status %d", e.Call, e.Status)
}

// isRejection reports whether discovery is overloaded or failed. Such a status says
// nothing about the request itself, which may succeed later.
func (e *StatusError) isRejection() bool {
	return e.Status == http.StatusTooManyRequests || e.Status >= http.StatusInternalServerError
}

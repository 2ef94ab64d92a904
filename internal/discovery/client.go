package discovery

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Paths of discovery's HTTP interface.
const (
	ListPath   = "/registry/instances" // the endpoint list, and watches on it
	NoticePath = "/reports"            // notices
)

// baseAnswerTimeout bounds a connect, and a call that need not queue behind
// those of other relays: the agent is on this machine, and answers at once or
// is down.
const baseAnswerTimeout = time.Second

// newHTTPClient returns a client for the agent on this machine: few idle
// connections, no proxy, HTTP/1.1 only.
func newHTTPClient(conns int, answerTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: baseAnswerTimeout}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: answerTimeout,
			IdleConnTimeout:       30 * time.Second,
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

// StatusError is a response of discovery with another status than expected.
type StatusError struct {
	Call   string // "list", "watch" or "notices"
	Status int    // HTTP status code
}

// Error names the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery: %s: status %d", e.Call, e.Status)
}

// isRejection reports whether discovery is overloaded or failed, which says
// nothing about what was requested.
func (e *StatusError) isRejection() bool {
	return e.Status == http.StatusTooManyRequests || e.Status >= http.StatusInternalServerError
}

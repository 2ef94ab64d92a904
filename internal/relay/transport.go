package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"plovershore/policy"
)

const (
	// keepAliveMarginDivisor: one part in so many of the endpoints' keep-alive
	// is left unused, so that an idle connection is closed from this side first.
	keepAliveMarginDivisor = 10
	maxResponseHeaderBytes = 64 << 10
)

// newTransport makes the connections of one endpoint. Each endpoint has a
// transport of its own, so that its idle connections can be closed alone.
func newTransport(cfg *Config, maxIdleConns int, idleTimeout time.Duration) *http.Transport {
	connectTimeout := time.Duration(cfg.Policy.ConnectTimeout) * time.Microsecond
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: cfg.Connect}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &endpointConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    maxIdleConns, // the default of 2 would close the others after each burst
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              http1Only(),
	}
}

// maxIdleTime is how long a connection may stand idle by the settings. A request
// that is written while the endpoint closes its connection ends as a reset, so
// this side closes first.
func maxIdleTime(set *policy.Settings) time.Duration {
	keepAlive := time.Duration(set.KeepAlive) * time.Microsecond
	return keepAlive - keepAlive/keepAliveMarginDivisor
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

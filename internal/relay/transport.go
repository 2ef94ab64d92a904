package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"plovershore/policy"
)

const (
	// keepAliveMarginDivisor is the endpoints' keep-alive time divided by the margin
	// that is subtracted from it, so that this side closes an idle connection first.
	keepAliveMarginDivisor = 10
	maxResponseHeaderBytes = 64 << 10
)

// newTransport creates a transport for the connections to one endpoint. Each endpoint
// has its own transport, so that its idle connections can be closed separately.
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
		MaxIdleConnsPerHost:    maxIdleConns, // the default of 2 would close all other connections after each burst
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              http1Only(),
	}
}

// maxIdleTime returns how long a connection may be idle according to the settings. A
// request that is written while the endpoint closes the connection ends with a reset,
// so this side must close the connection first.
func maxIdleTime(settings *policy.Settings) time.Duration {
	keepAlive := time.Duration(settings.KeepAlive) * time.Microsecond
	return keepAlive - keepAlive/keepAliveMarginDivisor
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// Package stub is a small relay that keeps the protocol's rules, except for the one that
// its defect breaks. The checker's tests run it as a separate process and expect that the
// checker reports each defect under the rule that it breaks.
//
// The stub keeps no message log, so it loses its messages when it restarts, and it does
// not limit its clients.
package stub

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainTimeout   = 3 * time.Second // time from SIGTERM until the stub gives up undelivered messages
	connectTimeout = 1500 * time.Millisecond
	maxIdleConns   = 4 // idle connections to one endpoint
)

// relay is a running stub.
type relay struct {
	defect    Defect
	stateDir  string
	discovery atomic.Pointer[string] // address of the discovery agent
	client    *http.Client           // HTTP client for calls of endpoints; each of its connections is a guardedConn
	messages  atomic.Int64           // number of messages received so far, which is also the number of the latest
	endpoints endpointList
	waits     retryAfterTable
	stalls    stallMonitor
	leaked    leakedResources

	deliveries sync.WaitGroup // deliveries of single messages that have not ended
	background sync.WaitGroup // goroutines that serve clients or run until the stub ends
}

// Main runs a stub relay until SIGTERM and returns its exit code. It takes its
// configuration from ROUTER_CONFIG and its defect from DefectEnv.
func Main(getenv func(string) string) int {
	if err := run(getenv("ROUTER_CONFIG"), Defect(getenv(DefectEnv))); err != nil {
		fmt.Fprintln(os.Stderr, "stub:", err)
		return 1
	}
	return 0
}

// run serves clients until SIGTERM, then waits for the messages in flight.
func run(configPath string, defect Defect) error {
	config, err := readConfig(configPath)
	if err != nil {
		return err
	}
	hangUp, terminate := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM)
	listener, err := net.Listen("tcp4", config.Listen)
	if err != nil {
		return err
	}
	r := newRelay(config, defect)
	ctx, cancel := context.WithCancel(context.Background())
	start(&r.background, func() { r.stalls.run(ctx) })
	start(&r.background, func() { r.reloadOnHangUp(ctx, hangUp, configPath) })
	start(&r.background, func() { r.watchEndpoints(ctx, config.KnownList.Revision) })
	start(&r.background, func() { r.accept(ctx, listener) })
	<-terminate
	for defect == SlowTerm {
		time.Sleep(time.Second)
	}
	listener.Close()
	waitAtMost(&r.deliveries, drainTimeout)
	cancel()
	r.background.Wait()
	return nil
}

func newRelay(config relayConfig, defect Defect) *relay {
	r := &relay{defect: defect, stateDir: config.State}
	r.discovery.Store(&config.Discovery)
	r.endpoints.retainRemoved = defect == IgnoreDrain
	r.endpoints.apply(config.KnownList)
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DialContext: r.dial}}
	return r
}

// reloadOnHangUp reads the discovery address from the configuration file again at each
// SIGHUP.
func (r *relay) reloadOnHangUp(ctx context.Context, hangUp <-chan os.Signal, configPath string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		}
		if r.defect == HangUpExit {
			os.Exit(0)
		}
		if config, err := readConfig(configPath); err == nil {
			r.discovery.Store(&config.Discovery)
		}
	}
}

// accept serves each new client in a goroutine until the listener is closed.
func (r *relay) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			start(&r.background, func() { r.serveClient(ctx, conn) })
		}
	}
}

// start runs work in a goroutine that group counts.
func start(group *sync.WaitGroup, work func()) {
	group.Add(1)
	go func() {
		defer group.Done()
		work()
	}()
}

// waitAtMost waits for the group, but no longer than limit.
func waitAtMost(group *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit): // the goroutines left end with the process
	}
}

package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"plovershore/internal/discovery"
	"plovershore/policy"
)

// firstListTimeout is how long a start waits for the first list from discovery.
const firstListTimeout = 1500 * time.Millisecond

// Run runs a relay until stop is closed and the shutdown is complete, or until a failure
// after which it cannot continue. It receives new addresses of the discovery service from
// discoveryAddresses.
func Run(cfg *Config, log *slog.Logger, stop <-chan struct{}, discoveryAddresses <-chan string) error {
	relayPolicy, err := policy.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := newRelay(ctx, cfg, log, relayPolicy)
	defer r.background.Wait()
	defer cancel()
	r.metrics.waitingFor.Store("waits for the list of endpoints")
	if cfg.Operator != "" {
		op, err := startOperator(cfg, log, r.metrics, r.ready, func(command operatorCommand) { r.mailbox.Put(operatorEvent{command}) })
		if err != nil {
			return err
		}
		defer op.close()
	}
	_, conns := cfg.socketBudget()
	r.idleConns = max(2, (conns-cfg.Policy.MaxCalls)/40)
	r.connPool.maxConns = conns
	r.startDiscovery(discoveryAddresses)
	r.awaitFirstList(firstListTimeout)
	r.stepPolicy() // the policy needs the list before any message
	r.clients = newClientServer(cfg, log, func(q *putRequest) { r.mailbox.Put(submitEvent{request: q}) },
		func(q *putRequest, ok bool) { r.mailbox.Put(responseDoneEvent{request: q, isSent: ok}) })
	r.clients.onCommandDropped = func() { r.metrics.dropped.Add(1) }
	defer r.clients.close()

	r.metrics.waitingFor.Store("waits for the process that owns the log")
	if ok, err := r.acquireOwnership(stop); err != nil || !ok {
		return err
	}
	defer r.ownership.close()
	r.adoptPredecessorDrain()
	pending, ok, err := r.recoverPending(stop)
	if err != nil || !ok {
		return err
	}
	defer r.closeLog()
	return r.serve(stop, pending)
}

// goBackground runs f on a goroutine that Run waits for. f must return soon after the
// relay's context is done.
func (r *Relay) goBackground(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

// startDiscovery starts the goroutines that watch discovery's list, send the completion
// notices to discovery and switch both to new addresses of discovery.
func (r *Relay) startDiscovery(addresses <-chan string) {
	r.notices = discovery.NewNotices(r.cfg.Discovery, r.log, func(id string) { r.mailbox.Put(noticeAcceptedEvent{id}) })
	r.goBackground(func() { r.notices.Run(r.ctx) })
	watch := discovery.NewWatch(r.cfg.Discovery, r.cfg.Policy.Relays, r.log, func(l *discovery.List) { r.mailbox.Put(listEvent{l}) })
	watch.Known = r.cfg.KnownList
	watch.OnRejected = func() { r.mailbox.Put(discoveryRejectedEvent{}) }
	r.goBackground(func() { watch.Run(r.ctx) })
	r.goBackground(func() {
		for {
			select {
			case <-r.ctx.Done():
				return
			case addr := <-addresses:
				r.log.Info("discovery address changed", "address", addr)
				watch.SetAddress(addr)
				r.notices.SetAddress(addr)
			}
		}
	})
}

// recoverPending opens the log and recovers the messages that an earlier process left
// pending. ok is false if stop was closed before the log was open.
func (r *Relay) recoverPending(stop <-chan struct{}) (pending int, ok bool, err error) {
	r.metrics.waitingFor.Store("reads what is owed")
	r.takeListUpdates() // the wait for the lock may have been long: endpoints that are draining by now must get no calls
	r.stepPolicy()
	pending, ok, err = r.openLogWithRetry(stop)
	if err != nil || !ok {
		return pending, ok, err
	}
	r.splitLimits()
	r.stepPolicy()
	return pending, true, nil
}

// serve listens for clients and runs the loop.
func (r *Relay) serve(stop <-chan struct{}, pending int) error {
	ln, ok, err := listenWithRetry(r.log, stop, func() (*net.TCPListener, error) { return listenReusePort(r.ctx, r.cfg.Listen) })
	if err != nil || !ok {
		return err
	}
	defer ln.Close()
	r.goBackground(func() { r.clients.serve(ln) })
	for _, e := range r.deferredEvents {
		r.mailbox.Put(e)
	}
	r.deferredEvents = nil
	r.goBackground(func() {
		select {
		case <-stop:
			r.mailbox.Put(stopEvent{})
		case <-r.ctx.Done():
		}
	})
	r.publishMetrics()
	r.startDraining()
	r.setReadyUnlessDrained()
	r.log.Info("ready", "name", r.cfg.Name, "listen", ln.Addr().String(), "endpoints", len(r.endpoints.byID), "pending", pending)
	return r.loop(ln)
}

// awaitFirstList waits for the complete list, up to timeout: the list in the configuration
// may be outdated, and an endpoint that is draining by now must get no calls. If discovery
// does not answer in time or rejects calls, the configured list is used.
func (r *Relay) awaitFirstList(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	if r.cfg.KnownList != nil {
		r.updateList(r.cfg.KnownList, policy.ListCached)
	}
	for isCurrent := false; !isCurrent; {
		select {
		case <-r.mailbox.Ready():
			isCurrent = r.takeListUpdates()
		case <-timer.C:
			r.log.Warn("no endpoint list from discovery, using the configured one")
			return
		}
	}
}

// takeListUpdates handles the list updates in the mailbox and publishes the operators'
// commands to the process that owns the relay. It defers all other events until the loop
// runs. It reports whether the list is as current as it can be: an update
// came, or discovery rejected a call and there is a configured list.
func (r *Relay) takeListUpdates() (isCurrent bool) {
	for _, e := range r.mailbox.TakeAll(nil) {
		switch e := e.(type) {
		case listEvent:
			e.handle(r)
			isCurrent = true
		case discoveryRejectedEvent:
			isCurrent = isCurrent || r.cfg.KnownList != nil
		case operatorEvent:
			r.deferOperatorCommand(e.command)
		default:
			r.deferredEvents = append(r.deferredEvents, e)
		}
	}
	return isCurrent
}

// setReadyUnlessDrained makes readyz answer 200 once the pending messages are read, unless
// this process was told to drain.
func (r *Relay) setReadyUnlessDrained() {
	if r.recovery.isRunning || r.drain.hidesReadiness {
		return
	}
	r.metrics.waitingFor.Store("")
	r.ready.Store(true)
}

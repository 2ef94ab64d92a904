package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/mailbox"
	"plovershore/policy"
)

// Starting a relay: its list, the log, the listener, and the loop.

// Run serves until stop is closed and the end is made, or something fails that
// a relay cannot go on without. What moved gives is discovery's new address.
func Run(cfg *Config, log *slog.Logger, stop <-chan struct{}, discoveryMoves <-chan string) error {
	decider, err := policy.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, policy: decider, mailbox: mailbox.New[happening](), startedAt: time.Now(), wallClock: newClockWatch(), ctx: ctx,
		messages: map[uint32]*message{}, messagesByID: map[string]*message{}, unanswered: map[*putRequest]*message{},
		endpoints: map[string]*endpoint{}, endpointsByNumber: map[policy.Endpoint]*endpoint{}}
	r.metrics = newMetrics(cfg.Policy.Classes)
	r.metrics.waitingFor.Store("waits for the list of endpoints")
	r.ready = &atomic.Bool{}
	if cfg.Operator != "" {
		op, err := startOperator(cfg, log, r.metrics, r.ready, func(k policy.EventKind) { r.mailbox.Put(happening{ask: k}) })
		if err != nil {
			return err
		}
		defer op.close()
	}
	_, conns := cfg.socketBudget()
	r.idleConns = max(2, (conns-cfg.Policy.MaxCalls)/40)
	r.pool.maxConns = conns
	r.notices = discovery.NewNotices(cfg.Discovery, log, func(id string) { r.mailbox.Put(happening{noticed: id}) })
	go r.notices.Run(ctx)
	disc := discovery.NewWatch(cfg.Discovery, cfg.Policy.Relays, log, func(l *discovery.List) { r.mailbox.Put(happening{news: l}) })
	disc.Known = cfg.KnownList
	disc.OnRejected = func() { r.mailbox.Put(happening{refused: true}) }
	go disc.Run(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case addr := <-discoveryMoves:
				log.Info("discovery has moved", "to", addr)
				disc.SetAddress(addr)
				r.notices.SetAddress(addr)
			}
		}
	}()

	r.awaitFirstList(firstListTimeout)
	r.stepPolicy() // the list alone
	r.clients = newClientServer(cfg, log, func(q *putRequest) { r.mailbox.Put(happening{put: q}) },
		func(q *putRequest, ok bool) { r.mailbox.Put(happening{said: q, ok: ok}) })
	r.metrics.waitingFor.Store("waits for the process that owns the log")
	if ok, err := r.acquireOwnership(stop); err != nil || !ok {
		return err
	}
	defer r.ownership.close()
	r.metrics.waitingFor.Store("reads what is owed")
	r.takeListUpdates() // the wait may have been long: what drains since must not be sent to
	r.stepPolicy()
	pending, ok, err := r.openLogWithRetry(stop)
	if err != nil || !ok {
		return err
	}
	defer func() { r.closeLog() }()
	r.splitLimits()
	r.stepPolicy()
	ln, ok, err := listenWithRetry(log, stop, func() (*net.TCPListener, error) { return listenReusePort(ctx, cfg.Listen) })
	if err != nil || !ok {
		return err
	}
	defer ln.Close()
	go r.clients.serve(ln)
	for _, h := range r.deferredEvents {
		r.mailbox.Put(h)
	}
	r.deferredEvents = nil
	go func() {
		<-stop
		r.mailbox.Put(happening{stop: true})
	}()
	r.publishMetrics()
	if !r.isRecovering {
		r.setReady()
	}
	log.Info("ready", "name", cfg.Name, "listen", ln.Addr().String(), "endpoints", len(r.endpoints), "owed", pending)
	return r.loop(ln)
}

// awaitFirstList waits a while for the whole list: the one in the configuration may
// be old, and an endpoint that drained since must not be sent to. Where
// discovery is silent, or turns calls away, the old one has to do.
func (r *Relay) awaitFirstList(timeout time.Duration) {
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	if r.cfg.KnownList != nil {
		r.updateList(r.cfg.KnownList, policy.ListCached)
	}
	for isCurrent := false; !isCurrent; {
		select {
		case <-r.mailbox.Ready():
			isCurrent = r.takeListUpdates()
		case <-limit.C:
			r.log.Warn("discovery is silent: the list in the configuration is used")
			return
		}
	}
}

// takeListUpdates takes in what discovery has said so far, and leaves all else for the
// loop. It reports whether the list is as good as it can be had now.
func (r *Relay) takeListUpdates() (isCurrent bool) {
	for _, h := range r.mailbox.TakeAll(nil) {
		switch {
		case h.news != nil:
			r.take(h)
			isCurrent = true
		case h.refused:
			isCurrent = isCurrent || r.cfg.KnownList != nil
		default:
			r.deferredEvents = append(r.deferredEvents, h)
		}
	}
	return isCurrent
}

func (r *Relay) setReady() {
	r.metrics.waitingFor.Store("")
	r.ready.Store(true)
}

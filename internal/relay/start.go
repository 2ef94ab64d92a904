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
func Run(cfg *Config, log *slog.Logger, stop <-chan struct{}, moved <-chan string) error {
	decider, err := policy.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, policy: decider, in: mailbox.New[happening](), began: time.Now(), clocks: newClockWatch(), ctx: ctx,
		msgs: map[uint32]*message{}, ids: map[string]*message{}, waiting: map[*request]*message{},
		endpoints: map[string]*endpoint{}, byNum: map[policy.Endpoint]*endpoint{}}
	r.fig = newFigures(cfg.Policy.Classes)
	r.fig.waits.Store("waits for the list of endpoints")
	r.ready = &atomic.Bool{}
	if cfg.Operator != "" {
		op, err := startOperator(cfg, log, r.fig, r.ready, func(k policy.EventKind) { r.in.Put(happening{ask: k}) })
		if err != nil {
			return err
		}
		defer op.close()
	}
	_, conns := cfg.budget()
	r.idleConns = max(2, (conns-cfg.Policy.MaxCalls)/40)
	r.pool.most = conns
	r.notices = discovery.NewNotices(cfg.Discovery, log, func(id string) { r.in.Put(happening{noticed: id}) })
	go r.notices.Run(ctx)
	disc := discovery.NewWatch(cfg.Discovery, cfg.Policy.Relays, log, func(l *discovery.List) { r.in.Put(happening{news: l}) })
	disc.Known = cfg.KnownList
	disc.OnRejected = func() { r.in.Put(happening{refused: true}) }
	go disc.Run(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case addr := <-moved:
				log.Info("discovery has moved", "to", addr)
				disc.SetAddress(addr)
				r.notices.SetAddress(addr)
			}
		}
	}()

	r.firstList(firstList)
	r.step() // the list alone
	r.cl = newClients(cfg, log, func(q *request) { r.in.Put(happening{put: q}) },
		func(q *request, ok bool) { r.in.Put(happening{said: q, ok: ok}) })
	r.fig.waits.Store("waits for the process that owns the log")
	if ok, err := r.ownPatiently(stop); err != nil || !ok {
		return err
	}
	defer r.owner.close()
	r.fig.waits.Store("reads what is owed")
	r.takeNews() // the wait may have been long: what drains since must not be sent to
	r.step()
	owed, ok, err := r.openLogPatiently(stop)
	if err != nil || !ok {
		return err
	}
	defer func() { r.closeLog() }()
	r.share()
	r.step()
	ln, ok, err := listenPatiently(log, stop, func() (*net.TCPListener, error) { return listen(ctx, cfg.Listen) })
	if err != nil || !ok {
		return err
	}
	defer ln.Close()
	go r.cl.serve(ln)
	for _, h := range r.early {
		r.in.Put(h)
	}
	r.early = nil
	go func() {
		<-stop
		r.in.Put(happening{stop: true})
	}()
	r.show()
	if !r.resuming {
		r.setReady()
	}
	log.Info("ready", "name", cfg.Name, "listen", ln.Addr().String(), "endpoints", len(r.endpoints), "owed", owed)
	return r.loop(ln)
}

// firstList waits a while for the whole list: the one in the configuration may
// be old, and an endpoint that drained since must not be sent to. Where
// discovery is silent, or turns calls away, the old one has to do.
func (r *Relay) firstList(most time.Duration) {
	limit := time.NewTimer(most)
	defer limit.Stop()
	if r.cfg.KnownList != nil {
		r.list(r.cfg.KnownList, policy.ListCached)
	}
	for told := false; !told; {
		select {
		case <-r.in.Ready():
			told = r.takeNews()
		case <-limit.C:
			r.log.Warn("discovery is silent: the list in the configuration is used")
			return
		}
	}
}

// takeNews takes in what discovery has said so far, and leaves all else for the
// loop. It reports whether the list is as good as it can be had now.
func (r *Relay) takeNews() (told bool) {
	for _, h := range r.in.TakeAll(nil) {
		switch {
		case h.news != nil:
			r.take(h)
			told = true
		case h.refused:
			told = told || r.cfg.KnownList != nil
		default:
			r.early = append(r.early, h)
		}
	}
	return told
}

func (r *Relay) setReady() {
	r.fig.waits.Store("")
	r.ready.Store(true)
}

// Package faultlab runs many processes of the relay on this machine, with partners,
// discovery, clients and links of its own around them, breaks what the
// scenario's schedule says, and has the judge say which promises were kept. It
// promises that a schedule is a function of scenario and seed, that a run in
// which the lab itself was late is void, and that no process outlives it. It
// knows the protocol alone: nothing of the relay's code is linked in.
package faultlab

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

const (
	readyTimeout     = 30 * time.Second // for all relays, before the clients come
	sampleInterval   = 250 * time.Millisecond
	latenessInterval = 10 * time.Millisecond
	settleTimeout    = 20 * time.Second // after the load, for what is held: the longest deadline, and its slack
	firstPort        = 10000            // under the kernel's own range, on an address that this lab alone has
	lockPort         = 9999
)

// run is one scenario while it runs.
type run struct {
	opts       Options
	scenario   *scenario.Scenario
	seed       uint64
	ctx        context.Context // ends when everything is to stop
	recorder   *history.Recorder
	world      *model.World
	discovery  *model.Discovery // the lab's own; nobody asks it where group is set
	group      *group
	clients    *model.Clients
	upstreams  []*model.Upstream
	endpoints  []*model.Endpoint
	relays     []*relay
	linkFaults map[*link.Link]link.Faults
	plan       *fleetPlan
	ip         string
	port       atomic.Int64
	began      time.Time // of the load
	wg         sync.WaitGroup
	served     sync.WaitGroup // endpoints' goroutines

	status   statusCounter
	mu       sync.Mutex
	lateness *hdrhistogram.Histogram // of the lab's own events, µs
	err      error                   // the first that keeps the run from being one
	stop     context.CancelFunc
}

// fail notes the first error that keeps the run from being one, and stops it.
func (r *run) fail(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
		r.stop()
	}
}

func (r *run) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// play sets everything up, runs the load with its faults, and lets what is held
// come to its end.
func (r *run) play(ctx context.Context, plan []Step) error {
	if err := r.build(ctx); err != nil {
		return err
	}
	if err := r.startAll(ctx); err != nil {
		return err
	}
	r.recorder.Record(history.Event{Kind: history.Run, Text: fmt.Sprintf("%s seed %d", r.scenario.Name, r.seed)})
	arriving, cancel := context.WithTimeout(ctx, scenario.Seconds(r.scenario.Seconds))
	defer cancel()
	stopEarly := context.AfterFunc(r.ctx, cancel)
	defer stopEarly()
	r.began = time.Now()
	r.wg.Add(3)
	go func() { defer r.wg.Done(); r.inject(arriving, plan) }()
	go func() { defer r.wg.Done(); r.measureLateness() }()
	go func() { defer r.wg.Done(); r.sampleUsage() }()
	if r.opts.OnStatus != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.watchStatus(arriving) }()
	}
	if r.group != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.group.serve(r.ctx) }()
	}
	if r.scenario.InvalidPeers.Every > 0 {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.connectInvalidPeers(arriving) }()
	}
	handed := make(chan struct{})
	go func() { defer close(handed); r.clients.Run(r.ctx, arriving, r.seed) }()
	<-arriving.Done()
	<-handed
	// Faults are over: what is still owed has until its time is up.
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && r.ctx.Err() == nil && r.world.Ledger.PendingCount(time.Now()) > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	model.Sleep(r.ctx, 700*time.Millisecond) // a notice is overdue only after that
	return nil
}

// onNotice hears of a message's end; its client may hand it in again.
func (r *run) onNotice(id, outcome string, retryMS int64) {
	if r.world.Ledger.Complete(id) && outcome == discovery.Returned {
		r.clients.MessageReturned(r.ctx, id, retryMS)
	}
}

// recordLostCall records a call that a relay wrote whole and that a link never let
// through: the relay cannot know that it did not run.
func (r *run) recordLostCall(l *link.Link, written []byte, first time.Time) {
	ids, whole := model.ParseCall(written)
	if !whole {
		return // the relay itself saw the connection end before its last byte
	}
	e := history.Event{Kind: history.CallLost, Relay: l.Source, Endpoint: l.Target, Messages: ids, SentAt: r.recorder.At(first)}
	for _, x := range r.endpoints {
		if x.ID == l.Target {
			e.Destination = x.Upstream.Destination
		}
	}
	r.recorder.Record(e)
}

func (r *run) sampleUsage() {
	for model.Sleep(r.ctx, sampleInterval) {
		for _, x := range r.relays {
			x.sampleUsage()
		}
	}
}

func (r *run) connectInvalidPeers(ctx context.Context) {
	d := newRandom(r.seed, "peers")
	var wg sync.WaitGroup
	defer wg.Wait()
	for model.Sleep(ctx, scenario.Seconds(r.scenario.InvalidPeers.Every)) {
		x := r.relays[d.IntN(len(r.relays))]
		kind := r.scenario.InvalidPeers.Kinds[d.IntN(len(r.scenario.InvalidPeers.Kinds))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			model.ConnectInvalidPeer(r.ctx, r.world, x.name, x.proxy.Addr(), kind)
		}()
	}
}

// close ends every process, by SIGTERM first, then the stand-ins.
func (r *run) close() {
	var stopped sync.WaitGroup
	for _, x := range r.relays {
		x.mu.Lock()
		p := x.process
		x.mu.Unlock()
		if p == nil {
			continue
		}
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			x.busy.Lock()
			defer x.busy.Unlock()
			x.stop(r.failure() == nil)
		}()
	}
	stopped.Wait()
	r.stop()
	for _, x := range r.relays {
		if x.agentProcess != nil {
			x.agentProcess.Kill()
		}
		if t, ok := x.agent.(*agentProxy); ok {
			t.Close()
		}
	}
	if r.group != nil {
		r.group.close()
	}
	r.wg.Wait()
	if r.group != nil {
		r.fail(r.group.recordRoleSteps())
		r.group.closeLinks()
	}
	for _, x := range r.relays {
		if x.proxy != nil {
			x.proxy.Close()
		}
		for _, l := range x.links {
			l.Close()
		}
		if x.log != nil {
			x.log.Close()
		}
		if x.agentLog != nil {
			x.agentLog.Close()
		}
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	r.served.Wait()
}

package faultlab

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

const (
	sampleInterval = 250 * time.Millisecond // between two samples of the processes' usage
	settleTimeout  = 20 * time.Second       // after the load, for pending messages: the longest deadline and its slack
	settlePoll     = 20 * time.Millisecond
	noticeGrace    = 700 * time.Millisecond // after the last deadline; a later notice is overdue
)

// run is the state of one run of a scenario.
type run struct {
	opts      Options
	scenario  *scenario.Scenario
	seed      uint64
	plan      *fleetPlan
	ctx       context.Context // ends when everything is to stop
	stop      context.CancelFunc
	failure   failure
	lateness  *lateness
	ip        string
	port      atomic.Int64 // number of ports used so far, from firstPort
	loadStart time.Time    // start of the load

	recorder   *history.Recorder
	world      *model.World
	discovery  *model.Discovery // the lab's own endpoint list; unused if group is set
	group      *group           // nil without a list service
	clients    *model.Clients
	upstreams  []*model.Upstream
	endpoints  []*model.Endpoint
	relays     []*relay
	linkFaults map[*link.Link]link.Faults // faults that a link has while no step affects it
	status     statusCounter

	background sync.WaitGroup // all goroutines but the endpoints'
	serving    sync.WaitGroup // the endpoints' goroutines
}

// start runs work in a goroutine that close waits for.
func (r *run) start(work func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		work()
	}()
}

// execute sets everything up, runs the load with its faults, and waits for pending
// messages.
func (r *run) execute(ctx context.Context, plan []Step) error {
	if err := r.build(ctx); err != nil {
		return err
	}
	if err := r.startRelays(ctx); err != nil {
		return err
	}
	r.recorder.Record(history.Event{Kind: history.Run, Text: fmt.Sprintf("%s seed %d", r.scenario.Name, r.seed)})
	loadCtx, cancel := context.WithTimeout(ctx, scenario.Seconds(r.scenario.Seconds))
	defer cancel()
	defer context.AfterFunc(r.ctx, cancel)()
	r.loadStart = time.Now()
	r.startLoad(loadCtx, plan)
	r.clients.Run(r.ctx, loadCtx, r.seed)
	<-loadCtx.Done()
	r.settle()
	return nil
}

// startLoad starts everything that runs concurrently with the clients.
func (r *run) startLoad(loadCtx context.Context, plan []Step) {
	r.start(func() { r.injectFaults(loadCtx, plan) })
	r.start(func() { r.lateness.measure(r.ctx) })
	r.start(r.sampleUsage)
	if r.opts.OnStatus != nil {
		r.start(func() { r.watchStatus(loadCtx) })
	}
	if r.group != nil {
		r.start(func() { r.group.runClients(r.ctx) })
	}
	if r.scenario.InvalidPeers.Every > 0 {
		r.start(func() { r.connectInvalidPeers(loadCtx) })
	}
}

// settle waits until no message is pending, but for settleTimeout at most, and then for
// noticeGrace, after which a missing notice is overdue.
func (r *run) settle() {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); {
		if r.ctx.Err() != nil || r.world.Ledger.PendingCount(time.Now()) == 0 {
			break
		}
		time.Sleep(settlePoll)
	}
	model.Sleep(r.ctx, noticeGrace)
}

// onNotice completes a message for which a notice came; its client may submit a
// returned message again.
func (r *run) onNotice(id, outcome string, retryMS int64) {
	if r.world.Ledger.Complete(id) && outcome == discovery.Returned {
		r.clients.MessageReturned(r.ctx, id, retryMS)
	}
}

// recordLostCall records a call that a relay wrote completely but a link did not pass
// on: the relay cannot know that the call did not run.
func (r *run) recordLostCall(l *link.Link, written []byte, firstByteAt time.Time) {
	ids, complete := model.ParseCall(written)
	if !complete {
		return // the relay saw the connection end before it had written its last byte
	}
	e := history.Event{Kind: history.CallLost, Relay: l.Source, Endpoint: l.Target, Messages: ids, SentAt: r.recorder.At(firstByteAt)}
	for _, endpoint := range r.endpoints {
		if endpoint.ID == l.Target {
			e.Destination = endpoint.Upstream.Destination
		}
	}
	r.recorder.Record(e)
}

// sampleUsage records what resources the relays use until the run stops.
func (r *run) sampleUsage() {
	for model.Sleep(r.ctx, sampleInterval) {
		for _, relay := range r.relays {
			relay.sampleUsage()
		}
	}
}

// connectInvalidPeers connects an invalid peer to some relay at each interval, until
// ctx ends.
func (r *run) connectInvalidPeers(ctx context.Context) {
	random := newRandom(r.seed, "peers")
	var connected sync.WaitGroup
	defer connected.Wait()
	peers := &r.scenario.InvalidPeers
	for model.Sleep(ctx, scenario.Seconds(peers.Every)) {
		relay := r.relays[random.IntN(len(r.relays))]
		kind := peers.Kinds[random.IntN(len(peers.Kinds))]
		connected.Add(1)
		go func() {
			defer connected.Done()
			model.ConnectInvalidPeer(r.ctx, r.world, relay.name, relay.proxy.Addr(), kind)
		}()
	}
}

// close ends the relays' processes, by SIGTERM first, and then everything around them.
func (r *run) close() {
	r.stopRelays()
	r.stop()
	for _, relay := range r.relays {
		relay.closeAgent()
	}
	if r.group != nil {
		r.group.close()
	}
	r.background.Wait()
	if r.group != nil {
		r.failure.set(r.group.recordRoleSteps())
		r.group.closeLinks()
	}
	for _, relay := range r.relays {
		relay.closeLinks()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	r.serving.Wait()
}

// stopRelays ends the relays' processes; after a failure, by SIGKILL at once.
func (r *run) stopRelays() {
	var stopping sync.WaitGroup
	graceful := r.failure.get() == nil
	for _, relay := range r.relays {
		if relay.currentProcess() == nil {
			continue
		}
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			relay.faultMu.Lock()
			defer relay.faultMu.Unlock()
			relay.shutdown(graceful)
		}()
	}
	stopping.Wait()
}

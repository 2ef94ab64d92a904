package model

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
)

// Limit is what a destination takes from all relays together.
type Limit struct {
	Rate               float64       // calls a second; 0 for no limit
	Window             time.Duration // counted over fixed spans of this length; 0 for a plain rate
	RetryAfterFraction float64       // share of refusals that tell how long to wait
	RetryAfterMin      time.Duration // told by a plain rate, drawn up to RetryAfterMax
	RetryAfterMax      time.Duration
	CountsRejected     bool // refused calls use the limit up
}

// Fault is a trouble that a destination or an endpoint has for a while.
type Fault struct {
	Slow            float64 // calls take so many times as long; 0 for once
	Fail            float64 // share of calls that end in 500, half of them with their effect
	Closed          bool    // every call is refused, and told to wait until it opens
	Silent          bool    // calls are taken and never answered
	LoseResponse    float64 // share of answers that are lost: effect, and no word of it
	CorruptResponse float64 // share of answers that cannot be read
	Reset           float64 // share of connections reset under the request, before it is whole
}

func (s Fault) isOutage() bool { return s.Closed || s.Silent || s.Fail >= 0.5 }

// combine adds another spell.
func (s Fault) combine(o Fault) Fault {
	s.Slow = max(s.Slow, 1) * max(o.Slow, 1)
	s.Fail, s.LoseResponse, s.CorruptResponse, s.Reset = max(s.Fail, o.Fail), max(s.LoseResponse, o.LoseResponse), max(s.CorruptResponse, o.CorruptResponse), max(s.Reset, o.Reset)
	s.Closed, s.Silent = s.Closed || o.Closed, s.Silent || o.Silent
	return s
}

// Upstream is a destination: one to four endpoints that share one limit, and
// whose outages are the whole partner's.
type Upstream struct {
	Destination        int
	Kind               string
	Limit              Limit
	LatencyFactor      float64 // times the usual time that a call takes
	LoadReportInterval time.Duration
	rules              Rules
	recorder           *history.Recorder
	random             *rand.Rand

	mu                 sync.Mutex
	faults             []Fault
	limitFactor        float64
	opensAt            time.Time // when a shut one opens
	endpointsDown      int       // endpoints that are down
	endpoints          int
	inOutage           bool
	refusesConnections bool      // during the outage its connections were refused
	recoveringSince    time.Time // since when it is back; zero for warm
	overloaded         bool
	windowStart        time.Time // of the present span
	used               float64   // of the span's count, or of the plain rate's bucket
	lastRefill         time.Time
	recentCalls        []recentCall // of the last Fall, while it is cold
	reportedLimit      float64
	reportedAt         time.Time
}

type recentCall struct {
	at    time.Time
	relay string
}

// rejection says why a call is turned away.
type rejection struct {
	rejected   bool
	retryAfter time.Duration // told; 0 for none
}

// NewUpstream makes a destination whose reports are refreshed at the given pace.
func NewUpstream(cell int, kind string, l Limit, pace float64, every time.Duration, rules Rules, rec *history.Recorder, seed uint64) *Upstream {
	now := time.Now()
	return &Upstream{Destination: cell, Kind: kind, Limit: l, LatencyFactor: pace, LoadReportInterval: every, rules: rules, recorder: rec,
		random: rand.New(rand.NewPCG(seed, uint64(cell))), windowStart: now, lastRefill: now, reportedLimit: 1, limitFactor: 1}
}

func (p *Upstream) drawFloat() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

// AddFault puts a trouble on the whole destination, beside those that it has. A
// shut one tells callers to wait until opens.
func (p *Upstream) AddFault(s Fault, opens time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, s)
	if s.Closed {
		p.opensAt = opens
	}
	p.updateOutage(false)
}

// RemoveFault ends a trouble that was added.
func (p *Upstream) RemoveFault(s Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.faults, s); i >= 0 {
		p.faults = slices.Delete(p.faults, i, i+1)
	}
	p.updateOutage(false)
}

// ScaleLimit sets the limit to so many times what it is on a usual day.
func (p *Upstream) ScaleLimit(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limitFactor = factor
}

// activeFault is all of its troubles together.
func (p *Upstream) activeFault() (all Fault) {
	for _, s := range p.faults {
		all = all.combine(s)
	}
	return all
}

// currentLimit is what it takes on a usual day, as it is scaled now.
func (p *Upstream) currentLimit() float64 { return p.Limit.Rate * p.limitFactor }

// setEndpointDown books that one more of its endpoints is down, or one less.
func (p *Upstream) setEndpointDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.endpointsDown++
	} else {
		p.endpointsDown--
	}
	p.updateOutage(true)
}

// updateOutage notes where an outage of the whole destination begins and ends.
func (p *Upstream) updateOutage(refusing bool) {
	gone := p.endpoints > 0 && p.endpointsDown >= p.endpoints
	out := p.activeFault().isOutage() || gone
	if out == p.inOutage {
		return
	}
	p.inOutage = out
	if out {
		p.refusesConnections = refusing
	} else {
		p.recoveringSince, p.recentCalls = time.Now(), nil
	}
	p.recorder.Record(history.Event{Kind: history.Outage, Destination: p.Destination, Active: out, RefusesConnections: p.refusesConnections})
}

// capacityFraction is how much of its capacity it has now.
func (p *Upstream) capacityFraction(now time.Time) float64 {
	if p.recoveringSince.IsZero() {
		return 1
	}
	after := now.Sub(p.recoveringSince)
	if after >= p.rules.RecoveryTime {
		p.recoveringSince, p.recentCalls = time.Time{}, nil
		return 1
	}
	return p.rules.RecoveryCapacity + (1-p.rules.RecoveryCapacity)*float64(after)/float64(p.rules.RecoveryTime)
}

// admit counts a call that has come and says whether it is turned away.
func (p *Upstream) admit(relay string, now time.Time) rejection {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.capacityFraction(now)
	if !p.inOutage && !p.recoveringSince.IsZero() {
		p.countRecoveryCall(relay, now, share)
	}
	if p.activeFault().Closed {
		wait := time.Duration(0)
		if p.random.Float64() < p.Limit.RetryAfterFraction {
			wait = max(p.opensAt.Sub(now), 10*time.Millisecond)
		}
		return rejection{true, wait}
	}
	if p.Limit.Rate <= 0 {
		return rejection{}
	}
	rate := p.currentLimit() * share
	var room bool
	var wait time.Duration
	if p.Limit.Window > 0 {
		for now.Sub(p.windowStart) >= p.Limit.Window {
			p.windowStart, p.used = p.windowStart.Add(p.Limit.Window), 0
		}
		room = p.used+1 <= max(1, rate*p.Limit.Window.Seconds())
		wait = p.windowStart.Add(p.Limit.Window).Sub(now)
	} else {
		p.used = max(0, p.used-now.Sub(p.lastRefill).Seconds()*rate)
		p.lastRefill = now
		room = p.used+1 <= max(1, rate*0.5)
		wait = p.Limit.RetryAfterMin + time.Duration(p.random.Float64()*float64(p.Limit.RetryAfterMax-p.Limit.RetryAfterMin))
	}
	if room || p.Limit.CountsRejected {
		p.used++
	}
	if room {
		return rejection{}
	}
	if p.random.Float64() >= p.Limit.RetryAfterFraction {
		wait = 0
	}
	return rejection{true, wait}
}

// countRecoveryCall counts what comes to a cold destination: too much of it and it falls
// over and stays down.
func (p *Upstream) countRecoveryCall(relay string, now time.Time, share float64) {
	if p.overloaded || p.Limit.Rate <= 0 {
		return
	}
	p.recentCalls = append(p.recentCalls, recentCall{now, relay})
	for now.Sub(p.recentCalls[0].at) > p.rules.OverloadWindow {
		p.recentCalls = p.recentCalls[1:]
	}
	budget := p.rules.OverloadFactor * share * p.currentLimit() * p.rules.OverloadWindow.Seconds()
	if float64(len(p.recentCalls)) <= budget*1.1+3 { // a little slack for chance
		return
	}
	p.overloaded = true
	by := map[string]int{}
	for _, x := range p.recentCalls {
		by[x.relay]++
	}
	p.recorder.Record(history.Event{Kind: history.DestinationOverloaded, Destination: p.Destination, Relays: by})
}

// loadReport is what an answer tells of the limit: refreshed late, so often old.
func (p *Upstream) loadReport(now time.Time) (x0, x1 float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.reportedAt) >= p.LoadReportInterval {
		p.reportedAt = now
		all := p.currentLimit() * 0.5
		if p.Limit.Window > 0 {
			all = p.currentLimit() * p.Limit.Window.Seconds()
		}
		p.reportedLimit = 1
		if all > 0 {
			p.reportedLimit = min(1, max(0, 1-p.used/max(1, all)))
		}
	}
	return p.reportedLimit, p.currentLimit()
}

// faultFor is what a call to one of its endpoints meets.
func (p *Upstream) faultFor(own Fault) (Fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeFault().combine(own), p.overloaded
}

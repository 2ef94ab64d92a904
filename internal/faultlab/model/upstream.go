package model

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
)

const (
	burstSeconds       = 0.5                   // a limit without a window accepts at once as many calls as it allows in this time
	minRetryAfter      = 10 * time.Millisecond // shortest Retry-After of a closed upstream
	overloadTolerance  = 1.1                   // factor on the overload budget, so that random variation overloads nothing
	overloadExtraCalls = 3                     // further calls allowed above the budget, since random variation is large beside a small budget
)

// Limit describes how many calls a destination accepts from all relays together.
type Limit struct {
	Rate               float64       // calls a second; 0 for no limit
	Window             time.Duration // calls are counted over fixed windows of this length; 0 for a token bucket
	RetryAfterFraction float64       // fraction of rejections that carry a Retry-After
	RetryAfterMin      time.Duration // shortest Retry-After of a token bucket, which is drawn from RetryAfterMin to RetryAfterMax
	RetryAfterMax      time.Duration
	CountsRejected     bool // rejected calls count against the limit as well
}

// Upstream simulates a destination: one or more endpoints that share a limit and the
// faults of the whole destination. It is safe for concurrent use; the exported fields
// do not change.
type Upstream struct {
	Destination   int
	Kind          string
	Limit         Limit
	LatencyFactor float64       // factor on the service time of each class
	LoadInterval  time.Duration // how long a load report is repeated before it is refreshed

	rules    Rules
	recorder *history.Recorder

	mu               sync.Mutex
	random           *rand.Rand
	faults           []Fault
	limitFactor      float64   // factor on Limit.Rate
	opensAt          time.Time // when the Retry-After of a closed upstream ends
	endpoints        int
	endpointsDown    int       // number of endpoints that are down
	inOutage         bool      // the whole destination is down
	connectionsFail  bool      // endpoints refuse connections during the outage
	recoveringSince  time.Time // end of the last outage; zero if the upstream has its full capacity
	overloaded       bool      // it was overloaded while it recovered, and rejects every call from then on
	windowStart      time.Time
	used             float64 // calls counted in the window, or not yet drained from the token bucket
	lastRefill       time.Time
	recentCalls      []recentCall // calls of the last OverloadWindow, while it recovers
	reportedFraction float64      // fraction of the limit that was left at reportedAt
	reportedAt       time.Time
}

// recentCall is a call to a recovering upstream.
type recentCall struct {
	receivedAt time.Time
	relay      string
}

// rejection says whether a call is rejected, and with which Retry-After.
type rejection struct {
	rejected   bool
	retryAfter time.Duration // 0 if the rejection carries none
}

// NewUpstream returns an upstream that draws from a seed.
func NewUpstream(destination int, kind string, limit Limit, latencyFactor float64, loadInterval time.Duration,
	rules Rules, recorder *history.Recorder, seed uint64) *Upstream {
	now := time.Now()
	return &Upstream{
		Destination:      destination,
		Kind:             kind,
		Limit:            limit,
		LatencyFactor:    latencyFactor,
		LoadInterval:     loadInterval,
		rules:            rules,
		recorder:         recorder,
		random:           rand.New(rand.NewPCG(seed, uint64(destination))),
		windowStart:      now,
		lastRefill:       now,
		reportedFraction: 1,
		limitFactor:      1,
	}
}

// drawFloat draws a number from 0 to 1.
func (u *Upstream) drawFloat() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()
}

// AddFault adds a fault to those that the upstream has. If the fault closes the
// upstream, opensAt is when the Retry-After of its rejections ends.
func (u *Upstream) AddFault(fault Fault, opensAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = append(u.faults, fault)
	if fault.Closed {
		u.opensAt = opensAt
	}
	u.updateOutage(false)
}

// RemoveFault removes a fault that AddFault added; of several equal ones it removes one.
func (u *Upstream) RemoveFault(fault Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(u.faults, fault); i >= 0 {
		u.faults = slices.Delete(u.faults, i, i+1)
	}
	u.updateOutage(false)
}

// ScaleLimit sets the limit to factor times Limit.Rate.
func (u *Upstream) ScaleLimit(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limitFactor = factor
}

// activeFault returns the effect of all its faults together. The caller holds u.mu.
func (u *Upstream) activeFault() (all Fault) {
	for _, fault := range u.faults {
		all = all.combine(fault)
	}
	return all
}

// currentLimit returns the scaled limit in calls a second. The caller holds u.mu.
func (u *Upstream) currentLimit() float64 { return u.Limit.Rate * u.limitFactor }

// addEndpoint counts one more endpoint.
func (u *Upstream) addEndpoint() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endpoints++
}

// setEndpointDown counts one endpoint that went down, or came back.
func (u *Upstream) setEndpointDown(down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if down {
		u.endpointsDown++
	} else {
		u.endpointsDown--
	}
	u.updateOutage(true)
}

// updateOutage checks whether an outage begins or ends, and records it. An outage
// needs all endpoints to be down, or a fault that counts as one. connectionsFail says
// whether connections are refused during an outage that begins now. The caller holds
// u.mu.
func (u *Upstream) updateOutage(connectionsFail bool) {
	allDown := u.endpoints > 0 && u.endpointsDown >= u.endpoints
	inOutage := u.activeFault().isOutage() || allDown
	if inOutage == u.inOutage {
		return
	}
	u.inOutage = inOutage
	if inOutage {
		u.connectionsFail = connectionsFail
	} else {
		u.recoveringSince, u.recentCalls = time.Now(), nil
	}
	u.recorder.Record(history.Event{Kind: history.Outage, Destination: u.Destination, Active: inOutage, ConnectionsFail: u.connectionsFail})
}

// capacityFraction returns the fraction of its capacity that the upstream has now: it
// grows linearly from Rules.RecoveryCapacity to 1 after an outage. The caller holds
// u.mu.
func (u *Upstream) capacityFraction(now time.Time) float64 {
	if u.recoveringSince.IsZero() {
		return 1
	}
	after := now.Sub(u.recoveringSince)
	if after >= u.rules.RecoveryTime {
		u.recoveringSince, u.recentCalls = time.Time{}, nil
		return 1
	}
	start := u.rules.RecoveryCapacity
	return start + (1-start)*float64(after)/float64(u.rules.RecoveryTime)
}

// admit counts a call against the limit and returns whether it is rejected.
func (u *Upstream) admit(relay string, now time.Time) rejection {
	u.mu.Lock()
	defer u.mu.Unlock()
	capacity := u.capacityFraction(now)
	if !u.inOutage && !u.recoveringSince.IsZero() {
		u.countRecoveryCall(relay, now, capacity)
	}
	if u.activeFault().Closed {
		return u.reject(max(u.opensAt.Sub(now), minRetryAfter))
	}
	if u.Limit.Rate <= 0 {
		return rejection{}
	}
	hasCapacity, retryAfter := u.checkLimit(now, u.currentLimit()*capacity)
	if hasCapacity || u.Limit.CountsRejected {
		u.used++
	}
	if hasCapacity {
		return rejection{}
	}
	return u.reject(retryAfter)
}

// checkLimit reports whether the limit has capacity for one more call, and returns the
// Retry-After for the case that it has not. The caller holds u.mu.
func (u *Upstream) checkLimit(now time.Time, rate float64) (hasCapacity bool, retryAfter time.Duration) {
	limit := &u.Limit
	if limit.Window > 0 {
		for now.Sub(u.windowStart) >= limit.Window {
			u.windowStart, u.used = u.windowStart.Add(limit.Window), 0
		}
		return u.used+1 <= max(1, rate*limit.Window.Seconds()), u.windowStart.Add(limit.Window).Sub(now)
	}
	u.used = max(0, u.used-now.Sub(u.lastRefill).Seconds()*rate)
	u.lastRefill = now
	drawn := u.random.Float64() * float64(limit.RetryAfterMax-limit.RetryAfterMin)
	return u.used+1 <= max(1, rate*burstSeconds), limit.RetryAfterMin + time.Duration(drawn)
}

// reject returns a rejection, and draws whether it carries the Retry-After. The caller
// holds u.mu.
func (u *Upstream) reject(retryAfter time.Duration) rejection {
	if u.random.Float64() >= u.Limit.RetryAfterFraction {
		retryAfter = 0
	}
	return rejection{rejected: true, retryAfter: retryAfter}
}

// countRecoveryCall counts a call to a recovering upstream. Too many calls in
// Rules.OverloadWindow overload the upstream, and it rejects all calls for the rest of
// the run. The caller holds u.mu.
func (u *Upstream) countRecoveryCall(relay string, now time.Time, capacity float64) {
	if u.overloaded || u.Limit.Rate <= 0 {
		return
	}
	u.recentCalls = append(u.recentCalls, recentCall{now, relay})
	for now.Sub(u.recentCalls[0].receivedAt) > u.rules.OverloadWindow {
		u.recentCalls = u.recentCalls[1:]
	}
	budget := u.rules.OverloadFactor * capacity * u.currentLimit() * u.rules.OverloadWindow.Seconds()
	if float64(len(u.recentCalls)) <= budget*overloadTolerance+overloadExtraCalls {
		return
	}
	u.overloaded = true
	byRelay := map[string]int{}
	for _, call := range u.recentCalls {
		byRelay[call.relay]++
	}
	u.recorder.Record(history.Event{Kind: history.DestinationOverloaded, Destination: u.Destination, Relays: byRelay})
}

// currentLoad returns the load report of a response: the fraction of the limit that is
// left, which is refreshed once each LoadInterval, and the calls a second that the
// limit allows.
func (u *Upstream) currentLoad(now time.Time) (remaining, rate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.reportedAt) < u.LoadInterval {
		return u.reportedFraction, u.currentLimit()
	}
	u.reportedAt = now
	window := burstSeconds
	if u.Limit.Window > 0 {
		window = u.Limit.Window.Seconds()
	}
	u.reportedFraction = 1
	if total := u.currentLimit() * window; total > 0 {
		u.reportedFraction = min(1, max(0, 1-u.used/max(1, total)))
	}
	return u.reportedFraction, u.currentLimit()
}

// faultFor returns the fault that applies to a call to an endpoint, from the
// endpoint's own fault and those of the upstream, and whether the upstream is
// overloaded.
func (u *Upstream) faultFor(endpointFault Fault) (fault Fault, overloaded bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.activeFault().combine(endpointFault), u.overloaded
}

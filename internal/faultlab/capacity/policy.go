package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/settings"
	"plovershore/internal/wire"
	"plovershore/policy"
)

const (
	policySlots  = 100
	policyWait   = policy.Time(3600e6) // of a destination with a Retry-After
	policyMoment = policy.Time(10_000) // between steps: a call a step, by the policy's own pace
	safeClass    = 0
	unsafeClass  = 1
	classTime    = 100 * policyWait // so that nothing runs out of time while it is measured
)

// relaySettings are a relay's at the target, as its configuration holds them.
func relaySettings(slots, maxMessages int) map[string]any {
	var zones []string
	for i := range targetZones {
		zones = append(zones, fmt.Sprintf("z-%d", i))
	}
	s := model.Settings(model.Fleet{Relays: targetRelays, MaxCalls: slots, MaxMessages: maxMessages, Zones: zones, MaxBatch: 5}, model.StandardRules())
	for _, c := range s["classes"].([]map[string]any) {
		c["deadline_us"] = classTime
	}
	return s
}

func policySettings(maxMessages int) (policy.Settings, error) {
	text, err := json.Marshal(relaySettings(policySlots, 340))
	if err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, err := wire.ParseSettings(text)
	if err != nil {
		return policy.Settings{}, err
	}
	d, err := settings.ToPolicy(s)
	d.MaxMessages, d.StreamsPerConnection = maxMessages, 1
	return d, err
}

// flight is an attempt that a policy has out.
type flight struct {
	message  uint32
	attempt  int
	endpoint policy.Endpoint
}

// driver is the relay round a policy, as far as the policy can tell: it submits
// messages and ends attempts at moments of its own clock.
type driver struct {
	policy    *policy.Policy
	now       policy.Time
	actions   []policy.Action
	out       []flight
	attempts  map[uint32]int
	last      uint32
	completed int // messages that the policy refused or gave up
}

// newDriver makes a policy that has a list of so many destinations.
func newDriver(destinations, maxMessages int) (*driver, error) {
	s, err := policySettings(maxMessages)
	if err != nil {
		return nil, err
	}
	p, err := policy.New(s, 1)
	if err != nil {
		return nil, err
	}
	d := &driver{policy: p, now: policyWait, attempts: map[uint32]int{}}
	d.step(policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull, Entries: entries(destinations)})
	return d, nil
}

func entries(destinations int) []policy.Entry {
	all := make([]policy.Entry, destinations)
	for i := range all {
		all[i] = entry(i, policy.Ready)
	}
	return all
}

// entry is the only endpoint of a destination; its number is one above it.
func entry(destination int, state policy.Readiness) policy.Entry {
	return policy.Entry{Endpoint: policy.Endpoint(destination + 1), Zone: destination % targetZones, Kind: 1, Dest: destination, State: state, Rate: 1}
}

// step has the policy take events, and gives how long that took.
func (d *driver) step(events ...policy.Event) time.Duration {
	began := time.Now()
	d.actions = d.policy.Step(d.now, events, d.actions[:0])
	took := time.Since(began)
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case policy.ActionSend:
			d.out = append(d.out, flight{a.Message, d.attempts[a.Message], a.Endpoint})
			d.attempts[a.Message]++
		case policy.ActionReject, policy.ActionFail:
			d.completed++
			delete(d.attempts, a.Message)
		}
	}
	return took
}

// message is a new one for a destination.
func (d *driver) message(destination, class int) policy.Event {
	d.last++
	return policy.Event{Kind: policy.EventMessage, Message: d.last, Class: class, Dest: destination, Tenant: -1, TimeLeft: classTime}
}

// outcome ends the oldest attempt that is out.
func (d *driver) outcome(o policy.Outcome, wait policy.Time) (policy.Event, error) {
	if len(d.out) == 0 {
		return policy.Event{}, errors.New("policy: no attempt is out")
	}
	f := d.out[0]
	d.out = d.out[1:]
	if o == policy.Delivered {
		delete(d.attempts, f.message)
	}
	return policy.Event{Kind: policy.EventAttemptDone, Message: f.message, Attempt: f.attempt, Endpoint: f.endpoint, Outcome: o, RetryAfter: wait,
		Latency: 200_000, Final: o == policy.Delivered}, nil
}

// shut has a destination ask the relay to wait for longer than is measured; the
// message for it waits there.
func (d *driver) shut(destination int) error {
	d.step(d.message(destination, safeClass))
	e, err := d.outcome(policy.Rejected, policyWait)
	if err != nil {
		return fmt.Errorf("destination %d: %w", destination, err)
	}
	d.step(e)
	return nil
}

// waitForCall lets time go by until an attempt is out, and gives what the policy
// took meanwhile.
func (d *driver) waitForCall() (took time.Duration, err error) {
	for range 10_000 {
		if len(d.out) > 0 {
			return took, nil
		}
		d.now += policyMoment
		took += d.step(policy.Event{Kind: policy.EventTimer})
	}
	return took, errors.New("policy: nothing is sent")
}

// deliver has the oldest attempt that is out answered, once there is one.
func (d *driver) deliver() (time.Duration, error) {
	took, err := d.waitForCall()
	if err != nil {
		return took, err
	}
	d.now += policyMoment
	e, err := d.outcome(policy.Delivered, 0)
	if err != nil {
		return took, err
	}
	return took + d.step(e), nil
}

// heapBytes is what the program's heap holds after a collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// micros gives the mean of n spans that came to a sum, in microseconds.
func micros(sum time.Duration, n int) float64 { return sum.Seconds() * 1e6 / float64(n) }

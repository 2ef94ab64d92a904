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
	callSlots       = 100
	retryAfterDelay = policy.Time(3600e6) // of a destination with a Retry-After
	stepInterval    = policy.Time(10_000) // between steps: a call a step, by the policy's own pace
	safeClass       = 0
	unsafeClass     = 1
	messageTimeLeft = 100 * retryAfterDelay // so that nothing runs out of time while it is measured
)

// relaySettings are a relay's at the target, as its configuration holds them.
func relaySettings(slots, maxMessages int) map[string]any {
	var zones []string
	for i := range targetZones {
		zones = append(zones, fmt.Sprintf("z-%d", i))
	}
	settings := model.Settings(model.Fleet{Relays: targetRelays, MaxCalls: slots, MaxMessages: maxMessages, Zones: zones, MaxBatch: 5}, model.StandardRules())
	for _, class := range settings["classes"].([]map[string]any) {
		class["deadline_us"] = messageTimeLeft
	}
	return settings
}

func policySettings(maxMessages int) (policy.Settings, error) {
	text, err := json.Marshal(relaySettings(callSlots, 340))
	if err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	parsed, err := wire.ParseSettings(text)
	if err != nil {
		return policy.Settings{}, err
	}
	converted, err := settings.ToPolicy(parsed)
	converted.MaxMessages, converted.StreamsPerConnection = maxMessages, 1
	return converted, err
}

// flight is an attempt that a policy has out.
type inFlightAttempt struct {
	message  uint32
	attempt  int
	endpoint policy.Endpoint
}

// driver is the relay round a policy, as far as the policy can tell: it submits
// messages and ends attempts at moments of its own clock.
type policyDriver struct {
	policy        *policy.Policy
	now           policy.Time
	actions       []policy.Action
	inFlight      []inFlightAttempt
	attemptCounts map[uint32]int
	lastMessage   uint32
	completed     int // messages that the policy refused or gave up
}

// newPolicyDriver makes a policy that has a list of so many destinations.
func newPolicyDriver(destinations, maxMessages int) (*policyDriver, error) {
	s, err := policySettings(maxMessages)
	if err != nil {
		return nil, err
	}
	p, err := policy.New(s, 1)
	if err != nil {
		return nil, err
	}
	d := &policyDriver{policy: p, now: retryAfterDelay, attemptCounts: map[uint32]int{}}
	d.step(policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull, Entries: listEntries(destinations)})
	return d, nil
}

func listEntries(destinations int) []policy.Entry {
	entries := make([]policy.Entry, destinations)
	for i := range entries {
		entries[i] = listEntry(i, policy.Ready)
	}
	return entries
}

// entry is the only endpoint of a destination; its number is one above it.
func listEntry(destination int, state policy.Readiness) policy.Entry {
	return policy.Entry{Endpoint: policy.Endpoint(destination + 1), Zone: destination % targetZones, Kind: 1, Dest: destination, State: state, Rate: 1}
}

// step has the policy take events, and gives how long that took.
func (d *policyDriver) step(events ...policy.Event) time.Duration {
	began := time.Now()
	d.actions = d.policy.Step(d.now, events, d.actions[:0])
	took := time.Since(began)
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case policy.ActionSend:
			d.inFlight = append(d.inFlight, inFlightAttempt{a.Message, d.attemptCounts[a.Message], a.Endpoint})
			d.attemptCounts[a.Message]++
		case policy.ActionReject, policy.ActionFail:
			d.completed++
			delete(d.attemptCounts, a.Message)
		}
	}
	return took
}

// message is a new one for a destination.
func (d *policyDriver) newMessage(destination, class int) policy.Event {
	d.lastMessage++
	return policy.Event{Kind: policy.EventMessage, Message: d.lastMessage, Class: class, Dest: destination, Tenant: -1, TimeLeft: messageTimeLeft}
}

// outcome ends the oldest attempt that is out.
func (d *policyDriver) finishOldestAttempt(outcome policy.Outcome, retryAfter policy.Time) (policy.Event, error) {
	if len(d.inFlight) == 0 {
		return policy.Event{}, errors.New("policy: no attempt is out")
	}
	finished := d.inFlight[0]
	d.inFlight = d.inFlight[1:]
	if outcome == policy.Delivered {
		delete(d.attemptCounts, finished.message)
	}
	return policy.Event{Kind: policy.EventAttemptDone, Message: finished.message, Attempt: finished.attempt, Endpoint: finished.endpoint, Outcome: outcome, RetryAfter: retryAfter,
		Latency: 200_000, Final: outcome == policy.Delivered}, nil
}

// shut has a destination ask the relay to wait for longer than is measured; the
// message for it waits there.
func (d *policyDriver) pauseDestination(destination int) error {
	d.step(d.newMessage(destination, safeClass))
	e, err := d.finishOldestAttempt(policy.Rejected, retryAfterDelay)
	if err != nil {
		return fmt.Errorf("destination %d: %w", destination, err)
	}
	d.step(e)
	return nil
}

// runUntilSend lets time go by until an attempt is out, and gives what the policy
// took meanwhile.
func (d *policyDriver) runUntilSend() (took time.Duration, err error) {
	for range 10_000 {
		if len(d.inFlight) > 0 {
			return took, nil
		}
		d.now += stepInterval
		took += d.step(policy.Event{Kind: policy.EventTimer})
	}
	return took, errors.New("policy: nothing is sent")
}

// deliver has the oldest attempt that is out answered, once there is one.
func (d *policyDriver) deliverOldest() (time.Duration, error) {
	took, err := d.runUntilSend()
	if err != nil {
		return took, err
	}
	d.now += stepInterval
	e, err := d.finishOldestAttempt(policy.Delivered, 0)
	if err != nil {
		return took, err
	}
	return took + d.step(e), nil
}

// heapBytes is what the program's heap holds after a collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// micros gives the mean of n spans that came to a sum, in microseconds.
func meanMicros(sum time.Duration, count int) float64 { return sum.Seconds() * 1e6 / float64(count) }

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
	callSlots          = 100
	retryAfterDelay    = policy.Time(3600e6) // Retry-After of a paused destination, which outlasts every measurement
	stepInterval       = policy.Time(10_000) // time between two steps, in which the policy's pacing allows one call
	idempotentClass    = 0
	nonIdempotentClass = 1
	messageTimeLeft    = 100 * retryAfterDelay // long enough that no message expires during a measurement
)

// relaySettings returns the settings of a relay in a fleet of the target's size, in the
// form of its configuration file.
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

// policySettings converts the relay's settings to the policy's, with the given limit on
// messages; 0 stands for no limit.
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

// inFlightAttempt is an attempt that the policy has started and that has no outcome yet.
type inFlightAttempt struct {
	message  uint32
	number   int
	endpoint policy.Endpoint
}

// policyDriver plays the part of the relay for a policy: it submits messages, reports the
// outcomes of attempts and sets the time that the policy sees.
type policyDriver struct {
	policy        *policy.Policy
	now           policy.Time
	actions       []policy.Action
	inFlight      []inFlightAttempt
	attemptCounts map[uint32]int
	lastMessage   uint32
	undelivered   int // messages that the policy rejected or failed
}

// newPolicyDriver makes a policy and gives it a complete list with the given number of
// destinations.
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

// listEntry is the list entry of a destination's only endpoint, whose number is the
// destination's plus one.
func listEntry(destination int, state policy.Readiness) policy.Entry {
	return policy.Entry{Endpoint: policy.Endpoint(destination + 1), Zone: destination % targetZones, Kind: 1, Dest: destination, State: state, Rate: 1}
}

// step runs one step of the policy on the events, records the attempts and completions in
// its actions, and returns how long the step took.
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
			d.undelivered++
			delete(d.attemptCounts, a.Message)
		}
	}
	return took
}

// newMessage returns the event that submits a new message for a destination.
func (d *policyDriver) newMessage(destination, class int) policy.Event {
	d.lastMessage++
	return policy.Event{Kind: policy.EventMessage, Message: d.lastMessage, Class: class, Dest: destination, Tenant: -1, TimeLeft: messageTimeLeft}
}

// finishOldestAttempt removes the oldest attempt in flight and returns the event that
// reports its outcome to the policy.
func (d *policyDriver) finishOldestAttempt(outcome policy.Outcome, retryAfter policy.Time) (policy.Event, error) {
	if len(d.inFlight) == 0 {
		return policy.Event{}, errors.New("policy: no attempt is out")
	}
	finished := d.inFlight[0]
	d.inFlight = d.inFlight[1:]
	if outcome == policy.Delivered {
		delete(d.attemptCounts, finished.message)
	}
	return policy.Event{Kind: policy.EventAttemptDone, Message: finished.message, Attempt: finished.number, Endpoint: finished.endpoint, Outcome: outcome, RetryAfter: retryAfter,
		Latency: 200_000, Final: outcome == policy.Delivered}, nil
}

// pauseDestination sends one message to a destination and rejects the attempt with a
// Retry-After that outlasts the measurement. The message stays queued there.
func (d *policyDriver) pauseDestination(destination int) error {
	d.step(d.newMessage(destination, idempotentClass))
	e, err := d.finishOldestAttempt(policy.Rejected, retryAfterDelay)
	if err != nil {
		return fmt.Errorf("destination %d: %w", destination, err)
	}
	d.step(e)
	return nil
}

// runUntilSend advances the clock in steps until an attempt is in flight. It returns the
// time that the policy's steps took.
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

// deliverOldest reports the oldest attempt as delivered, after waiting for one if none is
// in flight. It returns the time that the policy's steps took.
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

// heapBytes collects garbage and returns the number of bytes that remain on the heap.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// meanMicros returns sum divided by count, in microseconds.
func meanMicros(sum time.Duration, count int) float64 { return sum.Seconds() * 1e6 / float64(count) }

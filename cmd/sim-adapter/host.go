package main

import (
	"fmt"
	"io"
	"math"

	"plovershore/internal/settings"
	"plovershore/internal/wire"
	"plovershore/policy"
)

// maxLists is the number of lists that the protocol can number.
const maxLists = 16

// instance is one hosted relay.
type instance struct {
	policy         *policy.Policy
	remainingIndex int // index in a load report of the fraction of the limit that is left; -1 for none
	limitIndex     int // index in a load report of the limit; -1 for none
	events         []policy.Event
	isQueued       bool // listed in host.order
}

// host holds the instances that run in this process and the endpoint lists that they share.
type host struct {
	instances map[uint16]*instance
	lists     [maxLists][]policy.Entry
	order     []uint16 // ids of the instances with events in this frame, in order of their first event
	actions   []policy.Action
	reply     []wire.Action
	encoded   []byte
}

func newHost() *host { return &host{instances: map[uint16]*instance{}} }

// handleFrame reads one frame and returns its reply, which is valid until the next call.
func (h *host) handleFrame(in io.Reader) ([]byte, error) {
	clock, events, err := wire.ReadBatch(in)
	if err != nil {
		return nil, err
	}
	if clock > math.MaxInt64 {
		return nil, fmt.Errorf("batch header: clock %d is out of range", clock)
	}
	h.reply, h.order = h.reply[:0], h.order[:0]
	for i := range events {
		h.handleEvent(&events[i])
	}
	for _, id := range h.order {
		if target := h.instances[id]; target != nil && target.isQueued {
			h.step(policy.Time(clock), id, target)
		}
	}
	h.encoded, err = wire.AppendReply(h.encoded[:0], h.reply)
	return h.encoded, err
}

// step runs the policy of an instance with the instance's events of this frame.
func (h *host) step(now policy.Time, id uint16, target *instance) {
	h.actions = target.policy.Step(now, target.events, h.actions[:0])
	target.events, target.isQueued = target.events[:0], false
	for i := range h.actions {
		h.reply = append(h.reply, toWireAction(id, &h.actions[i]))
	}
}

// handleEvent applies an event that concerns the host itself, and queues any other for its instance.
func (h *host) handleEvent(event *wire.Event) {
	switch event.Code {
	case wire.EvTable:
		h.lists[event.Sheet] = toPolicyEntries(event.Entries)
	case wire.EvUp:
		h.startInstance(event)
	case wire.EvPowerOff:
		delete(h.instances, event.Relay)
	default:
		h.queueEvent(event)
	}
}

// queueEvent queues an event for its instance. An event for an instance that doesn't run is dropped.
func (h *host) queueEvent(event *wire.Event) {
	target := h.instances[event.Relay]
	if target == nil {
		return
	}
	converted, ok := h.toPolicyEvent(target, event)
	if !ok {
		return
	}
	target.events = append(target.events, converted)
	if !target.isQueued {
		target.isQueued = true
		h.order = append(h.order, event.Relay)
	}
}

// startInstance starts an instance, which replaces an earlier one of the same relay. If its settings are
// invalid, an ActBug reports them and no instance of the relay runs.
func (h *host) startInstance(event *wire.Event) {
	started, err := newInstance(event)
	if err != nil {
		h.reply = append(h.reply, wire.Action{Code: wire.ActBug, Relay: event.Relay, Text: err.Error()})
		delete(h.instances, event.Relay)
		return
	}
	h.instances[event.Relay] = started
}

// newInstance creates an instance from its settings text and seed.
func newInstance(event *wire.Event) (*instance, error) {
	text, err := wire.ParseSettings(event.Text)
	if err != nil {
		return nil, err
	}
	converted, err := settings.ToPolicy(text)
	if err != nil {
		return nil, err
	}
	p, err := policy.New(converted, event.Token)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	started := &instance{policy: p, remainingIndex: -1, limitIndex: -1}
	for i, field := range text.Report.Fields {
		switch field {
		case reportRemaining:
			started.remainingIndex = i
		case reportLimit:
			started.limitIndex = i
		}
	}
	return started, nil
}

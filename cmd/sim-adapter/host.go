package main

import (
	"fmt"
	"io"
	"math"

	"plovershore/internal/settings"
	"plovershore/internal/wire"
	"plovershore/policy"
)

// maxLists is how many lists the protocol numbers.
const maxLists = 16

// instance is one hosted relay.
type instance struct {
	policy         *policy.Policy
	remainingIndex int // of the fraction of the limit that is left, in a load report; -1 for none
	limitIndex     int // of the limit; -1 for none
	events         []policy.Event
	isQueued       bool // in host.order
}

// host keeps the instances of one process apart, and the lists that they share.
type host struct {
	instances map[uint16]*instance
	lists     [maxLists][]policy.Entry
	order     []uint16 // instances with events in this frame, by first event
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

// step runs an instance's policy over the events of this frame.
func (h *host) step(now policy.Time, id uint16, target *instance) {
	h.actions = target.policy.Step(now, target.events, h.actions[:0])
	target.events, target.isQueued = target.events[:0], false
	for i := range h.actions {
		h.reply = append(h.reply, toWireAction(id, &h.actions[i]))
	}
}

// handleEvent changes the host's own tables, or queues an event for its instance.
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

// queueEvent queues an event for its instance; one for an instance that has ended is dropped.
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

// startInstance starts an instance in place of any earlier one; settings that are wrong are reported as a bug.
func (h *host) startInstance(event *wire.Event) {
	started, err := newInstance(event)
	if err != nil {
		h.reply = append(h.reply, wire.Action{Code: wire.ActBug, Relay: event.Relay, Text: err.Error()})
		delete(h.instances, event.Relay)
		return
	}
	h.instances[event.Relay] = started
}

// newInstance makes an instance from its settings text and seed.
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

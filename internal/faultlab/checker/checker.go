// Package checker reads a history and reports which rules of the protocol were
// violated. Each rule names, for a violation, the message or process, the two
// events that contradict each other, and the file to read on.
//
// It relies on what the lab itself observed. Where a cut link or a killed process
// hides whether a call ran, the call counts as one that may have run.
package checker

import (
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// maxKeptViolations is the number of violations of one rule that a verdict keeps.
const maxKeptViolations = 20

// Limits are what one relay may use.
type Limits struct {
	Memory int64 // bytes
	Disk   int64 // bytes
	FDs    int   // open descriptors
}

// Config is what a check needs beside the history.
type Config struct {
	Rules        model.Rules
	Limits       Limits
	MaxLinkDelay time.Duration             // of a byte on a link that is not cut
	HistoryFile  string                    // for violations that no relay's log explains
	LogFile      func(relay string) string // nil for HistoryFile
}

// Check applies the rules to one history, event by event. It is not safe for
// concurrent use. New makes one.
type Check struct {
	config           Config
	verdict          Verdict
	nonIdempotent    map[string]bool // by class
	messages         map[string]*message
	calls            map[int64]*call
	abortedEarly     map[int64]history.Event // calls that were aborted before they arrived
	relays           map[string]*relay
	outages          map[int]history.Event    // by destination, while they last
	announcedChanges map[string]history.Event // endpoints that are not up: when that was announced
	list             listState
	operations       []history.Event // on the register
	roleSteps        []history.Event
	lastTime         int64 // of the last event
}

// New returns a check of one run.
func New(config Config) *Check {
	if config.LogFile == nil {
		config.LogFile = func(string) string { return config.HistoryFile }
	}
	c := &Check{
		config:           config,
		verdict:          NewVerdict(),
		nonIdempotent:    map[string]bool{},
		messages:         map[string]*message{},
		calls:            map[int64]*call{},
		abortedEarly:     map[int64]history.Event{},
		relays:           map[string]*relay{},
		outages:          map[int]history.Event{},
		announcedChanges: map[string]history.Event{},
		list:             newListState(),
	}
	for _, class := range model.Classes() {
		c.nonIdempotent[class.Name] = class.NonIdempotent
	}
	return c
}

// Feed takes the next event of the history.
func (c *Check) Feed(e history.Event) {
	c.lastTime = e.Time
	switch e.Kind {
	case history.MessageSubmitted, history.MessageAccepted, history.MessageRejected, history.ExtraResponse,
		history.Notice, history.InvalidCall:
		c.feedMessage(e)
	case history.CallReceived, history.CallLost, history.MessageExecuted, history.ResponseSent, history.ResponseReceived,
		history.CallAborted, history.CallBroken:
		c.feedCall(e)
	case history.EndpointChanged:
		c.endpointChanged(e)
	case history.ChangeDelivered:
		c.changeDelivered(e)
	case history.ListUpdate:
		c.listUpdateReceived(e)
	case history.RegisterOperation:
		c.operations = append(c.operations, e)
	case history.RoleStep:
		c.roleSteps = append(c.roleSteps, e)
	case history.Outage:
		c.outageChanged(e)
	case history.DestinationOverloaded:
		c.destinationOverloaded(e)
	case history.InvalidPeer:
		c.invalidPeerFinished(e)
	default:
		c.feedProcess(e)
	}
}

// Finish applies the rules that only the end of a run decides, and returns the
// verdict.
func (c *Check) Finish() Verdict {
	for _, call := range c.calls {
		c.checkOverlaps(call, history.Event{Time: c.lastTime})
	}
	for id, m := range c.messages {
		c.checkCompletion(id, m)
	}
	for _, r := range c.relays {
		c.checkStart(r)
	}
	c.checkLinearizable()
	c.checkRoles()
	c.verdict.sort()
	return c.verdict
}

// violate adds a violation that the log of a relay may explain; without a relay,
// the history.
func (c *Check) recordViolation(rule Rule, subject, relay, message string, first, second history.Event) {
	file := c.config.HistoryFile
	if relay != "" {
		file = c.config.LogFile(relay)
	}
	c.verdict.Add(Violation{Rule: rule, Subject: subject, Message: message, First: first, Second: second, File: file}, maxKeptViolations)
}

// checked counts that a rule was applied.
func (c *Check) recordCheck(rule Rule) { c.verdict.Checked[rule]++ }

// micros converts a duration to the unit of the history.
func micros(d time.Duration) int64 { return d.Microseconds() }

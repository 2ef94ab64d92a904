// Package checker reads a history and reports which rules of the protocol were
// violated. A violation names the rule, the message or process, the two events that
// contradict each other, and the file to look at next.
//
// It relies only on what the lab itself observed. Where a cut link or a killed
// process hides whether a call was executed, the checker assumes that it may have
// been.
package checker

import (
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// maxKeptViolations is the number of violations of one rule that a verdict keeps.
const maxKeptViolations = 20

// Limits are the resources that one relay may use.
type Limits struct {
	Memory int64 // bytes
	Disk   int64 // bytes
	FDs    int   // open descriptors
}

// Config holds what a check needs in addition to the history.
type Config struct {
	Rules        model.Rules
	Limits       Limits
	MaxLinkDelay time.Duration             // the longest that a link that is not cut delays a byte
	HistoryFile  string                    // the file to name in violations that no relay's log explains
	LogFile      func(relay string) string // the log of a relay; nil to name HistoryFile instead
}

// Check applies the rules to one history, event by event. It is not safe for
// concurrent use. Create it with New.
type Check struct {
	config           Config
	verdict          Verdict
	nonIdempotent    map[string]bool // whether messages of a class must not be repeated, by class name
	messages         map[string]*message
	calls            map[int64]*call
	abortedEarly     map[int64]history.Event // the abort of each call that its relay aborted before it arrived
	relays           map[string]*relay
	outages          map[int]history.Event    // the current outages, by destination
	announcedChanges map[string]history.Event // by endpoint that is not up: the first change that took it out of service
	list             listState
	operations       []history.Event // operations on the register
	roleSteps        []history.Event
	lastTime         int64 // the time of the last event
}

// New returns a Check for the history of one run.
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

// Feed handles the next event of the history.
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

// Finish applies the rules that can be decided only at the end of a run, and returns
// the verdict.
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

// recordViolation adds a violation to the verdict. It refers the reader to the log of
// the relay, or to the history if relay is empty.
func (c *Check) recordViolation(rule Rule, subject, relay, message string, first, second history.Event) {
	file := c.config.HistoryFile
	if relay != "" {
		file = c.config.LogFile(relay)
	}
	c.verdict.Add(Violation{Rule: rule, Subject: subject, Message: message, First: first, Second: second, File: file}, maxKeptViolations)
}

// recordCheck counts one application of a rule.
func (c *Check) recordCheck(rule Rule) { c.verdict.Checked[rule]++ }

// micros converts a duration to microseconds, the unit of the history.
func micros(d time.Duration) int64 { return d.Microseconds() }

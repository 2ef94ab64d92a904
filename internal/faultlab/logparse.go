package faultlab

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/leader"
)

// This file holds the messages and the metric of other programs that the lab
// interprets: the controller's log lines, the progress messages of its operations and
// one line of the relay's metrics. A change of such a text has to be made here as well.
// A scenario may be run with programs of an older release (faultlab run --controller),
// so the log messages of earlier releases are understood as well as the present ones.

// Messages of the controller's log about one step of the counter role, as releases
// before package leader had its event names wrote them.
const (
	oldStepRequested = "counts"      // the controller is about to request the step
	oldStepCounted   = "counted"     // the list service accepted the step
	oldStepRejected  = "not counted" // the list service rejected the token
)

// Progress messages of a zone evacuation.
const (
	evacuatedPrefix = "out: "    // every endpoint of the zone is drained
	returnedMessage = "returned" // every endpoint of the zone is back
)

// metricMembers is the name of the relay's metric for the length of its endpoint list.
const metricMembers = "app_members"

// stepOutcomes maps each message about a step to its outcome in the history; a request
// has none.
var stepOutcomes = map[string]string{
	leader.EventCountRequested: "",
	leader.EventCountAccepted:  history.StepCounted,
	leader.EventCountRejected:  history.StepFenced,
	oldStepRequested:           "",
	oldStepCounted:             history.StepCounted,
	oldStepRejected:            history.StepFenced,
}

// counterLine matches a line of the controller's log about a counter step.
var counterLine = regexp.MustCompile(`^time=(\S+) .*msg=(` + messagePattern() + `) .*count=(\d+) token=(\d+)`)

// messagePattern returns a pattern that matches any message about a step.
func messagePattern() string {
	var patterns []string
	for message := range stepOutcomes {
		patterns = append(patterns, logPattern(message))
	}
	return strings.Join(patterns, "|")
}

// logPattern returns a pattern that matches a message as slog's text handler writes
// it: quoted where it holds a space.
func logPattern(message string) string {
	if strings.Contains(message, " ") {
		message = strconv.Quote(message)
	}
	return regexp.QuoteMeta(message)
}

// counterStep is one line of the controller's log about a counter step.
type counterStep struct {
	loggedAt time.Time
	count    int
	token    int64
	outcome  string // history.StepCounted or history.StepFenced; empty for a request
}

// parseCounterStep reads a log line; ok is false for a line about something else.
func parseCounterStep(line string) (step counterStep, ok bool, err error) {
	fields := counterLine.FindStringSubmatch(line)
	if fields == nil {
		return counterStep{}, false, nil
	}
	loggedAt, timeErr := time.Parse(time.RFC3339Nano, fields[1])
	count, countErr := strconv.Atoi(fields[3])
	token, tokenErr := strconv.ParseInt(fields[4], 10, 64)
	if err := errors.Join(timeErr, countErr, tokenErr); err != nil {
		return counterStep{}, true, fmt.Errorf("controller log line %q: %w", line, err)
	}
	return counterStep{loggedAt: loggedAt, count: count, token: token, outcome: stepOutcomes[strings.Trim(fields[2], `"`)]}, true, nil
}

// isEvacuated reports whether an operation's message says that its zone is drained.
func isEvacuated(message string) bool { return strings.HasPrefix(message, evacuatedPrefix) }

// isReturned reports whether an operation's message says that its zone is back.
func isReturned(message string) bool { return message == returnedMessage }

// parseMembersMetric reads the length of the endpoint list from a line of the
// relay's metrics; ok is false for any other line.
func parseMembersMetric(line string) (members int, ok bool) {
	n, err := fmt.Sscanf(line, metricMembers+" %d", &members)
	return members, n == 1 && err == nil
}

package checker

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

const ms = 1000 // µs

func checkAll(events []history.Event) Verdict {
	check := New(Config{Rules: model.StandardRules(), Limits: Limits{Memory: 64 << 20, Disk: 1 << 20, FDs: 256}, HistoryFile: "history.jsonl"})
	for _, e := range events {
		check.Feed(e)
	}
	return check.Finish()
}

// script builds a history by hand, a millisecond an event.
type historyBuilder struct {
	events    []history.Event
	now       int64
	callCount int64
}

func (s *historyBuilder) setTime(t int64) *historyBuilder { s.now = t; return s }

func (s *historyBuilder) record(e history.Event) {
	s.now += ms
	e.Time = s.now
	s.events = append(s.events, e)
}

func (s *historyBuilder) startProcess() *historyBuilder {
	s.record(history.Event{Kind: history.ProcessStarted, Relay: "n1", PID: 1})
	s.record(history.Event{Kind: history.ProcessReady, Relay: "n1", PID: 1})
	return s
}

func (s *historyBuilder) submitAccepted(id, class string, validFor int64) {
	s.record(history.Event{Kind: history.MessageSubmitted, Relay: "n1", Message: id, FirstMessage: id, Class: class, DueAt: s.now, ValidFor: validFor})
	s.record(history.Event{Kind: history.MessageAccepted, Relay: "n1", Message: id})
}

func (s *historyBuilder) receiveCall(id string) int64 {
	s.callCount++
	s.record(history.Event{Kind: history.CallReceived, Call: s.callCount, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{id}, SentAt: s.now})
	return s.callCount
}

func (s *historyBuilder) respond(call int64, status int, retryAfter int64) {
	s.record(history.Event{Kind: history.ResponseSent, Call: call, Status: status, RetryAfter: retryAfter})
	s.record(history.Event{Kind: history.ResponseReceived, Call: call})
}

func (s *historyBuilder) breakCall(call int64) {
	s.record(history.Event{Kind: history.CallBroken, Call: call})
}

const nonIdempotentClass, idempotentClass = "copy-order", "alert-update"

// TestResendViolatesRepeatUnlessRelayKnowsMessageDidNotRun: a call that a cut swallowed half way, or
// whose answer it swallowed, may have run; one that never was whole did not.
func TestResendViolatesRepeatUnlessRelayKnowsMessageDidNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		firstAttempt func(s *historyBuilder)
		wantRepeat   bool
	}{
		"whole at the relay, swallowed by the link": {func(s *historyBuilder) {
			s.record(history.Event{Kind: history.CallLost, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{"m"}})
		}, true},
		"whole at the endpoint, its answer swallowed": {func(s *historyBuilder) {
			callID := s.receiveCall("m")
			s.record(history.Event{Kind: history.ResponseSent, Call: callID, Status: 503})
			s.breakCall(callID)
		}, true},
		"refused, and heard":      {func(s *historyBuilder) { s.respond(s.receiveCall("m"), 503, 0) }, false},
		"never whole":             {func(*historyBuilder) {}, false},
		"no answer at all":        {func(s *historyBuilder) { s.breakCall(s.receiveCall("m")) }, true},
		"an answer spoilt":        {func(s *historyBuilder) { s.respond(s.receiveCall("m"), 0, 0) }, true},
		"an error, and heard":     {func(s *historyBuilder) { s.respond(s.receiveCall("m"), 500, 0) }, true},
		"turned away with a wait": {func(s *historyBuilder) { s.respond(s.receiveCall("m"), 429, ms) }, false},
	} {
		s := (&historyBuilder{}).startProcess()
		s.submitAccepted("m", nonIdempotentClass, 16e6)
		test.firstAttempt(s)
		s.setTime(s.now + 1e6)
		s.respond(s.receiveCall("m"), 200, 0)
		v := checkAll(s.events)
		if got := v.Counts["repeat"] > 0; got != test.wantRepeat || len(v.Counts) > 1 {
			t.Errorf("%s: repeat %v, want %v; %v", name, got, test.wantRepeat, v.Violations)
		}
	}
}

// TestLostCallIsCheckedByItsSendTime: a link tells of a swallowed call when its
// connection ends, which may be long after the message's end.
func TestLostCallIsCheckedByItsSendTime(t *testing.T) {
	for sentAt, wantViolation := range map[int64]bool{1e6: false, 12e6: true} {
		s := (&historyBuilder{}).startProcess()
		s.submitAccepted("m", idempotentClass, 8e6)
		s.setTime(9e6)
		s.record(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		s.setTime(17e6)
		s.record(history.Event{Kind: history.CallLost, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{"m"}, SentAt: sentAt})
		if v := checkAll(s.events); (v.Counts["after-end"] > 0) != wantViolation {
			t.Errorf("sent at %d µs: %v", sentAt, v.Violations)
		}
	}
}

// TestSecondExecutionViolatesEffectEvenIfRelayWasToldNothingRan, whatever the relay believes.
func TestSecondExecutionViolatesEffectEvenIfRelayWasToldNothingRan(t *testing.T) {
	s := (&historyBuilder{}).startProcess()
	s.submitAccepted("m", nonIdempotentClass, 16e6)
	callID := s.receiveCall("m")
	s.record(history.Event{Kind: history.MessageExecuted, Call: callID, Message: "m"})
	s.respond(callID, 503, 0) // it says that nothing ran
	callID = s.receiveCall("m")
	s.record(history.Event{Kind: history.MessageExecuted, Call: callID, Message: "m"})
	s.respond(callID, 200, 0)
	if v := checkAll(s.events); v.Counts["effect"] != 1 || len(v.Counts) != 1 {
		t.Errorf("%v", v.Violations)
	}
}

// TestMissingFinalResponseIsExcusedOnlyByRestartOrLostFolder: what a kill, a stop or a lost folder excuses, and no more.
func TestMissingFinalResponseIsExcusedOnlyByRestartOrLostFolder(t *testing.T) {
	for name, test := range map[string]struct {
		addEvents     func(s *historyBuilder)
		wantViolation bool
	}{
		"nothing": {func(*historyBuilder) {}, true},
		"a notice": {func(s *historyBuilder) {
			s.record(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		}, false},
		"killed, and back long ago": {func(s *historyBuilder) {
			s.record(history.Event{Kind: history.ProcessSignaled, Relay: "n1", PID: 1, Text: "killed"})
			s.record(history.Event{Kind: history.ProcessExited, Relay: "n1", PID: 1, Status: -1})
			s.startProcess()
		}, true},
		"killed, and back at the last moment": {func(s *historyBuilder) {
			s.setTime(7e6)
			s.record(history.Event{Kind: history.ProcessSignaled, Relay: "n1", PID: 1, Text: "killed"})
			s.record(history.Event{Kind: history.ProcessExited, Relay: "n1", PID: 1, Status: -1})
			s.setTime(9e6)
			s.startProcess()
			s.setTime(10.4e6)
			s.record(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		}, false},
		"its folder lost": {func(s *historyBuilder) {
			s.record(history.Event{Kind: history.FolderChanged, Relay: "n1", Text: "lost"})
		}, false},
	} {
		s := (&historyBuilder{}).startProcess()
		s.submitAccepted("m", idempotentClass, 8e6)
		test.addEvents(s)
		s.setTime(20e6).record(history.Event{Kind: history.Fault})
		v := checkAll(s.events)
		if got := v.Counts["end"] > 0; got != test.wantViolation || len(v.Counts) > 1 {
			t.Errorf("%s: %v", name, v.Violations)
		}
		for _, violation := range v.Violations {
			if !strings.Contains(violation.String(), "m: accepted") || !strings.Contains(violation.String(), "history.jsonl") {
				t.Errorf("names too little: %s", violation)
			}
		}
	}
}

// TestRandomHistoryViolatesOnlyTheRuleOfItsInjectedDefect draws histories of a relay that does what
// the protocol says, and wants none of them held against it; with one event
// bent, the rule that is meant for it must break.
func TestRandomHistoryViolatesOnlyTheRuleOfItsInjectedDefect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := (&historyBuilder{}).startProcess()
		var injected Rule
		planned := rapid.SampledFrom([]Rule{"", "", "repeat", "one-out", "wait", "after-end", "end"}).Draw(t, "bend")
		waitEnd := int64(0) // of the wait that was told last
		for i := range rapid.IntRange(1, 12).Draw(t, "messages") {
			id, class := fmt.Sprint("m", i), rapid.SampledFrom([]string{nonIdempotentClass, idempotentClass}).Draw(t, "class")
			s.submitAccepted(id, class, 30e6)
			mustNotResend := false
			for range rapid.IntRange(0, 6).Draw(t, "attempts") {
				if s.now < waitEnd && !(planned == "wait" && injected == "") {
					s.setTime(waitEnd)
				} else if s.now < waitEnd && s.now+3*ms < waitEnd-200*ms {
					s.setTime(s.now + 110*ms)
					injected = "wait"
				}
				callID := s.receiveCall(id)
				if planned == "one-out" && injected == "" && class == idempotentClass {
					second := s.receiveCall(id)
					s.setTime(s.now + 200*ms)
					s.respond(second, 503, 0)
					injected = "one-out"
				}
				switch rapid.SampledFrom([]string{"ok", "full", "wait", "error", "lost"}).Draw(t, "outcome") {
				case "ok":
					s.respond(callID, 200, 0)
					mustNotResend = true
				case "full":
					s.respond(callID, 503, 0)
				case "wait":
					s.respond(callID, 429, 400*ms)
					waitEnd = s.now + 400*ms
				case "error":
					s.respond(callID, 500, 0)
					mustNotResend = class == nonIdempotentClass
				case "lost":
					s.breakCall(callID)
					mustNotResend = class == nonIdempotentClass
				}
				if mustNotResend {
					break
				}
			}
			if planned == "repeat" && injected == "" && mustNotResend && class == nonIdempotentClass && s.now >= waitEnd {
				s.respond(s.receiveCall(id), 200, 0)
				injected = "repeat"
			}
			if planned == "end" && injected == "" && !mustNotResend {
				injected = "end"
				continue
			}
			s.record(history.Event{Kind: history.Notice, Relay: "n1", Message: id, Text: "given_up"})
			if planned == "after-end" && injected == "" && !mustNotResend && s.now >= waitEnd {
				s.setTime(s.now + 100*ms)
				s.respond(s.receiveCall(id), 410, 0)
				injected = "after-end"
			}
		}
		s.setTime(s.now + 60e6).record(history.Event{Kind: history.Fault})
		v := checkAll(s.events)
		if injected == "" && len(v.Counts) > 0 {
			t.Fatalf("held against a relay that kept all: %v", v.Violations)
		}
		if injected != "" && (v.Counts[injected] == 0 || len(v.Counts) != 1) {
			t.Fatalf("%s bent: %v", injected, v.Violations)
		}
	})
}

// TestListAndRegisterDefectsViolateTheirRule: a change lost, one repeated, one that differs, and
// a stale leader's read are caught; the sound history beside them is not.
func TestListAndRegisterDefectsViolateTheirRule(t *testing.T) {
	addUpdate := func(s *historyBuilder, watcher string, revision int64, phase, hash string) {
		s.record(history.Event{Kind: history.ListUpdate, Relay: watcher, Text: "e", DueAt: revision, Phase: phase, FirstMessage: hash})
	}
	addOperation := func(s *historyBuilder, operation string, value, begin int64) {
		s.record(history.Event{Kind: history.RegisterOperation, Relay: "p", Text: operation, ValidFor: value, DueAt: begin + 1, Status: 1})
	}
	for name, test := range map[string]struct {
		addEvents func(s *historyBuilder)
		wantRule  Rule
	}{
		"sound":           {func(s *historyBuilder) { addUpdate(s, "w1", 4, "change", "d"); addOperation(s, "read", 2, s.now) }, ""},
		"a lost change":   {func(s *historyBuilder) { addUpdate(s, "w1", 5, "change", "e") }, "list"},
		"a repeated one":  {func(s *historyBuilder) { addUpdate(s, "w1", 3, "change", "c") }, "list"},
		"one differs":     {func(s *historyBuilder) { addUpdate(s, "w2", 3, "change", "x") }, "list"},
		"back":            {func(s *historyBuilder) { addUpdate(s, "w1", 2, "whole", "b") }, "list"},
		"a stale read":    {func(s *historyBuilder) { addOperation(s, "read", 1, s.now) }, "linear"},
		"a lost write":    {func(s *historyBuilder) { addOperation(s, "write", 3, s.now); addOperation(s, "read", 2, s.now) }, "linear"},
		"a read from air": {func(s *historyBuilder) { addOperation(s, "read", 77, s.now) }, "linear"},
	} {
		s := &historyBuilder{}
		addUpdate(s, "w1", 2, "whole", "b")
		addUpdate(s, "w1", 3, "change", "c")
		addUpdate(s, "w2", 2, "whole", "b")
		addOperation(s, "write", 1, s.now)
		addOperation(s, "write", 2, s.now)
		test.addEvents(s)
		v := checkAll(s.events)
		if test.wantRule == "" && len(v.Counts) > 0 || test.wantRule != "" && (v.Counts[test.wantRule] == 0 || len(v.Counts) != 1) {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}

// TestCallAbortedBeforeItArrivesIsNotInFlight: a link that is late may bring a call whose
// process had died. It is not out beside the next process's; one that is, is told.
func TestCallAbortedBeforeItArrivesIsNotInFlight(t *testing.T) {
	for _, aborted := range []bool{true, false} {
		s := (&historyBuilder{}).startProcess()
		s.submitAccepted("m", idempotentClass, 8e6)
		newCall := s.receiveCall("m")
		if aborted {
			s.record(history.Event{Kind: history.CallAborted, Call: 77})
		}
		s.record(history.Event{Kind: history.CallReceived, Call: 77, Relay: "n1", Endpoint: "f", Destination: 1, Messages: []string{"m"}, SentAt: 1})
		s.setTime(s.now + 900*ms)
		s.respond(newCall, 200, 0)
		if v := checkAll(s.events); (v.Counts["one-out"] > 0) == aborted {
			t.Errorf("left %v: %v", aborted, v.Violations)
		}
	}
}

// TestRoleStepViolatesDutyIfCountedTwiceOrUnderOlderToken: a step that counts twice, and one under an older token than
// the step before it, are caught; steps whose answer was lost are not missed.
func TestRoleStepViolatesDutyIfCountedTwiceOrUnderOlderToken(t *testing.T) {
	for name, test := range map[string]struct {
		steps         [][2]int64 // step, token
		wantViolation bool
	}{
		"sound":          {[][2]int64{{1, 5}, {2, 5}, {3, 8}, {4, 9}}, false},
		"answers lost":   {[][2]int64{{1, 5}, {4, 5}, {9, 8}}, false},
		"twice":          {[][2]int64{{1, 5}, {2, 5}, {2, 8}}, true},
		"an older token": {[][2]int64{{1, 5}, {2, 8}, {3, 5}}, true},
	} {
		s := &historyBuilder{}
		for _, step := range test.steps {
			s.record(history.Event{Kind: history.RoleStep, Relay: "w1", Text: "count", Status: int(step[0]), ValidFor: step[1]})
		}
		if v := checkAll(s.events); (v.Counts["duty"] > 0) != test.wantViolation {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}

// TestRoleStepsViolateFencedIfNoFencedRegisterExplainsThem: steps of two holders, each in the span from when it was
// asked for to its answer. What no fenced register explains is caught.
func TestRoleStepsViolateFencedIfNoFencedRegisterExplainsThem(t *testing.T) {
	type step struct {
		step               int
		token              int64
		sentAt, answeredAt int64
		phase              string
	}
	for name, test := range map[string]struct {
		steps         []step
		wantViolation bool
	}{
		"sound":                    {[]step{{1, 5, 0, 2, history.StepCounted}, {2, 5, 3, 9, history.StepFenced}, {2, 7, 4, 8, history.StepCounted}}, false},
		"counted without a word":   {[]step{{1, 5, 0, 0, history.StepUnanswered}, {2, 7, 4, 8, history.StepCounted}}, false},
		"never came":               {[]step{{1, 5, 0, 0, history.StepUnanswered}, {1, 7, 4, 8, history.StepCounted}}, false},
		"a step is missing":        {[]step{{1, 5, 0, 2, history.StepCounted}, {3, 7, 4, 8, history.StepCounted}}, true},
		"twice":                    {[]step{{1, 5, 0, 2, history.StepCounted}, {1, 7, 4, 8, history.StepCounted}}, true},
		"an older token":           {[]step{{1, 7, 0, 2, history.StepCounted}, {2, 5, 3, 8, history.StepCounted}}, true},
		"counts after its refusal": {[]step{{1, 5, 0, 2, history.StepCounted}, {2, 5, 3, 4, history.StepFenced}, {2, 5, 5, 6, history.StepCounted}}, true},
		"before the step before":   {[]step{{2, 5, 0, 2, history.StepCounted}, {1, 5, 3, 4, history.StepCounted}}, true},
	} {
		s := &historyBuilder{}
		for i, e := range test.steps {
			s.record(history.Event{Kind: history.RoleStep, Relay: fmt.Sprint("w", i), Text: "count", Status: e.step, ValidFor: e.token, SentAt: e.sentAt, DueAt: e.answeredAt, Phase: e.phase})
		}
		if v := checkAll(s.events); (v.Counts["fenced"] > 0) != test.wantViolation || !test.wantViolation && v.Checked["fenced"] != len(test.steps) {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}

// TestEndpointMayBeCalledOnceRelayHearsItIsUpBeforeTheOperatorDoes: the list's answer to the operator may be
// late, or lost with a leader, when the relay has heard of the change already.
func TestEndpointMayBeCalledOnceRelayHearsItIsUpBeforeTheOperatorDoes(t *testing.T) {
	for _, relayHeardUp := range []bool{true, false} {
		s := (&historyBuilder{}).startProcess()
		s.record(history.Event{Kind: history.EndpointChanged, Endpoint: "e", Phase: model.Draining})
		s.record(history.Event{Kind: history.ChangeDelivered, Relay: "n1", Endpoint: "e", Phase: model.Draining})
		s.setTime(20e6)
		if relayHeardUp {
			s.record(history.Event{Kind: history.ChangeDelivered, Relay: "n1", Endpoint: "e", Phase: model.Up})
		}
		s.submitAccepted("m", idempotentClass, 8e6)
		s.respond(s.receiveCall("m"), 200, 0)
		s.record(history.Event{Kind: history.EndpointChanged, Endpoint: "e", Phase: model.Up})
		if v := checkAll(s.events); (v.Counts["drain"] > 0) == relayHeardUp {
			t.Errorf("told %v: %v", relayHeardUp, v.Violations)
		}
	}
}

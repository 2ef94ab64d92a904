package checker

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

const ms = 1000 // a millisecond, in the history's microseconds

func checkAll(events []history.Event) Verdict {
	check := New(Config{Rules: model.StandardRules(), Limits: Limits{Memory: 64 << 20, Disk: 1 << 20, FDs: 256}, HistoryFile: "history.jsonl"})
	for _, e := range events {
		check.Feed(e)
	}
	return check.Finish()
}

// historyBuilder builds a history event by event; each event is a millisecond after
// the one before, unless setTime comes between them. The methods record only the relay
// n1, and calls only to the endpoint e of destination 1.
type historyBuilder struct {
	events    []history.Event
	now       int64
	callCount int64
}

func (h *historyBuilder) setTime(t int64) *historyBuilder { h.now = t; return h }

func (h *historyBuilder) record(e history.Event) {
	h.now += ms
	e.Time = h.now
	h.events = append(h.events, e)
}

func (h *historyBuilder) startProcess() *historyBuilder {
	h.record(history.Event{Kind: history.ProcessStarted, Relay: "n1", PID: 1})
	h.record(history.Event{Kind: history.ProcessReady, Relay: "n1", PID: 1})
	return h
}

func (h *historyBuilder) submitAccepted(id, class string, validFor int64) {
	h.record(history.Event{Kind: history.MessageSubmitted, Relay: "n1", Message: id, FirstMessage: id, Class: class, DueAt: h.now, ValidFor: validFor})
	h.record(history.Event{Kind: history.MessageAccepted, Relay: "n1", Message: id})
}

func (h *historyBuilder) receiveCall(id string) int64 {
	h.callCount++
	h.record(history.Event{Kind: history.CallReceived, Call: h.callCount, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{id}, SentAt: h.now})
	return h.callCount
}

func (h *historyBuilder) respond(call int64, status int, retryAfter int64) {
	h.record(history.Event{Kind: history.ResponseSent, Call: call, Status: status, RetryAfter: retryAfter})
	h.record(history.Event{Kind: history.ResponseReceived, Call: call})
}

func (h *historyBuilder) breakCall(call int64) {
	h.record(history.Event{Kind: history.CallBroken, Call: call})
}

const nonIdempotentClass, idempotentClass = "copy-order", "alert-update"

// TestResendViolatesRepeatUnlessRelayKnowsMessageDidNotRun sends a non-idempotent
// message again after different first attempts. Where a cut link lost the whole call
// or its response, the message may have run. It did not run where no whole call was
// sent, or where the relay received a response that says so.
func TestResendViolatesRepeatUnlessRelayKnowsMessageDidNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		firstAttempt func(h *historyBuilder)
		wantRepeat   bool
	}{
		"relay sent the whole call, link lost it": {func(h *historyBuilder) {
			h.record(history.Event{Kind: history.CallLost, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{"m"}})
		}, true},
		"endpoint received the whole call, link lost its response": {func(h *historyBuilder) {
			callID := h.receiveCall("m")
			h.record(history.Event{Kind: history.ResponseSent, Call: callID, Status: 503})
			h.breakCall(callID)
		}, true},
		"relay received a 503":                    {func(h *historyBuilder) { h.respond(h.receiveCall("m"), 503, 0) }, false},
		"no call was complete":                    {func(*historyBuilder) {}, false},
		"endpoint sent no response":               {func(h *historyBuilder) { h.breakCall(h.receiveCall("m")) }, true},
		"relay received a corrupt response":       {func(h *historyBuilder) { h.respond(h.receiveCall("m"), 0, 0) }, true},
		"relay received a 500":                    {func(h *historyBuilder) { h.respond(h.receiveCall("m"), 500, 0) }, true},
		"relay received a 429 with a Retry-After": {func(h *historyBuilder) { h.respond(h.receiveCall("m"), 429, ms) }, false},
	} {
		h := (&historyBuilder{}).startProcess()
		h.submitAccepted("m", nonIdempotentClass, 16e6)
		test.firstAttempt(h)
		h.setTime(h.now + 1e6)
		h.respond(h.receiveCall("m"), 200, 0)
		v := checkAll(h.events)
		if got := v.Counts["repeat"] > 0; got != test.wantRepeat || len(v.Counts) > 1 {
			t.Errorf("%s: rule repeat violated: %v, want %v; violations: %v", name, got, test.wantRepeat, v.Violations)
		}
	}
}

// TestLostCallIsCheckedByItsSendTime: a lost call is recorded only when its connection
// ends, which may be long after the notice for its message. It violates the rule
// after-end only if the relay sent it after that notice.
func TestLostCallIsCheckedByItsSendTime(t *testing.T) {
	for sentAt, wantViolation := range map[int64]bool{1e6: false, 12e6: true} {
		h := (&historyBuilder{}).startProcess()
		h.submitAccepted("m", idempotentClass, 8e6)
		h.setTime(9e6)
		h.record(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		h.setTime(17e6)
		h.record(history.Event{Kind: history.CallLost, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{"m"}, SentAt: sentAt})
		if v := checkAll(h.events); (v.Counts["after-end"] > 0) != wantViolation {
			t.Errorf("call sent at %d µs: after-end violated, or not, contrary to the test case; violations: %v", sentAt, v.Violations)
		}
	}
}

// TestSecondExecutionViolatesEffectEvenIfRelayWasToldNothingRan: executions are
// counted at the endpoint, so a 503 after an execution does not hide it.
func TestSecondExecutionViolatesEffectEvenIfRelayWasToldNothingRan(t *testing.T) {
	h := (&historyBuilder{}).startProcess()
	h.submitAccepted("m", nonIdempotentClass, 16e6)
	callID := h.receiveCall("m")
	h.record(history.Event{Kind: history.MessageExecuted, Call: callID, Message: "m"})
	h.respond(callID, 503, 0) // a 503 tells the relay that the message did not run
	callID = h.receiveCall("m")
	h.record(history.Event{Kind: history.MessageExecuted, Call: callID, Message: "m"})
	h.respond(callID, 200, 0)
	if v := checkAll(h.events); v.Counts["effect"] != 1 || len(v.Counts) != 1 {
		t.Errorf("want one violation of effect and no other, got %v", v.Violations)
	}
}

// TestLateOrMissingFinalResponseIsExcusedByRestartNearDeadlineOrLostFolder: a restart near the
// deadline makes the final response due later, and a lost folder makes it
// unnecessary. A restart long before the deadline excuses nothing.
func TestLateOrMissingFinalResponseIsExcusedByRestartNearDeadlineOrLostFolder(t *testing.T) {
	for name, test := range map[string]struct {
		addEvents     func(h *historyBuilder)
		wantViolation bool
	}{
		"no event": {func(*historyBuilder) {}, true},
		"notice in time": {func(h *historyBuilder) {
			h.record(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		}, false},
		"killed and restarted long before the deadline": {func(h *historyBuilder) {
			h.record(history.Event{Kind: history.ProcessSignaled, Relay: "n1", PID: 1, Text: "killed"})
			h.record(history.Event{Kind: history.ProcessExited, Relay: "n1", PID: 1, Status: -1})
			h.startProcess()
		}, true},
		"killed before the deadline, restarted after it, notice soon after": {func(h *historyBuilder) {
			h.setTime(7e6)
			h.record(history.Event{Kind: history.ProcessSignaled, Relay: "n1", PID: 1, Text: "killed"})
			h.record(history.Event{Kind: history.ProcessExited, Relay: "n1", PID: 1, Status: -1})
			h.setTime(9e6)
			h.startProcess()
			h.setTime(10.4e6)
			h.record(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		}, false},
		"folder lost": {func(h *historyBuilder) {
			h.record(history.Event{Kind: history.FolderChanged, Relay: "n1", Text: "lost"})
		}, false},
	} {
		h := (&historyBuilder{}).startProcess()
		h.submitAccepted("m", idempotentClass, 8e6)
		test.addEvents(h)
		h.setTime(20e6).record(history.Event{Kind: history.Fault})
		v := checkAll(h.events)
		if got := v.Counts["end"] > 0; got != test.wantViolation || len(v.Counts) > 1 {
			t.Errorf("%s: end violated, or not, contrary to the test case, or another rule violated; violations: %v", name, v.Violations)
		}
		for _, violation := range v.Violations {
			if !strings.Contains(violation.String(), "m: accepted") || !strings.Contains(violation.String(), "history.jsonl") {
				t.Errorf("violation does not name the message, the first event and the file: %s", violation)
			}
		}
	}
}

// TestRandomHistoryViolatesOnlyTheRuleOfItsInjectedDefect draws histories of a relay
// that follows the protocol. They must violate no rule; with one defect injected,
// they must violate the rule for that defect and no other.
func TestRandomHistoryViolatesOnlyTheRuleOfItsInjectedDefect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := (&historyBuilder{}).startProcess()
		var injected Rule
		planned := rapid.SampledFrom([]Rule{"", "", "repeat", "one-out", "wait", "after-end", "end"}).Draw(t, "planned defect")
		waitEnd := int64(0) // when the last Retry-After ends
		for i := range rapid.IntRange(1, 12).Draw(t, "messages") {
			id, class := fmt.Sprint("m", i), rapid.SampledFrom([]string{nonIdempotentClass, idempotentClass}).Draw(t, "class")
			h.submitAccepted(id, class, 30e6)
			mustNotResend := false
			for range rapid.IntRange(0, 6).Draw(t, "attempts") {
				if h.now < waitEnd && !(planned == "wait" && injected == "") {
					h.setTime(waitEnd)
				} else if h.now < waitEnd && h.now+3*ms < waitEnd-200*ms {
					h.setTime(h.now + 110*ms)
					injected = "wait"
				}
				callID := h.receiveCall(id)
				if planned == "one-out" && injected == "" && class == idempotentClass {
					second := h.receiveCall(id)
					h.setTime(h.now + 200*ms)
					h.respond(second, 503, 0)
					injected = "one-out"
				}
				switch rapid.SampledFrom([]string{"ok", "full", "wait", "error", "lost"}).Draw(t, "outcome") {
				case "ok":
					h.respond(callID, 200, 0)
					mustNotResend = true
				case "full":
					h.respond(callID, 503, 0)
				case "wait":
					h.respond(callID, 429, 400*ms)
					waitEnd = h.now + 400*ms
				case "error":
					h.respond(callID, 500, 0)
					mustNotResend = class == nonIdempotentClass
				case "lost":
					h.breakCall(callID)
					mustNotResend = class == nonIdempotentClass
				}
				if mustNotResend {
					break
				}
			}
			if planned == "repeat" && injected == "" && mustNotResend && class == nonIdempotentClass && h.now >= waitEnd {
				h.respond(h.receiveCall(id), 200, 0)
				injected = "repeat"
			}
			if planned == "end" && injected == "" && !mustNotResend {
				injected = "end"
				continue
			}
			h.record(history.Event{Kind: history.Notice, Relay: "n1", Message: id, Text: "given_up"})
			if planned == "after-end" && injected == "" && !mustNotResend && h.now >= waitEnd {
				h.setTime(h.now + 100*ms)
				h.respond(h.receiveCall(id), 410, 0)
				injected = "after-end"
			}
		}
		h.setTime(h.now + 60e6).record(history.Event{Kind: history.Fault})
		v := checkAll(h.events)
		if injected == "" && len(v.Counts) > 0 {
			t.Fatalf("relay followed the protocol, but violations were found: %v", v.Violations)
		}
		if injected != "" && (v.Counts[injected] == 0 || len(v.Counts) != 1) {
			t.Fatalf("injected defect %s: want violations of this rule and no other, got %v", injected, v.Violations)
		}
	})
}

// TestListAndRegisterDefectsViolateTheirRule: a change that a watcher misses, gets
// twice or gets with other contents, and a read or write that is not linearizable,
// such as a stale leader's, violate the rule for them. A correct history violates
// none.
func TestListAndRegisterDefectsViolateTheirRule(t *testing.T) {
	addUpdate := func(h *historyBuilder, watcher string, revision int64, phase, hash string) {
		h.record(history.Event{Kind: history.ListUpdate, Relay: watcher, Text: "e", DueAt: revision, Phase: phase, FirstMessage: hash})
	}
	addOperation := func(h *historyBuilder, operation string, value, begin int64) {
		h.record(history.Event{Kind: history.RegisterOperation, Relay: "p", Text: operation, ValidFor: value, DueAt: begin + 1, Status: 1})
	}
	for name, test := range map[string]struct {
		addEvents func(h *historyBuilder)
		wantRule  Rule
	}{
		"correct":                            {func(h *historyBuilder) { addUpdate(h, "w1", 4, "change", "d"); addOperation(h, "read", 2, h.now) }, ""},
		"change missed by a watcher":         {func(h *historyBuilder) { addUpdate(h, "w1", 5, "change", "e") }, "list"},
		"change received twice":              {func(h *historyBuilder) { addUpdate(h, "w1", 3, "change", "c") }, "list"},
		"change differs between watchers":    {func(h *historyBuilder) { addUpdate(h, "w2", 3, "change", "x") }, "list"},
		"complete list of an older revision": {func(h *historyBuilder) { addUpdate(h, "w1", 2, "whole", "b") }, "list"},
		"read of an overwritten value":       {func(h *historyBuilder) { addOperation(h, "read", 1, h.now) }, "linear"},
		"write lost before a read":           {func(h *historyBuilder) { addOperation(h, "write", 3, h.now); addOperation(h, "read", 2, h.now) }, "linear"},
		"read of a value never written":      {func(h *historyBuilder) { addOperation(h, "read", 77, h.now) }, "linear"},
	} {
		h := &historyBuilder{}
		addUpdate(h, "w1", 2, "whole", "b")
		addUpdate(h, "w1", 3, "change", "c")
		addUpdate(h, "w2", 2, "whole", "b")
		addOperation(h, "write", 1, h.now)
		addOperation(h, "write", 2, h.now)
		test.addEvents(h)
		v := checkAll(h.events)
		if test.wantRule == "" && len(v.Counts) > 0 || test.wantRule != "" && (v.Counts[test.wantRule] == 0 || len(v.Counts) != 1) {
			t.Errorf("%s: the violated rules are not exactly that of the test case; violations: %v", name, v.Violations)
		}
	}
}

// TestCallAbortedBeforeItArrivesIsNotInFlight: a slow link may deliver a call after
// the process that sent it has died. Such a call does not count as in flight beside a
// call of the next process; one that was not aborted does.
func TestCallAbortedBeforeItArrivesIsNotInFlight(t *testing.T) {
	for _, aborted := range []bool{true, false} {
		h := (&historyBuilder{}).startProcess()
		h.submitAccepted("m", idempotentClass, 8e6)
		newCall := h.receiveCall("m")
		if aborted {
			h.record(history.Event{Kind: history.CallAborted, Call: 77})
		}
		h.record(history.Event{Kind: history.CallReceived, Call: 77, Relay: "n1", Endpoint: "f", Destination: 1, Messages: []string{"m"}, SentAt: 1})
		h.setTime(h.now + 900*ms)
		h.respond(newCall, 200, 0)
		if v := checkAll(h.events); (v.Counts["one-out"] > 0) == aborted {
			t.Errorf("late call aborted: %v; one-out must be violated exactly if it was not; violations: %v", aborted, v.Violations)
		}
	}
}

// TestRoleStepViolatesDutyIfCountedTwiceOrUnderOlderToken: the rule duty allows gaps in
// the steps, since a step whose answer was lost is missing from the history. It does
// not allow a step counted twice, or under an older token than the step before it.
func TestRoleStepViolatesDutyIfCountedTwiceOrUnderOlderToken(t *testing.T) {
	for name, test := range map[string]struct {
		steps         [][2]int64 // pairs of step and token
		wantViolation bool
	}{
		"correct":                   {[][2]int64{{1, 5}, {2, 5}, {3, 8}, {4, 9}}, false},
		"gaps from lost answers":    {[][2]int64{{1, 5}, {4, 5}, {9, 8}}, false},
		"step counted twice":        {[][2]int64{{1, 5}, {2, 5}, {2, 8}}, true},
		"step under an older token": {[][2]int64{{1, 5}, {2, 8}, {3, 5}}, true},
	} {
		h := &historyBuilder{}
		for _, step := range test.steps {
			h.record(history.Event{Kind: history.RoleStep, Relay: "w1", Text: "count", Status: int(step[0]), ValidFor: step[1]})
		}
		if v := checkAll(h.events); (v.Counts["duty"] > 0) != test.wantViolation {
			t.Errorf("%s: duty violated, or not, contrary to the test case; violations: %v", name, v.Violations)
		}
	}
}

// TestRoleStepsViolateFencedIfNoFencedRegisterExplainsThem: each step takes effect at
// some moment between its request and its answer, or at any later moment or never if
// it was not answered. Steps that violate the rule fenced are those for which no
// order is possible on a register that rejects old tokens.
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
		"correct":                                            {[]step{{1, 5, 0, 2, history.StepCounted}, {2, 5, 3, 9, history.StepFenced}, {2, 7, 4, 8, history.StepCounted}}, false},
		"step counted without an answer":                     {[]step{{1, 5, 0, 0, history.StepUnanswered}, {2, 7, 4, 8, history.StepCounted}}, false},
		"unanswered step never took effect":                  {[]step{{1, 5, 0, 0, history.StepUnanswered}, {1, 7, 4, 8, history.StepCounted}}, false},
		"step skipped":                                       {[]step{{1, 5, 0, 2, history.StepCounted}, {3, 7, 4, 8, history.StepCounted}}, true},
		"same step counted twice":                            {[]step{{1, 5, 0, 2, history.StepCounted}, {1, 7, 4, 8, history.StepCounted}}, true},
		"step counted under an older token":                  {[]step{{1, 7, 0, 2, history.StepCounted}, {2, 5, 3, 8, history.StepCounted}}, true},
		"token counts after its rejection":                   {[]step{{1, 5, 0, 2, history.StepCounted}, {2, 5, 3, 4, history.StepFenced}, {2, 5, 5, 6, history.StepCounted}}, true},
		"step answered before its predecessor was requested": {[]step{{2, 5, 0, 2, history.StepCounted}, {1, 5, 3, 4, history.StepCounted}}, true},
	} {
		h := &historyBuilder{}
		for i, e := range test.steps {
			h.record(history.Event{Kind: history.RoleStep, Relay: fmt.Sprint("w", i), Text: "count", Status: e.step, ValidFor: e.token, SentAt: e.sentAt, DueAt: e.answeredAt, Phase: e.phase})
		}
		if v := checkAll(h.events); (v.Counts["fenced"] > 0) != test.wantViolation || !test.wantViolation && v.Checked["fenced"] != len(test.steps) {
			t.Errorf("%s: fenced violated, or not, contrary to the test case, or not every step checked; violations: %v", name, v.Violations)
		}
	}
}

// TestEndpointMayBeCalledOnceRelayHearsItIsUpBeforeTheOperatorDoes: the list service's
// answer to the operator may be late, or lost with a leader, so a relay may receive
// the end of a drain before it is recorded as announced. From then on, it may call the
// endpoint.
func TestEndpointMayBeCalledOnceRelayHearsItIsUpBeforeTheOperatorDoes(t *testing.T) {
	for _, relayHeardUp := range []bool{true, false} {
		h := (&historyBuilder{}).startProcess()
		h.record(history.Event{Kind: history.EndpointChanged, Endpoint: "e", Phase: model.Draining})
		h.record(history.Event{Kind: history.ChangeDelivered, Relay: "n1", Endpoint: "e", Phase: model.Draining})
		h.setTime(20e6)
		if relayHeardUp {
			h.record(history.Event{Kind: history.ChangeDelivered, Relay: "n1", Endpoint: "e", Phase: model.Up})
		}
		h.submitAccepted("m", idempotentClass, 8e6)
		h.respond(h.receiveCall("m"), 200, 0)
		h.record(history.Event{Kind: history.EndpointChanged, Endpoint: "e", Phase: model.Up})
		if v := checkAll(h.events); (v.Counts["drain"] > 0) == relayHeardUp {
			t.Errorf("relay heard that the endpoint is up: %v; drain must be violated exactly if it did not; violations: %v", relayHeardUp, v.Violations)
		}
	}
}

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
	j := New(Config{Rules: model.StandardRules(), Limits: Limits{Memory: 64 << 20, Disk: 1 << 20, FDs: 256}, HistoryFile: "history.jsonl"})
	for _, e := range events {
		j.Feed(e)
	}
	return j.Finish()
}

// script builds a history by hand, a millisecond an event.
type script struct {
	events []history.Event
	t      int64
	calls  int64
}

func (s *script) at(t int64) *script { s.t = t; return s }

func (s *script) add(e history.Event) {
	s.t += ms
	e.Time = s.t
	s.events = append(s.events, e)
}

func (s *script) start() *script {
	s.add(history.Event{Kind: history.ProcessStarted, Relay: "n1", PID: 1})
	s.add(history.Event{Kind: history.ProcessReady, Relay: "n1", PID: 1})
	return s
}

func (s *script) take(id, class string, d int64) {
	s.add(history.Event{Kind: history.MessageSubmitted, Relay: "n1", Message: id, FirstMessage: id, Class: class, DueAt: s.t, ValidFor: d})
	s.add(history.Event{Kind: history.MessageAccepted, Relay: "n1", Message: id})
}

func (s *script) call(id string) int64 {
	s.calls++
	s.add(history.Event{Kind: history.CallReceived, Call: s.calls, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{id}, SentAt: s.t})
	return s.calls
}

func (s *script) answer(call int64, status int, wait int64) {
	s.add(history.Event{Kind: history.ResponseSent, Call: call, Status: status, RetryAfter: wait})
	s.add(history.Event{Kind: history.ResponseReceived, Call: call})
}

func (s *script) ended(call int64) { s.add(history.Event{Kind: history.CallBroken, Call: call}) }

const order, alert = "copy-order", "alert-update"

// TestWhatCannotBeKnownMayHaveRun: a call that a cut swallowed half way, or
// whose answer it swallowed, may have run; one that never was whole did not.
func TestWhatCannotBeKnownMayHaveRun(t *testing.T) {
	for name, x := range map[string]struct {
		first  func(s *script)
		broken bool
	}{
		"whole at the relay, swallowed by the link": {func(s *script) {
			s.add(history.Event{Kind: history.CallLost, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{"m"}})
		}, true},
		"whole at the endpoint, its answer swallowed": {func(s *script) {
			c := s.call("m")
			s.add(history.Event{Kind: history.ResponseSent, Call: c, Status: 503})
			s.ended(c)
		}, true},
		"refused, and heard":      {func(s *script) { s.answer(s.call("m"), 503, 0) }, false},
		"never whole":             {func(*script) {}, false},
		"no answer at all":        {func(s *script) { s.ended(s.call("m")) }, true},
		"an answer spoilt":        {func(s *script) { s.answer(s.call("m"), 0, 0) }, true},
		"an error, and heard":     {func(s *script) { s.answer(s.call("m"), 500, 0) }, true},
		"turned away with a wait": {func(s *script) { s.answer(s.call("m"), 429, ms) }, false},
	} {
		s := (&script{}).start()
		s.take("m", order, 16e6)
		x.first(s)
		s.at(s.t + 1e6)
		s.answer(s.call("m"), 200, 0)
		v := checkAll(s.events)
		if got := v.Counts["repeat"] > 0; got != x.broken || len(v.Counts) > 1 {
			t.Errorf("%s: repeat %v, want %v; %v", name, got, x.broken, v.Violations)
		}
	}
}

// TestSwallowedIsJudgedByWhenItWasSent: a link tells of a swallowed call when its
// connection ends, which may be long after the message's end.
func TestSwallowedIsJudgedByWhenItWasSent(t *testing.T) {
	for from, broken := range map[int64]bool{1e6: false, 12e6: true} {
		s := (&script{}).start()
		s.take("m", alert, 8e6)
		s.at(9e6)
		s.add(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		s.at(17e6)
		s.add(history.Event{Kind: history.CallLost, Relay: "n1", Endpoint: "e", Destination: 1, Messages: []string{"m"}, SentAt: from})
		if v := checkAll(s.events); (v.Counts["after-end"] > 0) != broken {
			t.Errorf("sent at %d µs: %v", from, v.Violations)
		}
	}
}

// TestEffectIsCountedAtTheEndpoint, whatever the relay believes.
func TestEffectIsCountedAtTheEndpoint(t *testing.T) {
	s := (&script{}).start()
	s.take("m", order, 16e6)
	c := s.call("m")
	s.add(history.Event{Kind: history.MessageExecuted, Call: c, Message: "m"})
	s.answer(c, 503, 0) // it says that nothing ran
	c = s.call("m")
	s.add(history.Event{Kind: history.MessageExecuted, Call: c, Message: "m"})
	s.answer(c, 200, 0)
	if v := checkAll(s.events); v.Counts["effect"] != 1 || len(v.Counts) != 1 {
		t.Errorf("%v", v.Violations)
	}
}

// TestExcusesEnd: what a kill, a stop or a lost folder excuses, and no more.
func TestExcusesEnd(t *testing.T) {
	for name, x := range map[string]struct {
		rest   func(s *script)
		broken bool
	}{
		"nothing": {func(*script) {}, true},
		"a notice": {func(s *script) {
			s.add(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		}, false},
		"killed, and back long ago": {func(s *script) {
			s.add(history.Event{Kind: history.ProcessSignaled, Relay: "n1", PID: 1, Text: "killed"})
			s.add(history.Event{Kind: history.ProcessExited, Relay: "n1", PID: 1, Status: -1})
			s.start()
		}, true},
		"killed, and back at the last moment": {func(s *script) {
			s.at(7e6)
			s.add(history.Event{Kind: history.ProcessSignaled, Relay: "n1", PID: 1, Text: "killed"})
			s.add(history.Event{Kind: history.ProcessExited, Relay: "n1", PID: 1, Status: -1})
			s.at(9e6)
			s.start()
			s.at(10.4e6)
			s.add(history.Event{Kind: history.Notice, Relay: "n1", Message: "m", Text: "given_up"})
		}, false},
		"its folder lost": {func(s *script) { s.add(history.Event{Kind: history.FolderChanged, Relay: "n1", Text: "lost"}) }, false},
	} {
		s := (&script{}).start()
		s.take("m", alert, 8e6)
		x.rest(s)
		s.at(20e6).add(history.Event{Kind: history.Fault})
		v := checkAll(s.events)
		if got := v.Counts["end"] > 0; got != x.broken || len(v.Counts) > 1 {
			t.Errorf("%s: %v", name, v.Violations)
		}
		for _, b := range v.Violations {
			if !strings.Contains(b.String(), "m: accepted") || !strings.Contains(b.String(), "history.jsonl") {
				t.Errorf("names too little: %s", b)
			}
		}
	}
}

// TestHistoriesThatKeepThePromises draws histories of a relay that does what
// the protocol says, and wants none of them held against it; with one event
// bent, the rule that is meant for it must break.
func TestHistoriesThatKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := (&script{}).start()
		var bent Rule
		bend := rapid.SampledFrom([]Rule{"", "", "repeat", "one-out", "wait", "after-end", "end"}).Draw(t, "bend")
		over := int64(0) // of the wait that was told last
		for i := range rapid.IntRange(1, 12).Draw(t, "messages") {
			id, class := fmt.Sprint("m", i), rapid.SampledFrom([]string{order, alert}).Draw(t, "class")
			s.take(id, class, 30e6)
			done := false
			for range rapid.IntRange(0, 6).Draw(t, "attempts") {
				if s.t < over && !(bend == "wait" && bent == "") {
					s.at(over)
				} else if s.t < over && s.t+3*ms < over-200*ms {
					s.at(s.t + 110*ms)
					bent = "wait"
				}
				c := s.call(id)
				if bend == "one-out" && bent == "" && class == alert {
					second := s.call(id)
					s.at(s.t + 200*ms)
					s.answer(second, 503, 0)
					bent = "one-out"
				}
				switch rapid.SampledFrom([]string{"ok", "full", "wait", "error", "lost"}).Draw(t, "outcome") {
				case "ok":
					s.answer(c, 200, 0)
					done = true
				case "full":
					s.answer(c, 503, 0)
				case "wait":
					s.answer(c, 429, 400*ms)
					over = s.t + 400*ms
				case "error":
					s.answer(c, 500, 0)
					done = class == order
				case "lost":
					s.ended(c)
					done = class == order
				}
				if done {
					break
				}
			}
			if bend == "repeat" && bent == "" && done && class == order && s.t >= over {
				s.answer(s.call(id), 200, 0)
				bent = "repeat"
			}
			if bend == "end" && bent == "" && !done {
				bent = "end"
				continue
			}
			s.add(history.Event{Kind: history.Notice, Relay: "n1", Message: id, Text: "given_up"})
			if bend == "after-end" && bent == "" && !done && s.t >= over {
				s.at(s.t + 100*ms)
				s.answer(s.call(id), 410, 0)
				bent = "after-end"
			}
		}
		s.at(s.t + 60e6).add(history.Event{Kind: history.Fault})
		v := checkAll(s.events)
		if bent == "" && len(v.Counts) > 0 {
			t.Fatalf("held against a relay that kept all: %v", v.Violations)
		}
		if bent != "" && (v.Counts[bent] == 0 || len(v.Counts) != 1) {
			t.Fatalf("%s bent: %v", bent, v.Violations)
		}
	})
}

// TestDefectsOfAListService: a change lost, one repeated, one that differs, and
// a stale leader's read are caught; the sound history beside them is not.
func TestDefectsOfAListService(t *testing.T) {
	heard := func(s *script, who string, rev int64, phase, hash string) {
		s.add(history.Event{Kind: history.ListUpdate, Relay: who, Text: "e", DueAt: rev, Phase: phase, FirstMessage: hash})
	}
	op := func(s *script, what string, value, began int64) {
		s.add(history.Event{Kind: history.RegisterOperation, Relay: "p", Text: what, ValidFor: value, DueAt: began + 1, Status: 1})
	}
	for name, x := range map[string]struct {
		bend func(s *script)
		rule Rule
	}{
		"sound":           {func(s *script) { heard(s, "w1", 4, "change", "d"); op(s, "read", 2, s.t) }, ""},
		"a lost change":   {func(s *script) { heard(s, "w1", 5, "change", "e") }, "list"},
		"a repeated one":  {func(s *script) { heard(s, "w1", 3, "change", "c") }, "list"},
		"one differs":     {func(s *script) { heard(s, "w2", 3, "change", "x") }, "list"},
		"back":            {func(s *script) { heard(s, "w1", 2, "whole", "b") }, "list"},
		"a stale read":    {func(s *script) { op(s, "read", 1, s.t) }, "linear"},
		"a lost write":    {func(s *script) { op(s, "write", 3, s.t); op(s, "read", 2, s.t) }, "linear"},
		"a read from air": {func(s *script) { op(s, "read", 77, s.t) }, "linear"},
	} {
		s := &script{}
		heard(s, "w1", 2, "whole", "b")
		heard(s, "w1", 3, "change", "c")
		heard(s, "w2", 2, "whole", "b")
		op(s, "write", 1, s.t)
		op(s, "write", 2, s.t)
		x.bend(s)
		v := checkAll(s.events)
		if x.rule == "" && len(v.Counts) > 0 || x.rule != "" && (v.Counts[x.rule] == 0 || len(v.Counts) != 1) {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}

// TestACallThatWasEndedBeforeItCame: a link that is late may bring a call whose
// process had died. It is not out beside the next process's; one that is, is told.
func TestACallThatWasEndedBeforeItCame(t *testing.T) {
	for _, left := range []bool{true, false} {
		s := (&script{}).start()
		s.take("m", alert, 8e6)
		next := s.call("m")
		if left {
			s.add(history.Event{Kind: history.CallAborted, Call: 77})
		}
		s.add(history.Event{Kind: history.CallReceived, Call: 77, Relay: "n1", Endpoint: "f", Destination: 1, Messages: []string{"m"}, SentAt: 1})
		s.at(s.t + 900*ms)
		s.answer(next, 200, 0)
		if v := checkAll(s.events); (v.Counts["one-out"] > 0) == left {
			t.Errorf("left %v: %v", left, v.Violations)
		}
	}
}

// TestDefectsOfADuty: a step that counts twice, and one under an older token than
// the step before it, are caught; steps whose answer was lost are not missed.
func TestDefectsOfADuty(t *testing.T) {
	for name, x := range map[string]struct {
		steps  [][2]int64 // step, token
		broken bool
	}{
		"sound":          {[][2]int64{{1, 5}, {2, 5}, {3, 8}, {4, 9}}, false},
		"answers lost":   {[][2]int64{{1, 5}, {4, 5}, {9, 8}}, false},
		"twice":          {[][2]int64{{1, 5}, {2, 5}, {2, 8}}, true},
		"an older token": {[][2]int64{{1, 5}, {2, 8}, {3, 5}}, true},
	} {
		s := &script{}
		for _, step := range x.steps {
			s.add(history.Event{Kind: history.RoleStep, Relay: "w1", Text: "count", Status: int(step[0]), ValidFor: step[1]})
		}
		if v := checkAll(s.events); (v.Counts["duty"] > 0) != x.broken {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}

// TestFencedRegister: steps of two holders, each in the span from when it was
// asked for to its answer. What no fenced register explains is caught.
func TestFencedRegister(t *testing.T) {
	type step struct {
		step       int
		token      int64
		asked, end int64
		phase      string
	}
	for name, x := range map[string]struct {
		steps  []step
		broken bool
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
		s := &script{}
		for i, e := range x.steps {
			s.add(history.Event{Kind: history.RoleStep, Relay: fmt.Sprint("w", i), Text: "count", Status: e.step, ValidFor: e.token, SentAt: e.asked, DueAt: e.end, Phase: e.phase})
		}
		if v := checkAll(s.events); (v.Counts["fenced"] > 0) != x.broken || !x.broken && v.Checked["fenced"] != len(x.steps) {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}

// TestToldUpBeforeTheOperatorHears: the list's answer to the operator may be
// late, or lost with a leader, when the relay has heard of the change already.
func TestToldUpBeforeTheOperatorHears(t *testing.T) {
	for _, told := range []bool{true, false} {
		s := (&script{}).start()
		s.add(history.Event{Kind: history.EndpointChanged, Endpoint: "e", Phase: model.Draining})
		s.add(history.Event{Kind: history.ChangeDelivered, Relay: "n1", Endpoint: "e", Phase: model.Draining})
		s.at(20e6)
		if told {
			s.add(history.Event{Kind: history.ChangeDelivered, Relay: "n1", Endpoint: "e", Phase: model.Up})
		}
		s.take("m", alert, 8e6)
		s.answer(s.call("m"), 200, 0)
		s.add(history.Event{Kind: history.EndpointChanged, Endpoint: "e", Phase: model.Up})
		if v := checkAll(s.events); (v.Counts["drain"] > 0) == told {
			t.Errorf("told %v: %v", told, v.Violations)
		}
	}
}

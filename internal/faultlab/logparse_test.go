package faultlab

import (
	"testing"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/leader"
)

// TestParseCounterStepReadsOldAndNewMessages parses log lines in the form of slog's
// text handler, with the messages of the present release and of older ones.
func TestParseCounterStepReadsOldAndNewMessages(t *testing.T) {
	const prefix = "time=2026-11-30T12:00:00.250Z level=INFO "
	for line, want := range map[string]struct {
		outcome string
		ok      bool
	}{
		prefix + "msg=counts warden=w1 duty=counter count=7 token=3":                      {"", true},
		prefix + "msg=counted warden=w1 duty=counter count=7 token=3":                     {history.StepCounted, true},
		prefix + `msg="not counted" warden=w1 duty=counter count=7 token=3`:               {history.StepFenced, true},
		prefix + `msg="` + leader.EventCountRequested + `" controller=w1 count=7 token=3`: {"", true},
		prefix + `msg="` + leader.EventCountAccepted + `" controller=w1 count=7 token=3`:  {history.StepCounted, true},
		prefix + `msg="` + leader.EventCountRejected + `" controller=w1 count=7 token=3`:  {history.StepFenced, true},
		prefix + `msg="leader elected" warden=w1 duty=counter token=3`:                    {"", false},
		"panic: not a log line, count=7 token=3":                                          {"", false},
	} {
		step, ok, err := parseCounterStep(line)
		if err != nil || ok != want.ok || step.outcome != want.outcome {
			t.Errorf("%s: got %+v, %v, %v; want %+v", line, step, ok, err, want)
		}
		if ok && (step.count != 7 || step.token != 3 || step.loggedAt.UnixMilli()%1000 != 250) {
			t.Errorf("%s: got %+v, want count 7, token 3 and a time with 250 ms", line, step)
		}
	}
	if _, ok, err := parseCounterStep("time=yesterday msg=counts count=7 token=3"); !ok || err == nil {
		t.Errorf("a line with an invalid time: got no match or no error, error %v", err)
	}
}

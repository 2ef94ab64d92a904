package policy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutant is a copy of the package in which the text old is replaced by new. The test run has to
// fail in it. Without a text it is an unchanged copy, in which the tests have to pass.
type mutant struct{ name, old, new, test string }

// mutants remove one guard each, and name the test that has to fail without it.
var mutants = []mutant{
	{"unchanged copy", "", "", ""},
	{"no send to a draining endpoint", "endpoint.state != Ready || endpoint.route", "endpoint.route", "TestRulesHoldOverRandomEvents"},
	{"Retry-After", " || endpoint.route.retryAfterUntil > p.now {", " {", "TestRulesHoldOverRandomEvents"},
	{"no retry of non-idempotent messages", "if message.unknownOutcomeAt == 0 || message.class.Idempotency == Idempotent {",
		"if message.unknownOutcomeAt == 0 || message.class.Idempotency != IdempotentByKey {", "TestRulesHoldOverRandomEvents"},
	{"dedup window", " || p.now > p.retryBy(message)", "", "TestRulesHoldOverRandomEvents"},
	{"dedup zone", "isPerZone && endpoint.zone != message.unknownOutcomeZone", "isPerZone && false", "TestRulesHoldOverRandomEvents"},
	{"order of a key", "queue.messages[0] != message || ", "", "TestRulesHoldOverRandomEvents"},
	{"key cooldown", "message.attempts != 0 || queue.cooldownUntil <= p.now", "true", "TestRulesHoldOverRandomEvents"},
	{"response before deadline", "p.now < message.deadline-p.deadlineMargin() && (message.call", "(message.call", "TestRulesHoldOverRandomEvents"},
	{"limit on attempts", "p.settings.MaxAttempts > 0 && message.attempts >= p.settings.MaxAttempts", "false", "TestRulesHoldOverRandomEvents"},
	{"no rejection after a possible run", "return !message.class.DedupPerZone && p.now", "return p.now", "TestRulesHoldOverRandomEvents"},
	{"recovery budget", "return endpoint.recoveryBudget.level(p.now, rate, max(burst, cost)) >= cost",
		"return endpoint.recoveryBudget.level(p.now, rate, max(burst, cost)) >= -99", "TestRecoveryBudgetLimitsCallsAfterOutage"},
	{"ejection threshold", "endpoint.isEjected || endpoint.failureScore < ejectionScore", "true", "TestFailuresAfterOneSuccessRestartSlowStart"},
	{"order behind spilled messages", " || queue.startsWithSpilled()", "", "TestRulesHoldWithSpilledMessages"},
	{"order of spilled messages", "queue.spilledCount == 0 && queue.messages[len(queue.messages)-1] == message", "queue != nil", "TestRulesHoldWithSpilledMessages"},
	{"load before the dedup window ends", "min(latestRetry, message.deadline-p.deadlineMargin())", "max(latestRetry, message.deadline-p.deadlineMargin())", "TestSpillKeepsMessageState"},
	{"one message in memory", "max(count, p.residentMinimum()-resident)", "count", "TestRulesHoldWithSpilledMessages"},
	{"cancellation of stuck calls", "p.cancelIfStuck(call)\n\t}\n\troute.isPaceLimited", "}\n\troute.isPaceLimited", "TestStuckCallIsCancelledWhenSlotsRunOut"},
}

// Each mutant is the package without one guard, and the test that is named for it has to fail. This
// shows that the test notices the loss, and that no second check hides it.
func TestRemovingAGuardFailsItsTest(t *testing.T) {
	if os.Getenv("POLICY_MUTANT") != "" {
		t.Skip("this is the run of a mutant, which makes no further mutants")
	}
	goTool, err := exec.LookPath("go")
	if err != nil {
		t.Fatal("the go tool was not found: ", err)
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			m.writeModule(t, dir)
			m.runTest(t, goTool, dir)
		})
	}
}

// writeModule copies the package with the mutant's change to dir, as a module of its own. The text to
// be replaced has to stand exactly once in the sources.
func (m mutant) writeModule(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d source files, error %v", len(files), err)
	}
	guards := 0
	for _, f := range files {
		if f == "example_test.go" {
			continue // it imports the package by its path, which the copy doesn't have
		}
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(f, "_test.go") && m.old != "" {
			guards += strings.Count(string(text), m.old)
			text = []byte(strings.ReplaceAll(string(text), m.old, m.new))
		}
		if err := os.WriteFile(filepath.Join(dir, f), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if m.old != "" && guards != 1 {
		t.Fatalf("%q stands %d times in the sources, want once", m.old, guards)
	}
	if err := os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module mutant\n\ngo 1.24\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// runTest runs the mutant's test, which has to fail as a test and not because the copy doesn't build.
func (m mutant) runTest(t *testing.T, goTool, dir string) {
	t.Helper()
	testNames := m.test
	if testNames == "" {
		testNames = "TestRulesHoldOverRandomEvents|TestRecoveryBudgetLimitsCallsAfterOutage|TestStuckCallIsCancelledWhenSlotsRunOut"
	}
	cmd := exec.Command(goTool, "test", "-vet=off", "-run", "^("+testNames+")$", ".")
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "POLICY_MUTANT=1", "GOFLAGS=", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	switch {
	case m.old == "" && err != nil:
		t.Fatalf("the tests fail in the unchanged copy:\n%s", out)
	case m.old != "" && err == nil:
		t.Fatalf("%s passes without the guard", m.test)
	case m.old != "" && !strings.Contains(string(out), "--- FAIL"):
		t.Fatalf("the mutant does not build:\n%s", out)
	}
}

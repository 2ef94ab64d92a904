package policy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutant is a copy of the module in which one text gives way to another; without a text it is the module itself.
type mutant struct{ name, old, new, run string }

// mutants take out one guard each, and name the test that has to see it.
var mutants = []mutant{
	{"none", "", "", ""},
	{"drain", "endpoint.state != Ready || endpoint.route", "endpoint.route", "TestRules"},
	{"wait", " || endpoint.route.retryAfterUntil > p.now {", " {", "TestRules"},
	{"unsafe", "if message.unknownOutcomeAt == 0 || message.class.Idempotency == Idempotent {",
		"if message.unknownOutcomeAt == 0 || message.class.Idempotency != IdempotentByKey {", "TestRules"},
	{"dedup window", " || p.now > p.retryBy(message)", "", "TestRules"},
	{"dedup zone", "isPerZone && endpoint.zone != message.unknownOutcomeZone", "isPerZone && false", "TestRules"},
	{"order", "queue.messages[0] != message || ", "", "TestRules"},
	{"rest of a key", "message.attempts != 0 || queue.cooldownUntil <= p.now", "true", "TestRules"},
	{"answer in time", "p.now < message.deadline-p.deadlineMargin() && (message.call", "(message.call", "TestRules"},
	{"attempts", "p.settings.MaxAttempts > 0 && message.attempts >= p.settings.MaxAttempts", "false", "TestRules"},
	{"refusal", "return !message.class.DedupPerZone && p.now", "return p.now", "TestRules"},
	{"budget", "return endpoint.recoveryBudget.level(p.now, rate, max(burst, cost)) >= cost",
		"return endpoint.recoveryBudget.level(p.now, rate, max(burst, cost)) >= -99", "TestFailBackBudget"},
	{"outage", "endpoint.isEjected || endpoint.failureScore < ejectionScore", "true", "TestPartialSuccessKeepsTheBudget"},
	{"order behind spilled", " || queue.startsSpilled()", "", "TestRulesWithBacklog"},
	{"order of spilled", "queue.spilledCount == 0 && queue.messages[len(queue.messages)-1] == message", "queue != nil", "TestRulesWithBacklog"},
	{"window of spilled", "min(by, message.deadline-p.deadlineMargin())", "max(by, message.deadline-p.deadlineMargin())", "TestSpilledState"},
	{"one in memory", "max(count, p.residentMinimum()-resident)", "count", "TestRulesWithBacklog"},
	{"calling off", "p.cancelIfStuck(call)\n\t}\n\troute.isPaceLimited", "}\n\troute.isPaceLimited", "TestReclaim"},
}

// TestGuardsMatter takes one guard at a time out of a copy of the module and expects TestRules, or the named
// test, to fail: the checker can tell, and no second path hides the loss.
func TestGuardsMatter(t *testing.T) {
	if os.Getenv("POLICY_MUTANT") != "" {
		t.Skip("a mutant does not mutate")
	}
	goTool, err := exec.LookPath("go")
	if err != nil {
		t.Fatal("the go tool is needed: ", err)
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			m.write(t, dir)
			m.check(t, goTool, dir)
		})
	}
}

// write copies the module; the guard's text has to stand exactly once in it.
func (m mutant) write(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, error %v", len(files), err)
	}
	guards := 0
	for _, f := range files {
		if f == "example_test.go" {
			continue // it imports the module by name
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
		t.Fatalf("%q stands %d times in the module", m.old, guards)
	}
	if err := os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module mutant\n\ngo 1.24\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// check runs the test that has to fail, by its own word and not for want of a build.
func (m mutant) check(t *testing.T, goTool, dir string) {
	t.Helper()
	run := m.run
	if run == "" {
		run = "TestRules|TestFailBackBudget|TestReclaim"
	}
	cmd := exec.Command(goTool, "test", "-vet=off", "-run", "^("+run+")$", ".")
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "POLICY_MUTANT=1", "GOFLAGS=", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	switch {
	case m.old == "" && err != nil:
		t.Fatalf("the copy itself fails:\n%s", out)
	case m.old != "" && err == nil:
		t.Fatalf("without the guard %s still passes", m.run)
	case m.old != "" && !strings.Contains(string(out), "--- FAIL"):
		t.Fatalf("the mutant does not build:\n%s", out)
	}
}

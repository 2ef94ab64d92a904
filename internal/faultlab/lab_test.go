package faultlab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay/relays"
	"plovershore/internal/faultlab/stub"
)

// With one of these variables in its environment, the test binary runs as a stub
// relay, or as a lab that writes its report to the folder in the variable.
const (
	stubEnv = "FAULTLAB_TEST_STUB"
	labEnv  = "FAULTLAB_TEST_LAB"
)

func TestMain(m *testing.M) {
	switch {
	case len(os.Args) == 3 && os.Args[1] == SimRelayCommand:
		if err := relays.Main(context.Background(), os.Args[2], os.Stdout, os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	case os.Getenv(stubEnv) != "":
		os.Exit(stub.Main(os.Getenv))
	case os.Getenv(labEnv) != "":
		s := scenario.Default()
		s.Seconds = 600
		Run(context.Background(), Options{Scenario: &s, Seed: 1, Out: os.Getenv(labEnv), Program: os.Args[0], Env: []string{stubEnv + "=1"}})
		os.Exit(0)
	}
	flag.Parse()
	flag.Set("test.parallel", "16") // the labs mostly wait, so many run concurrently
	os.Exit(m.Run())
}

// stubScenario is the first part of the stub's scenarios: a small fleet and a short
// load.
const stubScenario = `
seconds = 4
[fleet]
relays = 2
memory_mb = 64
sockets = 256
disk_mb = 1
[partners]
endpoints = 8
destinations = 4
[discovery]
late = 0.1
[load]
rate = 60
`

// runScenario runs a scenario. A run in which the lab was late proves nothing, so it is
// repeated, up to three times.
func runScenario(t *testing.T, options Options) *Result {
	t.Helper()
	for range 4 {
		options.Out = t.TempDir()
		res, err := Run(t.Context(), options)
		if err == nil {
			return res
		}
		if !errors.Is(err, ErrLate) {
			t.Fatalf("seed %d: %v", options.Seed, err)
		}
		t.Logf("seed %d: %v: the run is repeated", options.Seed, err)
	}
	t.Fatalf("seed %d: the lab was late in every run: this machine is too busy", options.Seed)
	return nil
}

// runStub runs a scenario with stub relays that have the given defect.
func runStub(t *testing.T, defect stub.Defect, text string) *Result {
	t.Helper()
	s, err := scenario.Parse("defect.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return runScenario(t, Options{Scenario: s, Seed: 7, Program: os.Args[0], Env: []string{stubEnv + "=1", stub.DefectEnv + "=" + string(defect)}})
}

// TestCheckerDetectsEachStubDefect runs stub relays with one defect at a time. The
// checker must report the rule that the defect violates, and no rule that it cannot
// violate.
func TestCheckerDetectsEachStubDefect(t *testing.T) {
	t.Parallel()
	tightLimits := "[[fault]]\nkind = \"limits\"\nat = 0\nfor = 60\nfactor = 0.1\n"
	failingCalls := "[[fault]]\nkind = \"fail\"\nat = 1\nfor = 2\nfactor = 0.45\n" // a fraction below 0.5 does not count as an outage
	lostResponses := "[[fault]]\nkind = \"lose\"\nat = 0\nfor = 60\nfactor = 1\n"
	outage := "[[fault]]\nkind = \"fail\"\nat = 1\nfor = 2\nfactor = 1\n"
	drainScenario := strings.Replace(stubScenario, "seconds = 4", "seconds = 8", 1) + "[[fault]]\nkind = \"drain\"\nat = 1\nfor = 7\nshare = 0.5\n"
	invalidPeers := "[bad_peers]\nevery = 0.3\n"
	for _, test := range []struct {
		defect        stub.Defect
		extraScenario string
		mayViolate    []checker.Rule // rules that the defect may violate; it must violate the first
	}{
		// Without a defect, no rule may be violated.
		{"", "[bad_peers]\nevery = 0.3\n[[fault]]\nkind = \"fail\"\nat = 1\nfor = 2\nfactor = 0.3\n[[fault]]\nkind = \"hup\"\nat = 2\n", nil},
		{stub.Drop, "", []checker.Rule{"end"}},
		{stub.Late, tightLimits, []checker.Rule{"end"}},
		{stub.Repeat, "", []checker.Rule{"repeat", "effect"}},
		{stub.ReturnUnsafe, failingCalls, []checker.Rule{"repeat"}},
		{stub.SecondCopy, "", []checker.Rule{"one-out"}},
		{stub.Thirteen, lostResponses, []checker.Rule{"attempts"}},
		{stub.IgnoreWait, tightLimits, []checker.Rule{"wait"}},
		{stub.IgnoreDrain, drainScenario, []checker.Rule{"drain"}},
		{stub.AfterEnd, "", []checker.Rule{"after-end"}},
		{stub.BusySent, "", []checker.Rule{"refused"}},
		{stub.AnswerTwice, "", []checker.Rule{"answer"}},
		{stub.WrongPlace, "", []checker.Rule{"form"}},
		{stub.Altered, "", []checker.Rule{"form"}},
		{stub.Leak, "", []checker.Rule{"limits"}},
		{stub.LeakFiles, "", []checker.Rule{"limits"}},
		{stub.FillDisk, "", []checker.Rule{"limits"}},
		{stub.SlowTerm, "", []checker.Rule{"term"}},
		{stub.HangUpExit, "[[fault]]\nkind = \"hup\"\nat = 2\n", []checker.Rule{"crash", "end"}},
		{stub.IgnorePeers, invalidPeers, []checker.Rule{"peer"}},
		{stub.Topple, outage, []checker.Rule{"topple"}},
	} {
		t.Run("defect "+string(test.defect), func(t *testing.T) {
			t.Parallel()
			text := stubScenario + test.extraScenario
			if strings.HasPrefix(test.extraScenario, "\nseconds") { // a whole scenario, which holds stubScenario already
				text = test.extraScenario
			}
			verdict := runStub(t, test.defect, text).Verdict
			violated := slices.Sorted(maps.Keys(verdict.Counts))
			for _, rule := range violated {
				if !slices.Contains(test.mayViolate, rule) {
					t.Errorf("rule %s violated, which the defect must not do", rule)
				}
			}
			if len(test.mayViolate) > 0 && verdict.Counts[test.mayViolate[0]] == 0 {
				t.Errorf("rule %s not violated; checks by rule: %v", test.mayViolate[0], verdict.Checked)
			}
			if t.Failed() {
				for _, violation := range verdict.Violations {
					t.Log(violation)
				}
			}
		})
	}
}

// buildPrograms builds the programs that the lab runs into one folder, once for all
// tests.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "faultlab")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "plovershore/cmd/relay", "plovershore/cmd/registry").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// TestRelayViolatesNoRuleInScenarios runs scenarios with the real programs. No rule may
// be violated, and the rules that a scenario is about must have been checked.
func TestRelayViolatesNoRuleInScenarios(t *testing.T) {
	t.Parallel()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	for name, extraRules := range map[string][]checker.Rule{"smoke": nil, "restarts": nil, "cut": nil,
		// Hard cases 1, 2 and 9 of the list service, with real processes: the leader is killed, cut off, or suspended past an election.
		"registry-leader-loss": {"list", "linear"}, "registry-minority": {"list", "linear"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.LoadFile(filepath.Join("..", "..", "lab", "scenarios", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			res := runScenario(t, Options{Scenario: s, Seed: 1, Program: filepath.Join(dir, "relay"), Registry: filepath.Join(dir, "registry")})
			for _, violation := range res.Verdict.Violations {
				t.Errorf("seed 1: %v", violation)
			}
			for _, rule := range append([]checker.Rule{"end", "repeat", "one-out", "attempts", "limits", "start", "term"}, extraRules...) {
				if res.Verdict.Checked[rule] == 0 {
					t.Errorf("rule %s was never checked", rule)
				}
			}
		})
	}
}

func waitFor(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if isMet() {
			return
		}
	}
	t.Fatalf("not reached in 30 s: %s", condition)
}

// TestRelaysEndWhenLabIsKilled kills a lab by SIGKILL, after which none of its relays
// may go on running.
func TestRelaysEndWhenLabIsKilled(t *testing.T) {
	t.Parallel()
	out := t.TempDir()
	lab := exec.Command(os.Args[0])
	lab.Env = append(os.Environ(), labEnv+"="+out)
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	defer lab.Wait()
	defer lab.Process.Kill()
	pids := map[int]bool{}
	waitFor(t, "three relays are ready, or the lab has three child processes", func() bool {
		ready := 0
		history.Read(filepath.Join(out, "history.jsonl"), func(e history.Event) {
			if e.Kind == history.ProcessReady {
				ready++
				pids[e.PID] = true
			}
		})
		running := 0 // the history is buffered and may lack a relay, so the lab's child processes count as well
		for _, pid := range childPIDs(lab.Process.Pid) {
			pids[pid] = true
			running++
		}
		return ready >= 3 || running >= 3
	})
	lab.Process.Kill()
	for pid := range pids {
		waitFor(t, fmt.Sprintf("process %d has ended", pid), func() bool { return syscall.Kill(pid, 0) != nil || isZombie(pid) })
	}
}

func childPIDs(pid int) (all []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, path := range tasks {
		text, _ := os.ReadFile(path)
		for _, field := range strings.Fields(string(text)) {
			var child int
			fmt.Sscan(field, &child)
			all = append(all, child)
		}
	}
	return all
}

func isZombie(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(text), ") Z ")
}

// TestRunCancelledEarlyViolatesNoRule cancels a run at several times: while the relays
// start, and under load. The run must end with a verdict without violations, or with
// the error that the relays were not ready yet.
func TestRunCancelledEarlyViolatesNoRule(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse("early.toml", []byte(strings.Replace(stubScenario, "seconds = 4", "seconds = 600", 1)))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), after)
			defer cancel()
			res, err := Run(ctx, Options{Scenario: s, Seed: 3, Out: t.TempDir(), Program: os.Args[0], MaxLateness: time.Minute, Env: []string{stubEnv + "=1"}})
			if err != nil && !strings.Contains(err.Error(), "stopped before the relays were ready") {
				t.Fatal(err)
			}
			if res != nil && !res.Verdict.OK() {
				t.Errorf("violations: %v", res.Verdict.Violations)
			}
		})
	}
}

// TestRunFailsWhenRelayDoesNotStart runs a relay program that ends at once; the error
// must say that it did not start.
func TestRunFailsWhenRelayDoesNotStart(t *testing.T) {
	t.Parallel()
	s := scenario.Default()
	_, err := Run(t.Context(), Options{Scenario: &s, Seed: 1, Out: t.TempDir(), Program: "/bin/false"})
	if err == nil || !strings.Contains(err.Error(), "did not start") {
		t.Fatalf("got error %v, want one that says that the relay did not start", err)
	}
}

// TestPlanDependsOnlyOnScenarioAndSeed plans each scenario twice with one seed, for which
// the plans must be equal. A plan whose text contains "share" must differ from that with
// another seed; Step.String writes no such text at present.
func TestPlanDependsOnlyOnScenarioAndSeed(t *testing.T) {
	files, _ := filepath.Glob(filepath.Join("..", "..", "lab", "scenarios", "*.toml"))
	if len(files) < 8 {
		t.Fatalf("found %d scenarios, want at least 8", len(files))
	}
	for _, path := range files {
		s, err := scenario.LoadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		first, again, otherSeed := fmt.Sprint(Plan(s, 5)), fmt.Sprint(Plan(s, 5)), fmt.Sprint(Plan(s, 6))
		if first != again {
			t.Errorf("%s: two plans with one seed differ", path)
		}
		if strings.Contains(string(first), "share") && first == otherSeed {
			t.Errorf("%s: plans with different seeds are equal", path)
		}
	}
}

// TestFortyRelaysStartAndEndInTime runs 40 relay processes on this machine. All must
// start and end as the rules say, and the lab must not be late.
func TestFortyRelaysStartAndEndInTime(t *testing.T) {
	t.Parallel()
	s, err := scenario.Parse("forty.toml", []byte("seconds = 3\n[fleet]\nrelays = 40\n[partners]\nendpoints = 8\ndestinations = 4\n[load]\nrate = 100\n[[fault]]\nkind = \"term\"\nat = 1\nshare = 0.3\nfor = 0.1\n"))
	if err != nil {
		t.Fatal(err)
	}
	res := runScenario(t, Options{Scenario: s, Seed: 1, Program: os.Args[0], Env: []string{stubEnv + "=1"}})
	if res.Verdict.Checked["start"] < 40 || res.Verdict.Counts["crash"]+res.Verdict.Counts["term"]+res.Verdict.Counts["start"] > 0 {
		t.Errorf("violations %v, checks by rule %v", res.Verdict.Violations, res.Verdict.Checked)
	}
}

// TestConcurrentLabsClaimDifferentAddresses claims an address while another lab has
// one; the two must differ.
func TestConcurrentLabsClaimDifferentAddresses(t *testing.T) {
	firstIP, firstLock, err := claimAddress()
	if err != nil {
		t.Fatal(err)
	}
	defer firstLock.Close()
	secondIP, secondLock, err := claimAddress()
	if err != nil {
		t.Fatal(err)
	}
	defer secondLock.Close()
	if firstIP == secondIP {
		t.Errorf("both labs got %s", firstIP)
	}
}

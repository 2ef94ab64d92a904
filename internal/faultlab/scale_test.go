package faultlab

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
)

// TestScaleSmokeScenarioViolatesNoRule plays the scale scenario at a small size, with real processes of
// relays, nodes and agents, and applies the checker's rules.
func TestScaleSmokeScenarioViolatesNoRule(t *testing.T) {
	t.Parallel()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.LoadFile(filepath.Join("..", "..", "lab", "scenarios", "scale-smoke.toml"))
	if err != nil {
		t.Fatal(err)
	}
	// Nothing is measured here: that the machine is busy voids no rule.
	res := runScenario(t, Options{Scenario: s, Seed: 1, Program: filepath.Join(dir, "relay"), Registry: filepath.Join(dir, "registry"),
		SimRelay: os.Args[0], MaxLateness: 10 * time.Second})
	if !res.Verdict.OK() {
		t.Errorf("seed 1: %v", res.Verdict.Violations)
	}
	for _, rule := range []checker.Rule{"start", "list", "change", "end"} {
		if res.Verdict.Checked[rule] == 0 {
			t.Errorf("seed 1: rule %s was never looked at", rule)
		}
	}
	delays := map[string]ScaleDelay{}
	for _, delay := range res.Scale.Delays {
		if delays[delay.Name] = delay; delay.Missing > 0 || delay.Count == 0 {
			t.Errorf("seed 1: %+v", delay)
		}
	}
	zoneMembers := s.Scale.Members / len(s.Fleet.Zones)
	if got := delays["a zone back, each relay"].Count; got != zoneMembers*s.Scale.Relays {
		t.Errorf("seed 1: %d members of the zone came back over all relays, want %d", got, zoneMembers*s.Scale.Relays)
	}
	var table bytes.Buffer
	res.Scale.Print(&table)
	for _, want := range []string{simRelayRole, realRelayRole, operatedRelayRole, "hollow beside real, CPU", "peak memory", "agent of one relay", "list service's node"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
}

// TestScaleCheckDetectsEachViolation violates one rule of a simulated relay at a time.
func TestScaleCheckDetectsEachViolation(t *testing.T) {
	changes := []scaleChange{{Key: 1, RequestedAt: 10}, {Key: 2, RequestedAt: 20}}
	validResult := func() *simrelay.RelayResult {
		return &simrelay.RelayResult{Name: "h1", Hash: 7, Members: 3, CompleteLists: 1, Changes: []simrelay.AppliedChange{{Key: 1, At: 11}, {Key: 2, At: 21}},
			Counts: simrelay.Counts{Accepted: 4, Delivered: 2, Returned: 1, Failed: 1}}
	}
	for _, test := range []struct {
		name  string
		rule  checker.Rule
		alter func(*simrelay.RelayResult)
	}{
		{"sound", "", func(*simrelay.RelayResult) {}},
		{"another list", "list", func(result *simrelay.RelayResult) { result.Hash = 8 }},
		{"never heard", "change", func(result *simrelay.RelayResult) { result.Changes = result.Changes[:1] }},
		{"heard twice", "change", func(result *simrelay.RelayResult) { result.Changes = append(result.Changes, result.Changes[1]) }},
		{"out of order", "change", func(result *simrelay.RelayResult) {
			result.Changes[0], result.Changes[1] = result.Changes[1], result.Changes[0]
		}},
		{"back in revisions", "change", func(result *simrelay.RelayResult) { result.OutOfOrder = []string{"a change to revision 3 after 4"} }},
		{"no end", "end", func(result *simrelay.RelayResult) { result.Counts.Delivered, result.Counts.InFlight = 1, 1 }},
		{"an end too few", "end", func(result *simrelay.RelayResult) { result.Counts.Delivered = 1 }},
		{"two ends", "end", func(result *simrelay.RelayResult) { result.Counts.DuplicateCompletions = 1 }},
		{"owed", "end", func(result *simrelay.RelayResult) { result.Pending = 1 }},
		{"a log that cannot be read", "end", func(result *simrelay.RelayResult) { result.LogErr = "no such file" }},
	} {
		check, result := newScaleCheck("", 0), validResult()
		test.alter(result)
		check.checkList(result.Name, result.Hash, 7, result.Members)
		check.checkChanges(result, changes)
		check.checkMessages(result)
		for rule := range check.verdict.Counts {
			if rule != test.rule {
				t.Errorf("%s: rule %s broken too: %v", test.name, rule, check.verdict.Violations)
			}
		}
		if test.rule != "" && check.verdict.Counts[test.rule] == 0 {
			t.Errorf("%s: rule %s not broken", test.name, test.rule)
		}
	}
}

// TestScaleRunIsVoidWhenLabOrSimulatedRelaysAreLate: of the lab as of the simulated relays.
func TestScaleRunIsVoidWhenLabOrSimulatedRelaysAreLate(t *testing.T) {
	for _, test := range []struct {
		labLateness, simLateness time.Duration
		wantVoid                 bool
	}{{time.Millisecond, time.Millisecond, false}, {time.Second, time.Millisecond, true}, {time.Millisecond, time.Second, true}} {
		s := scenario.Default()
		r := &scaleRun{opts: Options{Out: t.TempDir(), MaxLateness: MaxLateness}, scenario: &s, check: newScaleCheck("", 0), lateness: newLateness()}
		r.dir = r.opts.Out
		r.lateness.record(test.labLateness)
		r.results.SimLateP99 = test.simLateness
		res, err := r.result()
		if errors.Is(err, ErrLate) != test.wantVoid || res == nil {
			t.Errorf("lab %v, simulated %v: %v", test.labLateness, test.simLateness, err)
		}
	}
}

// TestScaleRunNamesRelayThatDoesNotStart: a relay that does not start is named.
func TestScaleRunNamesRelayThatDoesNotStart(t *testing.T) {
	t.Parallel()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("x.toml", []byte("[registry]\nnodes = 1\nttl = 3\n[scale]\nrelays = 1\nprocesses = 1\nreal = 1\nagents = 1\nmembers = 10\n"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Run(t.Context(), Options{Scenario: s, Seed: 1, Out: t.TempDir(), Program: "/bin/false", Registry: filepath.Join(dir, "registry"), SimRelay: os.Args[0]})
	if err == nil || !strings.Contains(err.Error(), "n1") {
		t.Errorf("got %v, want an error that names the relay n1", err)
	}
}

// TestListHashIsSumOfMemberHashes: the hash that a simulated relay keeps up is the
// list's own.
func TestListHashIsSumOfMemberHashes(t *testing.T) {
	a := discovery.Member{ID: "a", HostPort: "127.0.0.1:1", Phase: discovery.Up, Size: 1}
	b := discovery.Member{ID: "b", HostPort: "127.0.0.1:2", Phase: discovery.Draining, Size: 1.5}
	removed := discovery.Member{ID: "c", Phase: discovery.Removed}
	if simrelay.ListHash([]discovery.Member{a, b, removed}) != simrelay.MemberHash(&b)+simrelay.MemberHash(&a) {
		t.Error("the hash of a list is not the sum of its members'")
	}
	if simrelay.MemberHash(&a) == simrelay.MemberHash(&b) {
		t.Error("two members of one hash")
	}
}

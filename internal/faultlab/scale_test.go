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

// TestScaleSmokeScenarioViolatesNoRule runs the scale scenario at a small size, with
// real processes of relays, nodes and agents, and applies the checker's rules.
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
	// The limit of lateness is high: the test measures nothing, and the rules hold on
	// a busy machine as well.
	res := runScenario(t, Options{Scenario: s, Seed: 1, Program: filepath.Join(dir, "relay"), Registry: filepath.Join(dir, "registry"),
		SimRelay: os.Args[0], MaxLateness: 10 * time.Second})
	if !res.Verdict.OK() {
		t.Errorf("seed 1: %v", res.Verdict.Violations)
	}
	for _, rule := range []checker.Rule{"start", "list", "change", "end"} {
		if res.Verdict.Checked[rule] == 0 {
			t.Errorf("seed 1: rule %s was never checked", rule)
		}
	}
	delays := map[string]ScaleDelay{}
	for _, delay := range res.Scale.Delays {
		if delays[delay.Name] = delay; delay.Missing > 0 || delay.Count == 0 {
			t.Errorf("seed 1: changes are missing from a delay: %+v", delay)
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
			t.Errorf("the table lacks %q:\n%s", want, table.String())
		}
	}
}

// TestScaleCheckDetectsEachViolation alters a valid result of a simulated relay so that
// it violates one rule; the check must report that rule and no other.
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
		{"valid", "", func(*simrelay.RelayResult) {}},
		{"different list", "list", func(result *simrelay.RelayResult) { result.Hash = 8 }},
		{"change not applied", "change", func(result *simrelay.RelayResult) { result.Changes = result.Changes[:1] }},
		{"change applied twice", "change", func(result *simrelay.RelayResult) { result.Changes = append(result.Changes, result.Changes[1]) }},
		{"changes applied out of order", "change", func(result *simrelay.RelayResult) {
			result.Changes[0], result.Changes[1] = result.Changes[1], result.Changes[0]
		}},
		{"revision decreased", "change", func(result *simrelay.RelayResult) { result.OutOfOrder = []string{"a change to revision 3 after 4"} }},
		{"message not completed", "end", func(result *simrelay.RelayResult) { result.Counts.Delivered, result.Counts.InFlight = 1, 1 }},
		{"message lost", "end", func(result *simrelay.RelayResult) { result.Counts.Delivered = 1 }},
		{"message completed twice", "end", func(result *simrelay.RelayResult) { result.Counts.DuplicateCompletions = 1 }},
		{"message pending in the log", "end", func(result *simrelay.RelayResult) { result.Pending = 1 }},
		{"unreadable log", "end", func(result *simrelay.RelayResult) { result.LogErr = "no such file" }},
	} {
		check, result := newScaleCheck("", 0), validResult()
		test.alter(result)
		check.checkList(result.Name, result.Hash, 7, result.Members)
		check.checkChanges(result, changes)
		check.checkMessages(result)
		for rule := range check.verdict.Counts {
			if rule != test.rule {
				t.Errorf("%s: rule %s violated, which the case must not do: %v", test.name, rule, check.verdict.Violations)
			}
		}
		if test.rule != "" && check.verdict.Counts[test.rule] == 0 {
			t.Errorf("%s: rule %s not violated", test.name, test.rule)
		}
	}
}

// TestScaleRunIsVoidWhenLabOrSimulatedRelaysAreLate checks that a run is void if either
// the lab or the simulated relays were later than the limit.
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
			t.Errorf("lateness of the lab %v, of the simulated relays %v: got error %v", test.labLateness, test.simLateness, err)
		}
	}
}

// TestScaleRunNamesRelayThatDoesNotStart runs a relay program that ends at once; the
// run must end with an error that names the relay.
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

// TestListHashIsSumOfMemberHashes guards the hash that a simulated relay updates change
// by change: it must equal that of the complete list, which leaves out removed members.
func TestListHashIsSumOfMemberHashes(t *testing.T) {
	a := discovery.Member{ID: "a", HostPort: "127.0.0.1:1", Phase: discovery.Up, Size: 1}
	b := discovery.Member{ID: "b", HostPort: "127.0.0.1:2", Phase: discovery.Draining, Size: 1.5}
	removed := discovery.Member{ID: "c", Phase: discovery.Removed}
	if simrelay.ListHash([]discovery.Member{a, b, removed}) != simrelay.MemberHash(&b)+simrelay.MemberHash(&a) {
		t.Error("the hash of a list is not the sum of its members' hashes")
	}
	if simrelay.MemberHash(&a) == simrelay.MemberHash(&b) {
		t.Error("two different members have the same hash")
	}
}

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

// TestScaleSmoke plays the scale scenario at a small size, with real processes of
// relays, nodes and agents, and applies the checker's rules.
func TestScaleSmoke(t *testing.T) {
	t.Parallel()
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.LoadFile(filepath.Join("..", "..", "lab", "scenarios", "scale-smoke.toml"))
	if err != nil {
		t.Fatal(err)
	}
	// Nothing is measured here: that the machine is busy voids no rule.
	res := play(t, Options{Scenario: s, Seed: 1, Program: filepath.Join(dir, "relay"), Registry: filepath.Join(dir, "registry"),
		SimRelay: os.Args[0], MaxLateness: 10 * time.Second})
	if !res.Verdict.OK() {
		t.Errorf("seed 1: %v", res.Verdict.Violations)
	}
	for _, rule := range []checker.Rule{"start", "list", "change", "end"} {
		if res.Verdict.Checked[rule] == 0 {
			t.Errorf("seed 1: rule %s was never looked at", rule)
		}
	}
	force := map[string]ScaleDelay{}
	for _, f := range res.Scale.Delays {
		if force[f.Name] = f; f.Missing > 0 || f.Count == 0 {
			t.Errorf("seed 1: %+v", f)
		}
	}
	zone := s.Scale.Members / len(s.Fleet.Zones)
	if got := force["a zone back, each relay"].Count; got != zone*s.Scale.Relays {
		t.Errorf("seed 1: %d members of the zone came back over all relays, want %d", got, zone*s.Scale.Relays)
	}
	var table bytes.Buffer
	res.Scale.Print(&table)
	for _, want := range []string{simRelayRole, realRelayRole, operatedRelayRole, "hollow beside real, CPU", "peak memory", "agent of one relay", "list service's node"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
}

// TestScaleCheckCatchesEachViolation violates one rule of a simulated relay at a time.
func TestScaleCheckCatchesEachViolation(t *testing.T) {
	made := []scaleChange{{Key: 1, RequestedAt: 10}, {Key: 2, RequestedAt: 20}}
	sound := func() *simrelay.RelayResult {
		return &simrelay.RelayResult{Name: "h1", Hash: 7, Members: 3, CompleteLists: 1, Changes: []simrelay.AppliedChange{{Key: 1, At: 11}, {Key: 2, At: 21}},
			Counts: simrelay.Counts{Accepted: 4, Delivered: 2, Returned: 1, Failed: 1}}
	}
	for _, x := range []struct {
		name  string
		rule  checker.Rule
		spoil func(*simrelay.RelayResult)
	}{
		{"sound", "", func(*simrelay.RelayResult) {}},
		{"another list", "list", func(r *simrelay.RelayResult) { r.Hash = 8 }},
		{"never heard", "change", func(r *simrelay.RelayResult) { r.Changes = r.Changes[:1] }},
		{"heard twice", "change", func(r *simrelay.RelayResult) { r.Changes = append(r.Changes, r.Changes[1]) }},
		{"out of order", "change", func(r *simrelay.RelayResult) { r.Changes[0], r.Changes[1] = r.Changes[1], r.Changes[0] }},
		{"back in revisions", "change", func(r *simrelay.RelayResult) { r.OutOfOrder = []string{"a change to revision 3 after 4"} }},
		{"no end", "end", func(r *simrelay.RelayResult) { r.Counts.Delivered, r.Counts.InFlight = 1, 1 }},
		{"an end too few", "end", func(r *simrelay.RelayResult) { r.Counts.Delivered = 1 }},
		{"two ends", "end", func(r *simrelay.RelayResult) { r.Counts.DuplicateCompletions = 1 }},
		{"owed", "end", func(r *simrelay.RelayResult) { r.Pending = 1 }},
		{"a log that cannot be read", "end", func(r *simrelay.RelayResult) { r.LogErr = "no such file" }},
	} {
		j, r := newScaleCheck("", 0), sound()
		x.spoil(r)
		j.checkList(r.Name, r.Hash, 7, r.Members)
		j.checkChanges(r, made)
		j.checkMessages(r)
		for rule := range j.verdict.Counts {
			if rule != x.rule {
				t.Errorf("%s: rule %s broken too: %v", x.name, rule, j.verdict.Violations)
			}
		}
		if x.rule != "" && j.verdict.Counts[x.rule] == 0 {
			t.Errorf("%s: rule %s not broken", x.name, x.rule)
		}
	}
}

// TestScaleLatenessVoidsARun: of the lab as of the simulated relays.
func TestScaleLatenessVoidsARun(t *testing.T) {
	for _, x := range []struct {
		lab, simulated time.Duration
		void           bool
	}{{time.Millisecond, time.Millisecond, false}, {time.Second, time.Millisecond, true}, {time.Millisecond, time.Second, true}} {
		s := scenario.Default()
		r := &scaleRun{opts: Options{Out: t.TempDir(), MaxLateness: MaxLateness}, scenario: &s, check: newScaleCheck("", 0), lateness: newLateness()}
		r.dir = r.opts.Out
		r.lateness.record(x.lab)
		r.results.SimLateP99 = x.simulated
		res, err := r.result()
		if errors.Is(err, ErrLate) != x.void || res == nil {
			t.Errorf("lab %v, simulated %v: %v", x.lab, x.simulated, err)
		}
	}
}

// TestAScaleRunThatCannotStartEndsInTime: a relay that does not start is named.
func TestAScaleRunThatCannotStartEndsInTime(t *testing.T) {
	t.Parallel()
	dir, err := programs()
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

// TestListHashIsThatOfItsChanges: the hash that a simulated relay keeps up is the
// list's own.
func TestListHashIsThatOfItsChanges(t *testing.T) {
	a := discovery.Member{ID: "a", HostPort: "127.0.0.1:1", Phase: discovery.Up, Size: 1}
	b := discovery.Member{ID: "b", HostPort: "127.0.0.1:2", Phase: discovery.Draining, Size: 1.5}
	gone := discovery.Member{ID: "c", Phase: discovery.Removed}
	if simrelay.ListHash([]discovery.Member{a, b, gone}) != simrelay.MemberHash(&b)+simrelay.MemberHash(&a) {
		t.Error("the hash of a list is not the sum of its members'")
	}
	if simrelay.MemberHash(&a) == simrelay.MemberHash(&b) {
		t.Error("two members of one hash")
	}
}

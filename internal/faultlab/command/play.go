package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab"
	"plovershore/internal/faultlab/report"
	"plovershore/internal/faultlab/scenario"
)

// runFlags are the flags of all commands that run a scenario.
type runFlags struct {
	seed        uint64
	out         string
	json        string
	retainDirs  bool
	maxLateness time.Duration
	program     string
	registry    string
	controller  string
	first       string
}

func (f *runFlags) add(c *cobra.Command) {
	c.Flags().Uint64Var(&f.seed, "seed", 1, "of everything that is drawn; the same seed plays the same schedule")
	c.Flags().StringVar(&f.out, "out", "", "folder of the report (default: lab-out/NAME-SEED-TIME)")
	c.Flags().StringVar(&f.json, "json", "", "file to which the run's summary is added, for compare")
	c.Flags().DurationVar(&f.maxLateness, "late", faultlab.MaxLateness, "p99 of the lab's own lateness beyond which a run is void")
	c.Flags().BoolVar(&f.retainDirs, "keep", false, "keep the relays' folders as well")
	c.Flags().StringVar(&f.program, "relay", "", "the relay's program (default: relay beside this one)")
	c.Flags().StringVar(&f.first, "first", "", "a program that each relay runs first, such as an older one")
	addControllerFlags(c, &f.controller)
	c.Flags().StringVar(&f.registry, "registry", "", "the list service's program (default: registry beside this one)")
}

// addControllerFlags adds the flag that names the controllers' program, under its
// older name as well.
func addControllerFlags(c *cobra.Command, program *string) {
	const usage = "the controllers' program (default: controller beside this one)"
	c.Flags().StringVar(program, "controller", "", usage)
	c.Flags().StringVar(program, "warden", "", "an older name of --controller")
}

// findProgram returns the absolute path of a program: named, or the file defaultName in
// the directory of this program.
func findProgram(named, defaultName, flag string) (string, error) {
	path := named
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("where is %s: %w", defaultName, err)
		}
		path = filepath.Join(filepath.Dir(self), defaultName)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", usageError{fmt.Errorf("no %s to run at %s; build it, or name it by --%s", defaultName, path, flag)}
	}
	return filepath.Abs(path)
}

// Summary is one run as summary.json has it, and as compare reads it.
type Summary struct {
	*faultlab.Result
	Void  string        `json:"void,omitempty"` // why the run proves nothing
	Stats *report.Stats `json:"stats"`
}

// resolvePrograms sets the paths of the programs that a scenario needs.
func (f *runFlags) resolvePrograms(s *scenario.Scenario, o *faultlab.Options) (err error) {
	if o.Program, err = findProgram(f.program, "relay", "relay"); err != nil {
		return err
	}
	if s.Registry.Nodes > 0 {
		if o.Registry, err = findProgram(f.registry, "registry", "registry"); err != nil {
			return err
		}
	}
	if s.Registry.Nodes > 0 && s.Registry.Controllers > 0 {
		if o.Controller, err = findProgram(f.controller, "controller", "controller"); err != nil {
			return err
		}
	}
	if s.Scale.Relays > 0 {
		if o.SimRelay, err = os.Executable(); err != nil {
			return fmt.Errorf("where is this program: %w", err)
		}
	}
	return nil
}

// runScenario runs one scenario and writes its report. For a void run it returns both a
// summary and an error.
func (f *runFlags) runScenario(c *cobra.Command, s *scenario.Scenario, onStatus func(*faultlab.Status)) (*Summary, error) {
	o := faultlab.Options{Scenario: s, Seed: f.seed, Out: f.out, First: f.first, RetainDirs: f.retainDirs, MaxLateness: f.maxLateness, OnStatus: onStatus}
	if err := f.resolvePrograms(s, &o); err != nil {
		return nil, err
	}
	if o.Out == "" {
		o.Out = filepath.Join("lab-out", fmt.Sprintf("%s-%d-%s", s.Name, f.seed, time.Now().Format("20060102T150405.000")))
	}
	result, runErr := faultlab.Run(c.Context(), o)
	if result == nil {
		return nil, runErr
	}
	summary := &Summary{Result: result}
	if runErr != nil {
		summary.Void = runErr.Error()
	}
	if result.Scale != nil {
		summary.Stats = &report.Stats{OwnFigures: result.Scale.Figures()}
		return summary, errors.Join(runErr, f.writeSummary(o.Out, summary))
	}
	var err error
	if summary.Stats, err = report.Collect(filepath.Join(o.Out, faultlab.HistoryFile)); err != nil {
		return nil, err
	}
	page := report.Page{Title: s.Name, Seed: f.seed, Verdict: result.Verdict, Plan: result.Plan, Stats: summary.Stats,
		Late: fmt.Sprintf("p99 %v, at most %v", result.LateP99, result.LateMax)}
	if err := report.Write(o.Out, page); err != nil {
		return nil, err
	}
	if err := f.writeSummary(o.Out, summary); err != nil {
		return nil, err
	}
	return summary, runErr
}

// writeSummary writes a run's summary to its folder, and adds it to the file that
// --json names.
func (f *runFlags) writeSummary(out string, summary *Summary) error {
	text, err := json.MarshalIndent(summary, "", " ")
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "summary.json"), text, 0o644); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if f.json == "" {
		return nil
	}
	return addSummary(f.json, summary)
}

// printVerdict prints the outcome of a run and returns the error for the exit code.
func printVerdict(w io.Writer, s *Summary, err error) error {
	if s == nil {
		return err
	}
	for _, step := range s.Plan {
		fmt.Fprintln(w, "  fault", step)
	}
	for _, violation := range s.Verdict.Violations {
		fmt.Fprintln(w, "BROKEN", violation)
	}
	if s.Scale != nil {
		fmt.Fprintf(w, "%s seed %d in %.0f s; lab late p99 %v\n", s.Name, s.Seed, s.Took.Seconds(), s.LateP99)
		s.Scale.Print(w)
		fmt.Fprintln(w, "judged:", s.Verdict.Checked, "excused:", s.Verdict.Excused)
		return printOutcome(w, s, err)
	}
	stats := s.Stats
	fmt.Fprintf(w, "%s seed %d: worth served %.3f (worst 10 s %.3f), %d messages, %d delivered, %d refused, %d given up, p50 %.0f ms, p99 %.0f ms; lab late p99 %v\n",
		s.Name, s.Seed, stats.ValueServed, stats.WorstWindow, stats.Messages, stats.Delivered, stats.Rejected, stats.Failed, stats.P50MS, stats.P99MS, s.LateP99)
	fmt.Fprintln(w, "report:", filepath.Join(s.Out, "report.html"))
	return printOutcome(w, s, err)
}

// printOutcome prints whether all rules were kept, and returns the error for the exit
// code.
func printOutcome(w io.Writer, s *Summary, err error) error {
	switch {
	case err != nil:
		fmt.Fprintln(w, "VOID:", err)
		return err
	case !s.Verdict.OK():
		var rules []string
		for rule, n := range s.Verdict.Counts {
			rules = append(rules, fmt.Sprintf("%s (%d)", rule, n))
		}
		slices.Sort(rules)
		fmt.Fprintln(w, "BROKEN:", strings.Join(rules, ", "))
		return errViolated
	}
	fmt.Fprintln(w, "KEPT: every promise")
	return nil
}

func statusPrinter(w io.Writer) func(*faultlab.Status) {
	return func(s *faultlab.Status) {
		fmt.Fprintf(w, "%5.0f s  served %d  waiting %d  refused %d  given up %d  p50 %.0f ms  p99 %.0f ms  relays %d/%d  faults %d\n", s.Elapsed.Seconds(),
			s.Delivered, s.Pending, s.Rejected, s.Failed, s.P50.Seconds()*1e3, s.P99.Seconds()*1e3, s.Up, s.Fleet, s.Faults)
	}
}

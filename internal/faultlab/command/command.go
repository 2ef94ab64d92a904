// Package command is the lab's command line. It promises the exit codes that
// its help names and leaves all work to the packages below it.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab"
	"plovershore/internal/faultlab/report"
	"plovershore/internal/faultlab/scenario"
)

// Exit codes.
const (
	Passed   = 0 // every promise was kept
	Violated = 1 // a promise was broken
	Usage    = 2 // the command line or the scenario cannot be used
	NotRun   = 3 // it could not be run: a port taken, a process that does not start, the lab itself late
)

var errViolated = errors.New("a promise was broken")

// usageError is a command line or a scenario that cannot be used.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// Main runs the command line and gives the exit code. ctx ends the load of a
// run early.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "faultlab", Short: "Run many relays, break things between them, and judge what they did",
		Long: "Run many relays, break things between them, and judge what they did.\n\nExit codes: 0 every promise was kept; 1 a promise was broken; 2 bad usage or scenario;\n" +
			"3 it could not be run (a port taken, a process that does not start, the lab itself late).",
		SilenceErrors: true, SilenceUsage: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(upCommand(), runCommand(), listCommand(), checkCommand(), compareCommand(), sweepCommand(), benchCommand(), simRelayCommand())
	err := root.ExecuteContext(ctx)
	var bad *scenario.Error
	var usage usageError
	switch {
	case err == nil:
		return Passed
	case errors.Is(err, errViolated):
		return Violated
	case errors.As(err, &bad), errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintln(errOut, "faultlab:", err)
		return Usage
	}
	fmt.Fprintln(errOut, "faultlab:", err)
	return NotRun
}

// exactly is cobra.ExactArgs with an exit code for bad usage.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// runFlags are the flags of all commands that run something.
type runFlags struct {
	seed        uint64
	out         string
	json        string
	keepDirs    bool
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
	c.Flags().BoolVar(&f.keepDirs, "keep", false, "keep the relays' folders as well")
	c.Flags().StringVar(&f.program, "relay", "", "the relay's program (default: relay beside this one)")
	c.Flags().StringVar(&f.first, "first", "", "a program that each relay runs first, such as an older one")
	c.Flags().StringVar(&f.controller, "warden", "", "the wardens' program (default: controller beside this one)")
	c.Flags().StringVar(&f.registry, "registry", "", "the list service's program (default: registry beside this one)")
}

// findProgram gives the path of a program: as it is named, or beside this one.
func findProgram(named, beside, flag string) (string, error) {
	path := named
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("where is %s: %w", beside, err)
		}
		path = filepath.Join(filepath.Dir(self), beside)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", usageError{fmt.Errorf("no %s to run at %s; build it, or name it by --%s", beside, path, flag)}
	}
	return filepath.Abs(path)
}

// Summary is one run as summary.json and compare have it.
type Summary struct {
	*faultlab.Result
	Void  string        `json:"void,omitempty"` // why the run proves nothing
	Stats *report.Stats `json:"stats"`
}

// play runs one scenario, writes its report, and says how it went.
func (f *runFlags) play(c *cobra.Command, s *scenario.Scenario, watch func(*faultlab.Status)) (*Summary, error) {
	program, err := findProgram(f.program, "relay", "relay")
	if err != nil {
		return nil, err
	}
	registry, warden := "", ""
	if s.Registry.Nodes > 0 {
		if registry, err = findProgram(f.registry, "registry", "registry"); err != nil {
			return nil, err
		}
		if s.Registry.Controllers > 0 {
			if warden, err = findProgram(f.controller, "controller", "warden"); err != nil {
				return nil, err
			}
		}
	}
	self := ""
	if s.Scale.Relays > 0 {
		if self, err = os.Executable(); err != nil {
			return nil, fmt.Errorf("where is this program: %w", err)
		}
	}
	out := f.out
	if out == "" {
		out = filepath.Join("lab-out", fmt.Sprintf("%s-%d-%s", s.Name, f.seed, time.Now().Format("20060102T150405.000")))
	}
	res, err := faultlab.Run(c.Context(), faultlab.Options{Scenario: s, Seed: f.seed, Out: out, Program: program, First: f.first, Registry: registry, Controller: warden, SimRelay: self, KeepDirs: f.keepDirs, MaxLateness: f.maxLateness, OnStatus: watch})
	if res == nil {
		return nil, err
	}
	sum := &Summary{Result: res}
	if err != nil {
		sum.Void = err.Error()
	}
	if res.Scale != nil {
		sum.Stats = &report.Stats{Own: res.Scale.Figures()}
		return sum, errors.Join(err, f.writeSummary(out, sum))
	}
	stats, serr := report.Collect(filepath.Join(out, "history.jsonl"))
	if serr != nil {
		return nil, serr
	}
	sum.Stats = stats
	if werr := report.Write(out, report.Page{Title: s.Name, Seed: f.seed, Verdict: res.Verdict, Plan: res.Plan, Stats: stats,
		Late: fmt.Sprintf("p99 %v, at most %v", res.LateP99, res.LateMax)}); werr != nil {
		return nil, werr
	}
	if werr := f.writeSummary(out, sum); werr != nil {
		return nil, werr
	}
	return sum, err
}

// writeSummary writes a run's summary to its folder, and adds it to the file of several.
func (f *runFlags) writeSummary(out string, sum *Summary) error {
	text, err := json.MarshalIndent(sum, "", " ")
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "summary.json"), text, 0o644); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if f.json == "" {
		return nil
	}
	return addSummary(f.json, sum)
}

// printVerdict prints what a run came to, and gives the error that its exit code is of.
func printVerdict(w io.Writer, s *Summary, err error) error {
	if s == nil {
		return err
	}
	for _, step := range s.Plan {
		fmt.Fprintln(w, "  fault", step)
	}
	for _, b := range s.Verdict.Violations {
		fmt.Fprintln(w, "BROKEN", b)
	}
	if s.Scale != nil {
		fmt.Fprintf(w, "%s seed %d in %.0f s; lab late p99 %v\n", s.Name, s.Seed, s.Took.Seconds(), s.LateP99)
		s.Scale.Print(w)
		fmt.Fprintln(w, "judged:", s.Verdict.Checked, "excused:", s.Verdict.Excused)
		return printOutcome(w, s, err)
	}
	st := s.Stats
	fmt.Fprintf(w, "%s seed %d: worth served %.3f (worst 10 s %.3f), %d messages, %d delivered, %d refused, %d given up, p50 %.0f ms, p99 %.0f ms; lab late p99 %v\n",
		s.Name, s.Seed, st.ValueServed, st.WorstWindow, st.Messages, st.Delivered, st.Rejected, st.Failed, st.P50MS, st.P99MS, s.LateP99)
	fmt.Fprintln(w, "report:", filepath.Join(s.Out, "report.html"))
	return printOutcome(w, s, err)
}

// printOutcome prints whether every promise was kept, and gives the error of the exit code.
func printOutcome(w io.Writer, s *Summary, err error) error {
	switch {
	case err != nil:
		fmt.Fprintln(w, "VOID:", err)
		return err
	case !s.Verdict.Passed():
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

func statusLine(w io.Writer) func(*faultlab.Status) {
	return func(s *faultlab.Status) {
		fmt.Fprintf(w, "%5.0f s  served %d  waiting %d  refused %d  given up %d  p50 %.0f ms  p99 %.0f ms  relays %d/%d  faults %d\n", s.Elapsed.Seconds(),
			s.Delivered, s.Pending, s.Rejected, s.Failed, s.P50.Seconds()*1e3, s.P99.Seconds()*1e3, s.Up, s.Fleet, s.Faults)
	}
}

func upCommand() *cobra.Command {
	var f runFlags
	var seconds float64
	c := &cobra.Command{Use: "up", Short: "Start a small fleet on this machine and show how it goes, until Ctrl-C", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			s := scenario.Default()
			s.Seconds = seconds
			fmt.Fprintf(c.OutOrStdout(), "%d relays, %d endpoints of %d destinations in zones %s, %.0f messages a second; Ctrl-C ends it with a report\n",
				s.Fleet.Relays, s.Upstreams.Endpoints, s.Upstreams.Destinations, strings.Join(s.Fleet.Zones, ", "), s.Load.Rate)
			sum, err := f.play(c, &s, statusLine(c.OutOrStdout()))
			return printVerdict(c.OutOrStdout(), sum, err)
		}}
	f.add(c)
	c.Flags().Float64Var(&seconds, "seconds", 7200, "end by itself after so long")
	return c
}

func runCommand() *cobra.Command {
	var f runFlags
	c := &cobra.Command{Use: "run FILE.toml", Short: "Run one scenario and judge it", Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.LoadFile(args[0])
			if err != nil {
				return err
			}
			sum, err := f.play(c, s, statusLine(c.OutOrStdout()))
			return printVerdict(c.OutOrStdout(), sum, err)
		}}
	f.add(c)
	return c
}

func listCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{Use: "list", Short: "List the scenarios of a folder", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
			if err != nil || len(files) == 0 {
				return usageError{fmt.Errorf("no scenarios in %s", folder)}
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, path := range files {
				s, err := scenario.LoadFile(path)
				if err != nil {
					return err
				}
				relays := s.Fleet.Relays
				if s.Scale.Relays > 0 {
					relays = s.Scale.Relays + s.Scale.Real
				}
				fmt.Fprintf(w, "%s\t%.0f s\t%d relays\t%s\n", path, s.Seconds, relays, s.About)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&folder, "dir", "lab/scenarios", "where they are")
	return c
}

func checkCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{Use: "check FILE.toml", Short: "Check a scenario and show its schedule; starts nothing", Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.LoadFile(args[0])
			if err != nil {
				return err
			}
			for _, step := range faultlab.Plan(s, seed) {
				fmt.Fprintln(c.OutOrStdout(), step)
			}
			fmt.Fprintln(c.OutOrStdout(), args[0]+": can be run")
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "of the schedule shown")
	return c
}

// addSummary adds a run to a file of several.
func addSummary(path string, s *Summary) error {
	all, err := readSummaries(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	text, err := json.MarshalIndent(append(all, s), "", " ")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	return os.Rename(path+".new", path)
}

// readSummaries reads a file that --json wrote, or a summary.json.
func readSummaries(path string) ([]*Summary, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var many []*Summary
	if json.Unmarshal(text, &many) == nil {
		return many, nil
	}
	one := &Summary{}
	if err := json.Unmarshal(text, one); err != nil || one.Stats == nil {
		return nil, usageError{fmt.Errorf("%s: neither a summary nor a file that --json wrote", path)}
	}
	return []*Summary{one}, nil
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A.json B.json", Short: "Set the figures of two files side by side", Args: exactly(2),
		RunE: func(c *cobra.Command, args []string) error {
			if ours, err := compareScale(c.OutOrStdout(), args[0], args[1]); ours {
				return err
			}
			var rows [2][]report.Row
			var runs [2][]*Summary
			for i, path := range args {
				all, err := readSummaries(path)
				if err != nil {
					return usageError{err}
				}
				var stats []*report.Stats
				for _, s := range all {
					stats = append(stats, s.Stats)
				}
				runs[i], rows[i] = all, report.Figures(stats)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintf(w, "figure\t%s (%d runs)\t%s (%d runs)\tB/A\n", args[0], len(runs[0]), args[1], len(runs[1]))
			for _, pair := range pairs(rows[0], rows[1]) {
				a, b := pair[0], pair[1]
				ma, _, _ := a.Mean()
				mb, _, _ := b.Mean()
				by := "-"
				if ma != 0 {
					by = fmt.Sprintf("%.3f", mb/ma)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", a.Name, spread(a), spread(b), by)
			}
			fmt.Fprintf(w, "runs with a broken promise\t%s\t%s\t\n", brokenRuns(runs[0]), brokenRuns(runs[1]))
			return w.Flush()
		}}
}

// pairs sets rows of one name side by side; where one side lacks it, its row has no
// values.
func pairs(a, b []report.Row) (out [][2]report.Row) {
	byName := map[string]report.Row{}
	for _, row := range b {
		byName[row.Name] = row
	}
	for _, row := range a {
		other, ok := byName[row.Name]
		if !ok {
			other = report.Row{Name: row.Name, Unit: row.Unit}
		}
		delete(byName, row.Name)
		out = append(out, [2]report.Row{row, other})
	}
	for _, row := range b {
		if _, left := byName[row.Name]; left {
			out = append(out, [2]report.Row{{Name: row.Name, Unit: row.Unit}, row})
		}
	}
	return out
}

func spread(r report.Row) string {
	if len(r.Values) == 0 {
		return "-"
	}
	m, low, high := r.Mean()
	if len(r.Values) < 2 {
		return strings.TrimSpace(fmt.Sprintf("%.4g %s", m, r.Unit))
	}
	return strings.TrimSpace(fmt.Sprintf("%.4g %s", m, r.Unit)) + fmt.Sprintf(" (%.4g to %.4g)", low, high)
}

func brokenRuns(all []*Summary) string {
	n, void := 0, 0
	for _, s := range all {
		switch {
		case s.Void != "":
			void++
		case !s.Verdict.Passed():
			n++
		}
	}
	if void > 0 {
		return fmt.Sprintf("%d of %d, %d void", n, len(all), void)
	}
	return fmt.Sprintf("%d of %d", n, len(all))
}

func sweepCommand() *cobra.Command {
	var f runFlags
	var set, seeds, figure string
	c := &cobra.Command{Use: "sweep FILE.toml --set key=a,b,c --seeds 1-5", Short: "Run a scenario over values of one key and over seeds: a table and a plot", Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			key, list, ok := strings.Cut(set, "=")
			if !ok || key == "" || list == "" {
				return usageError{fmt.Errorf("--set %q: KEY=VALUE,VALUE is wanted", set)}
			}
			from, to, err := seedRange(seeds)
			if err != nil {
				return usageError{err}
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usageError{err}
			}
			values := strings.Split(list, ",")
			var scenarios []*scenario.Scenario
			for _, v := range values { // all are checked before the first is run
				s, err := scenario.ParseWith(args[0], text, key, v)
				if err != nil {
					return err
				}
				scenarios = append(scenarios, s)
			}
			out := f.out
			if out == "" {
				out = filepath.Join("lab-out", "sweep-"+time.Now().Format("20060102T150405"))
			}
			var all [][]*Summary
			broken := false
			for i, s := range scenarios {
				var runs []*Summary
				for seed := from; seed <= to; seed++ {
					f.seed, f.out = seed, filepath.Join(out, fmt.Sprintf("%s-%d", values[i], seed))
					sum, err := f.play(c, s, nil)
					if sum == nil {
						return err
					}
					if c.Context().Err() != nil {
						return errors.New("stopped before the sweep was whole")
					}
					broken = broken || !sum.Verdict.Passed()
					fmt.Fprintf(c.ErrOrStderr(), "%s=%s seed %d: served %.3f, broken %d, %s\n", key, values[i], seed, sum.Stats.ValueServed, len(sum.Verdict.Counts), sum.Void)
					runs = append(runs, sum)
				}
				all = append(all, runs)
			}
			return sweepTable(c.OutOrStdout(), out, key, figure, values, all, broken)
		}}
	f.add(c)
	c.Flags().StringVar(&set, "set", "", "the key, as load.rate or fault.0.share, and its values")
	c.Flags().StringVar(&seeds, "seeds", "1-3", "the first and the last seed")
	c.Flags().StringVar(&figure, "figure", "worth served, whole run", "what is plotted")
	return c
}

func seedRange(s string) (from, to uint64, err error) {
	a, b, two := strings.Cut(s, "-")
	if !two {
		b = a
	}
	from, err1 := strconv.ParseUint(a, 10, 64)
	to, err2 := strconv.ParseUint(b, 10, 64)
	if err1 != nil || err2 != nil || to < from || to-from > 1000 {
		return 0, 0, fmt.Errorf("--seeds %q: FIRST-LAST is wanted, 1,000 at most", s)
	}
	return from, to, nil
}

func sweepTable(w io.Writer, out, key, figure string, values []string, all [][]*Summary, broken bool) error {
	var columns [][]report.Row
	for _, runs := range all {
		var stats []*report.Stats
		for _, s := range runs {
			stats = append(stats, s.Stats)
		}
		columns = append(columns, report.Figures(stats))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\t%s\n", key, strings.Join(values, "\t"))
	var plotted [][]float64
	for i, row := range columns[0] {
		fmt.Fprint(t, row.Name)
		for _, c := range columns {
			fmt.Fprint(t, "\t", spread(c[i]))
			if row.Name == figure {
				plotted = append(plotted, c[i].Values)
			}
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "runs with a broken promise")
	for _, runs := range all {
		fmt.Fprint(t, "\t", brokenRuns(runs))
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return err
	}
	if len(plotted) == 0 {
		return usageError{fmt.Errorf("--figure %q: no such figure; the table names them", figure)}
	}
	path := filepath.Join(out, "sweep.svg")
	if err := report.Sweep(path, key, figure, values, plotted); err != nil {
		return err
	}
	fmt.Fprintln(w, "plot:", path)
	if broken {
		return errViolated
	}
	return nil
}

func benchCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure a part of the fleet"}
	o := faultlab.RegistryBenchOptions{}
	var program string
	r := &cobra.Command{Use: "registry", Short: "The list service: fan-out, memory, writes, elections, beside a poll and a single node", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if o.Registry, err = findProgram(program, "registry", "registry"); err != nil {
				return err
			}
			o.Out, o.Printf = benchOut(c, o.Out, "registry")
			rows, err := faultlab.BenchRegistry(c.Context(), o)
			if err != nil {
				return err
			}
			return writeRows(o.Out, rows)
		}}
	r.Flags().StringVar(&program, "registry", "", "its program (default: registry beside this one)")
	r.Flags().StringVar(&o.Out, "out", "", "folder (default: lab-out/bench-registry-TIME)")
	r.Flags().IntSliceVar(&o.Watchers, "watchers", []int{300, 10000}, "watchers of one write")
	r.Flags().IntSliceVar(&o.Members, "members", []int{300, 3000}, "members of the list, with 300 watchers")
	r.Flags().IntVar(&o.Kills, "kills", 50, "kills of the leader")
	r.Flags().IntVar(&o.Writes, "writes", 50, "writes whose way is timed")
	r.Flags().IntVar(&o.ReturningAgents, "agents", 300, "agents that come back after an outage, beside the most watchers")
	r.Flags().DurationVar(&o.Outage, "outage", 20*time.Second, "without a group, before they come back")
	r.Flags().DurationVar(&o.LoadTime, "load", 5*time.Second, "of each of three plays of writes")
	r.Flags().Uint64Var(&o.Seed, "seed", 1, "of the moments of the kills")
	c.AddCommand(r, benchWAL(), benchLeader(), benchScale())
	return c
}

func benchLeader() *cobra.Command {
	o := faultlab.LeaderBenchOptions{}
	var program, warden string
	d := &cobra.Command{Use: "duty", Short: "Duties: how long nobody holds one, and what they cost the store", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if o.Registry, err = findProgram(program, "registry", "registry"); err != nil {
				return err
			}
			if o.Controller, err = findProgram(warden, "controller", "warden"); err != nil {
				return err
			}
			o.Out, o.Printf = benchOut(c, o.Out, "duty")
			rows, err := faultlab.BenchLeader(c.Context(), o)
			if err != nil {
				return err
			}
			return writeRows(o.Out, rows)
		}}
	d.Flags().StringVar(&program, "registry", "", "the list service's program (default: registry beside this one)")
	d.Flags().StringVar(&warden, "warden", "", "the wardens' program (default: controller beside this one)")
	d.Flags().StringVar(&o.Out, "out", "", "folder (default: lab-out/bench-duty-TIME)")
	d.Flags().DurationSliceVar(&o.TTL, "ttl", []time.Duration{time.Second, 2 * time.Second, 5 * time.Second}, "times to live")
	d.Flags().IntSliceVar(&o.Kills, "kills", []int{100, 100, 100}, "kills of the holder, for each time to live")
	d.Flags().IntVar(&o.Handovers, "handovers", 100, "hand-overs in order")
	d.Flags().IntVar(&o.Cuts, "cuts", 50, "cuts of the holder from all nodes, for each time to live")
	d.Flags().IntSliceVar(&o.Roles, "duties", []int{10, 100, 1000}, "duties whose cost is measured")
	return d
}

func benchWAL() *cobra.Command {
	o := faultlab.WALBenchOptions{}
	w := &cobra.Command{Use: "wal", Short: "The relay's log: starts, writes, stalls, beside the log before it", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o.Out, o.Printf = benchOut(c, o.Out, "wal")
			rows, err := faultlab.BenchWAL(c.Context(), o)
			if err != nil {
				return err
			}
			return writeRows(o.Out, rows)
		}}
	w.Flags().StringVar(&o.Out, "out", "", "folder, on the disk that is measured (default: lab-out/bench-wal-TIME)")
	w.Flags().IntSliceVar(&o.Pending, "owed", []int{10000, 100000, 1000000}, "messages owed at a start")
	w.Flags().IntSliceVar(&o.Clients, "clients", []int{1, 16, 256}, "clients at once")
	w.Flags().IntVar(&o.Plays, "plays", 3, "of each measurement")
	w.Flags().DurationVar(&o.Span, "span", 3*time.Second, "of each play of writes")
	return w
}

// benchOut gives a bench's folder and where it says its rows.
func benchOut(c *cobra.Command, out, name string) (string, func(string, ...any)) {
	if out == "" {
		out = filepath.Join("lab-out", "bench-"+name+"-"+time.Now().Format("20060102T150405"))
	}
	return out, func(format string, args ...any) { fmt.Fprintf(c.OutOrStdout(), format+"\n", args...) }
}

func writeRows(out string, rows []faultlab.Spread) error {
	text, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return os.WriteFile(filepath.Join(out, "bench.json"), text, 0o644)
}

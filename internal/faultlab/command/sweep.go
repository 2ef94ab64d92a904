package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/report"
	"plovershore/internal/faultlab/scenario"
)

// sweep runs a scenario with several values of one key, each with several seeds.
type sweep struct {
	run       runFlags
	key       string
	values    []string
	scenarios []*scenario.Scenario // one for each value
	firstSeed uint64
	lastSeed  uint64
	out       string // folder of the reports
	figure    string // name of the figure that is plotted
}

func sweepCommand() *cobra.Command {
	s := &sweep{}
	var set, seeds string
	c := &cobra.Command{Use: "sweep FILE.toml --set key=a,b,c --seeds 1-5", Short: "Run a scenario over values of one key and over seeds: a table and a plot", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := s.parse(args[0], set, seeds); err != nil {
				return err
			}
			all, err := s.runAll(c)
			if err != nil {
				return err
			}
			return s.print(c.OutOrStdout(), all)
		}}
	s.run.add(c)
	c.Flags().StringVar(&set, "set", "", "the key, as load.rate or fault.0.share, and its values")
	c.Flags().StringVar(&seeds, "seeds", "1-3", "the first and the last seed")
	c.Flags().StringVar(&s.figure, "figure", "worth served, whole run", "what is plotted")
	return c
}

// parse checks the command line and all scenarios, before the first is run.
func (s *sweep) parse(path, set, seeds string) (err error) {
	key, list, ok := strings.Cut(set, "=")
	if !ok || key == "" || list == "" {
		return usageError{fmt.Errorf("--set %q: KEY=VALUE,VALUE is wanted", set)}
	}
	s.key, s.values = key, strings.Split(list, ",")
	if s.firstSeed, s.lastSeed, err = parseSeedRange(seeds); err != nil {
		return usageError{err}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError{err}
	}
	for _, value := range s.values {
		parsed, err := scenario.ParseWith(path, text, key, value)
		if err != nil {
			return err
		}
		s.scenarios = append(s.scenarios, parsed)
	}
	if s.out = s.run.out; s.out == "" {
		s.out = filepath.Join("lab-out", "sweep-"+time.Now().Format("20060102T150405"))
	}
	return nil
}

// errSweepStopped reports a sweep that was ended before all runs were done.
var errSweepStopped = errors.New("stopped before the sweep was whole")

// runAll runs the scenario with each value and each seed, and returns the summaries by
// value.
func (s *sweep) runAll(c *cobra.Command) (all [][]*Summary, err error) {
	for i, value := range s.values {
		var runs []*Summary
		for seed := s.firstSeed; seed <= s.lastSeed; seed++ {
			s.run.seed, s.run.out = seed, filepath.Join(s.out, fmt.Sprintf("%s-%d", value, seed))
			summary, err := s.run.runScenario(c, s.scenarios[i], nil)
			if summary == nil {
				return nil, err
			}
			if c.Context().Err() != nil {
				return nil, errSweepStopped
			}
			fmt.Fprintf(c.ErrOrStderr(), "%s=%s seed %d: served %.3f, broken %d, %s\n",
				s.key, value, seed, summary.Stats.ValueServed, len(summary.Verdict.Counts), summary.Void)
			runs = append(runs, summary)
		}
		all = append(all, runs)
	}
	return all, nil
}

// parseSeedRange parses FIRST-LAST, or a single seed.
func parseSeedRange(s string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(s, "-")
	if !isRange {
		last = first
	}
	from, err1 := strconv.ParseUint(first, 10, 64)
	to, err2 := strconv.ParseUint(last, 10, 64)
	if err1 != nil || err2 != nil || to < from || to-from > 1000 {
		return 0, 0, fmt.Errorf("--seeds %q: FIRST-LAST is wanted, 1,000 at most", s)
	}
	return from, to, nil
}

// print writes the table and the plot, and returns errViolated if a rule was violated
// in any run.
func (s *sweep) print(w io.Writer, all [][]*Summary) error {
	var columns [][]report.Row
	for _, runs := range all {
		columns = append(columns, figuresOf(runs))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\t%s\n", s.key, strings.Join(s.values, "\t"))
	var plotted [][]float64
	for i, row := range columns[0] {
		fmt.Fprint(table, row.Name)
		for _, column := range columns {
			fmt.Fprint(table, "\t", formatSpread(column[i]))
			if row.Name == s.figure {
				plotted = append(plotted, column[i].Values)
			}
		}
		fmt.Fprintln(table)
	}
	fmt.Fprint(table, "runs with a broken promise")
	for _, runs := range all {
		fmt.Fprint(table, "\t", countViolatedRuns(runs))
	}
	fmt.Fprintln(table)
	if err := table.Flush(); err != nil {
		return err
	}
	if len(plotted) == 0 {
		return usageError{fmt.Errorf("--figure %q: no such figure; the table names them", s.figure)}
	}
	path := filepath.Join(s.out, "sweep.svg")
	if err := report.Sweep(path, s.key, s.figure, s.values, plotted); err != nil {
		return err
	}
	fmt.Fprintln(w, "plot:", path)
	for _, runs := range all {
		for _, run := range runs {
			if !run.Verdict.OK() {
				return errViolated
			}
		}
	}
	return nil
}

// figuresOf returns the figures of several runs.
func figuresOf(runs []*Summary) []report.Row {
	var stats []*report.Stats
	for _, run := range runs {
		stats = append(stats, run.Stats)
	}
	return report.Figures(stats)
}

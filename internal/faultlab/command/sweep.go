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
					broken = broken || !sum.Verdict.OK()
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

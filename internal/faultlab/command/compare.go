package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/report"
)

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A.json B.json", Short: "Set the figures of two files side by side", Args: exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if isCapacity, err := compareScale(c.OutOrStdout(), args[0], args[1]); isCapacity {
				return err
			}
			var rows [2][]report.Row
			var runs [2][]*Summary
			for i, path := range args {
				all, err := readSummaries(path)
				if err != nil {
					return usageError{err}
				}
				runs[i], rows[i] = all, figuresOf(all)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintf(w, "figure\t%s (%d runs)\t%s (%d runs)\tB/A\n", args[0], len(runs[0]), args[1], len(runs[1]))
			for _, pair := range pairByName(rows[0], rows[1]) {
				a, b := pair[0], pair[1]
				meanA, _, _ := a.Mean()
				meanB, _, _ := b.Mean()
				ratio := "-"
				if meanA != 0 {
					ratio = fmt.Sprintf("%.3f", meanB/meanA)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", a.Name, formatSpread(a), formatSpread(b), ratio)
			}
			fmt.Fprintf(w, "runs with a broken promise\t%s\t%s\t\n", countViolatedRuns(runs[0]), countViolatedRuns(runs[1]))
			return w.Flush()
		}}
}

// pairByName pairs the rows of the same name; a side that lacks the name gets a row
// without values.
func pairByName(a, b []report.Row) (paired [][2]report.Row) {
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
		paired = append(paired, [2]report.Row{row, other})
	}
	for _, row := range b {
		if _, isUnpaired := byName[row.Name]; isUnpaired {
			paired = append(paired, [2]report.Row{{Name: row.Name, Unit: row.Unit}, row})
		}
	}
	return paired
}

func formatSpread(r report.Row) string {
	if len(r.Values) == 0 {
		return "-"
	}
	mean, low, high := r.Mean()
	if len(r.Values) < 2 {
		return strings.TrimSpace(fmt.Sprintf("%.4g %s", mean, r.Unit))
	}
	return strings.TrimSpace(fmt.Sprintf("%.4g %s", mean, r.Unit)) + fmt.Sprintf(" (%.4g to %.4g)", low, high)
}

func countViolatedRuns(all []*Summary) string {
	violated, void := 0, 0
	for _, s := range all {
		switch {
		case s.Void != "":
			void++
		case !s.Verdict.OK():
			violated++
		}
	}
	if void > 0 {
		return fmt.Sprintf("%d of %d, %d void", violated, len(all), void)
	}
	return fmt.Sprintf("%d of %d", violated, len(all))
}

package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/report"
)

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
				runs[i], rows[i] = all, figuresOf(all)
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
		case !s.Verdict.OK():
			n++
		}
	}
	if void > 0 {
		return fmt.Sprintf("%d of %d, %d void", n, len(all), void)
	}
	return fmt.Sprintf("%d of %d", n, len(all))
}

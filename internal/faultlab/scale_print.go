package faultlab

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the report as a table.
func (s *ScaleResult) Print(w io.Writer) {
	fmt.Fprintf(w, "%d hollow relays, %d members, a list of %.2f MB; %d changes, x %.0f; registered in %.1f s, relays started in %.1f s, settled in %.1f s; %.0f messages a second, hollow late p99 %v\n",
		s.SimRelays, s.Members, s.ListMB, s.Changes, s.Speed, s.Register, s.Start, s.Settle, s.Rate, s.SimLateP99)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "each\tunits\tpart\tCPU, % of a core\tof budget\tmemory MB\tpeak MB\tof budget\tKB/s\tof budget\tstart MB")
	for _, r := range s.Roles {
		for _, part := range scalePhases {
			p, ok := r.Phases[part]
			if !ok {
				continue
			}
			cpu, memory, bytes := "-", "-", "-"
			if isRelay(r.Name) {
				memory, bytes = fmt.Sprintf("%.2f", r.PeakMB/budgetMemoryMB), fmt.Sprintf("%.2f", p.KB/budgetKB)
				if part != phaseLoad { // with messages it is not control alone
					cpu = fmt.Sprintf("%.2f", p.CPU/budgetCPU)
				}
			}
			fmt.Fprintf(t, "%s\t%d\t%s\t%.2f\t%s\t%.1f\t%.1f\t%s\t%.2f\t%s\t%.2f\n", r.Name, r.Units, part, p.CPU, cpu, p.MemoryMB, r.PeakMB, memory, p.KB, bytes, r.StartMB)
		}
	}
	t.Flush()
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "seconds until in force\tcount\tmissing\tp50\tp99\tmax\tmax of budget")
	for _, f := range s.Delays {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\n", f.Name, f.Count, f.Missing, f.P50, f.P99, f.Max, f.Max/budgetDelay.Seconds())
	}
	t.Flush()
	for _, r := range s.Roles {
		if isRelay(r.Name) {
			fmt.Fprintf(w, "%s, control with changes at x 1 (worked out): %.2f%% of a core, %.2f of budget; %.3f KB/s, %.4f of budget\n",
				r.Name, r.DayCPU, r.DayCPU/budgetCPU, r.DayKB, r.DayKB/budgetKB)
		}
	}
	for _, a := range s.Comparisons {
		fmt.Fprintf(w, "hollow beside real, %s: %.2f and %.2f, ratio %.2f\n", a.Name, a.Simulated, a.Real, a.Ratio)
	}
	for _, n := range s.Notes {
		fmt.Fprintln(w, n)
	}
}

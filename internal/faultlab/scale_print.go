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
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "each\tunits\tpart\tCPU, % of a core\tof budget\tmemory MB\tpeak MB\tof budget\tKB/s\tof budget\tstart MB")
	for _, role := range s.Roles {
		for _, phase := range scalePhases {
			cost, ok := role.Phases[phase]
			if !ok {
				continue
			}
			cpu, memory, bytes := "-", "-", "-"
			if isRelay(role.Name) {
				memory, bytes = fmt.Sprintf("%.2f", role.PeakMB/budgetMemoryMB), fmt.Sprintf("%.2f", cost.KB/budgetKB)
				if phase != phaseLoad { // with messages, the CPU time is not that of control alone
					cpu = fmt.Sprintf("%.2f", cost.CPU/budgetCPU)
				}
			}
			fmt.Fprintf(table, "%s\t%d\t%s\t%.2f\t%s\t%.1f\t%.1f\t%s\t%.2f\t%s\t%.2f\n", role.Name, role.Units, phase, cost.CPU, cpu, cost.MemoryMB, role.PeakMB, memory, cost.KB, bytes, role.StartMB)
		}
	}
	table.Flush()
	table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "seconds until in force\tcount\tmissing\tp50\tp99\tmax\tmax of budget")
	for _, delay := range s.Delays {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\n", delay.Name, delay.Count, delay.Missing, delay.P50, delay.P99, delay.Max, delay.Max/budgetDelay.Seconds())
	}
	table.Flush()
	for _, role := range s.Roles {
		if isRelay(role.Name) {
			fmt.Fprintf(w, "%s, control with changes at x 1 (worked out): %.2f%% of a core, %.2f of budget; %.3f KB/s, %.4f of budget\n",
				role.Name, role.DayCPU, role.DayCPU/budgetCPU, role.DayKB, role.DayKB/budgetKB)
		}
	}
	for _, comparison := range s.Comparisons {
		fmt.Fprintf(w, "hollow beside real, %s: %.2f and %.2f, ratio %.2f\n", comparison.Name, comparison.Simulated, comparison.Real, comparison.Ratio)
	}
	for _, n := range s.Notes {
		fmt.Fprintln(w, n)
	}
}

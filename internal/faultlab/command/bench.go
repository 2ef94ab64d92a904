package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab"
)

func benchCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure a part of the fleet"}
	o := faultlab.RegistryBenchOptions{}
	var program string
	r := &cobra.Command{Use: "registry", Short: "The list service: fan-out, memory, writes, elections, beside a poll and a single node", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if o.Registry, err = findProgram(program, "registry", "registry"); err != nil {
				return err
			}
			o.Out, o.Printf = benchOutput(c, o.Out, "registry")
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
	var program, controller string
	leaderCommand := &cobra.Command{Use: "duty", Short: "Duties: how long nobody holds one, and what they cost the store", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if o.Registry, err = findProgram(program, "registry", "registry"); err != nil {
				return err
			}
			if o.Controller, err = findProgram(controller, "controller", "controller"); err != nil {
				return err
			}
			o.Out, o.Printf = benchOutput(c, o.Out, "duty")
			rows, err := faultlab.BenchLeader(c.Context(), o)
			if err != nil {
				return err
			}
			return writeRows(o.Out, rows)
		}}
	leaderCommand.Flags().StringVar(&program, "registry", "", "the list service's program (default: registry beside this one)")
	addControllerFlags(leaderCommand, &controller)
	leaderCommand.Flags().StringVar(&o.Out, "out", "", "folder (default: lab-out/bench-duty-TIME)")
	leaderCommand.Flags().DurationSliceVar(&o.TTL, "ttl", []time.Duration{time.Second, 2 * time.Second, 5 * time.Second}, "times to live")
	leaderCommand.Flags().IntSliceVar(&o.Kills, "kills", []int{100, 100, 100}, "kills of the holder, for each time to live")
	leaderCommand.Flags().IntVar(&o.Handovers, "handovers", 100, "hand-overs in order")
	leaderCommand.Flags().IntVar(&o.Cuts, "cuts", 50, "cuts of the holder from all nodes, for each time to live")
	leaderCommand.Flags().IntSliceVar(&o.Roles, "duties", []int{10, 100, 1000}, "duties whose cost is measured")
	return leaderCommand
}

func benchWAL() *cobra.Command {
	o := faultlab.WALBenchOptions{}
	w := &cobra.Command{Use: "wal", Short: "The relay's log: starts, writes, stalls, beside the log before it", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o.Out, o.Printf = benchOutput(c, o.Out, "wal")
			rows, err := faultlab.BenchWAL(c.Context(), o)
			if err != nil {
				return err
			}
			return writeRows(o.Out, rows)
		}}
	w.Flags().StringVar(&o.Out, "out", "", "folder, on the disk that is measured (default: lab-out/bench-wal-TIME)")
	w.Flags().IntSliceVar(&o.Pending, "owed", []int{10000, 100000, 1000000}, "messages owed at a start")
	w.Flags().IntSliceVar(&o.Clients, "clients", []int{1, 16, 256}, "clients at once")
	w.Flags().IntVar(&o.Repeats, "plays", 3, "of each measurement")
	w.Flags().DurationVar(&o.Span, "span", 3*time.Second, "of each play of writes")
	return w
}

// benchOutput returns a benchmark's folder and the function that prints its lines.
func benchOutput(c *cobra.Command, out, name string) (string, func(string, ...any)) {
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

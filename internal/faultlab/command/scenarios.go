package command

import (
	"fmt"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab"
	"plovershore/internal/faultlab/scenario"
)

func listCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{Use: "list", Short: "List the scenarios of a folder", Args: exactArgs(0),
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
	c := &cobra.Command{Use: "check FILE.toml", Short: "Check a scenario and show its schedule; starts nothing", Args: exactArgs(1),
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

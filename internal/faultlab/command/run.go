package command

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/scenario"
)

func upCommand() *cobra.Command {
	var f runFlags
	var seconds float64
	c := &cobra.Command{Use: "up", Short: "Start a small fleet on this machine and show how it goes, until Ctrl-C", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			s := scenario.Default()
			s.Seconds = seconds
			fmt.Fprintf(c.OutOrStdout(), "%d relays, %d endpoints of %d destinations in zones %s, %.0f messages a second; Ctrl-C ends it with a report\n",
				s.Fleet.Relays, s.Upstreams.Endpoints, s.Upstreams.Destinations, strings.Join(s.Fleet.Zones, ", "), s.Load.Rate)
			summary, err := f.runScenario(c, &s, statusPrinter(c.OutOrStdout()))
			return printVerdict(c.OutOrStdout(), summary, err)
		}}
	f.add(c)
	c.Flags().Float64Var(&seconds, "seconds", 7200, "end by itself after so long")
	return c
}

func runCommand() *cobra.Command {
	var f runFlags
	c := &cobra.Command{Use: "run FILE.toml", Short: "Run one scenario and judge it", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.LoadFile(args[0])
			if err != nil {
				return err
			}
			summary, err := f.runScenario(c, s, statusPrinter(c.OutOrStdout()))
			return printVerdict(c.OutOrStdout(), summary, err)
		}}
	f.add(c)
	return c
}

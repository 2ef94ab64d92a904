package command

import (
	"github.com/spf13/cobra"

	"plovershore/internal/faultlab"
	"plovershore/internal/faultlab/simrelay/relays"
)

// simRelayCommand runs a process of simulated relays; run starts it in a scale
// scenario. The name that it had before still works.
func simRelayCommand() *cobra.Command {
	return &cobra.Command{Use: faultlab.SimRelayCommand + " CONFIG.json", Aliases: []string{"hollow"},
		Short: "Run simulated relays, for a scale scenario", Args: exactArgs(1), Hidden: true,
		RunE: func(c *cobra.Command, args []string) error {
			return relays.Main(c.Context(), args[0], c.OutOrStdout(), c.ErrOrStderr())
		}}
}

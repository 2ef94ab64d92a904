package command

import (
	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/simrelay/relays"
)

// simRelayCommand runs a process of hollow relays; run starts it in a scale scenario.
func simRelayCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow CONFIG.json", Short: "Run hollow relays, for a scale scenario", Args: exactly(1), Hidden: true,
		RunE: func(c *cobra.Command, args []string) error {
			return relays.Main(c.Context(), args[0], c.OutOrStdout(), c.ErrOrStderr())
		}}
}

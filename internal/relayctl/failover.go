package relayctl

import (
	"path/filepath"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/failover"
	"plovershore/internal/registry"
)

// newFailoverCommand returns the commands that start and control the failover of lost
// relays.
func newFailoverCommand(a *app) *cobra.Command {
	o := operationCommands{a, failover.Role}
	c := &cobra.Command{
		Use:     "failover",
		Aliases: []string{"salvage"},
		Short:   "Bring the pending messages of a lost relay to their end",
	}
	c.AddCommand(
		startFailoverCommand(o),
		o.statusCommand(),
		o.desiredStateCommand("pause", "Leave it as it is for now", registry.DesiredPause),
		o.desiredStateCommand("resume", "Go on", registry.DesiredRun),
		o.desiredStateCommand("abort", "Call it off, if its folder was not moved yet", registry.DesiredAbort),
	)
	return c
}

func startFailoverCommand(o operationCommands) *cobra.Command {
	var spec failover.Spec
	c := &cobra.Command{
		Use: "start NAME", Short: "Migrate the messages in the folder of a relay that will not come back", Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !filepath.IsAbs(spec.Folder) {
				return cli.Usagef("--folder: %q; an absolute path is wanted", spec.Folder)
			}
			return o.start(c, args[0], spec)
		},
	}
	flags := c.Flags()
	flags.StringVar(&spec.Folder, "folder", "", "its state folder, on the machine of the controllers")
	flags.IntVar(&spec.DiskMB, "disk-mb", 3, "its disk_mb")
	flags.StringSliceVar(&spec.IdempotentClasses, "safe", nil, "classes that may take effect again: returned where they may have run, others fail")
	return c
}

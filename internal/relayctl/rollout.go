package relayctl

import (
	"os"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
	"plovershore/internal/rollout"
)

// newRolloutCommand returns the commands that start and control rollouts.
func newRolloutCommand(a *app) *cobra.Command {
	o := operationCommands{a, rollout.Role}
	c := &cobra.Command{Use: "rollout", Short: "Restart a fleet's relays in waves"}
	c.AddCommand(
		startRolloutCommand(o),
		o.statusCommand(),
		o.desiredStateCommand("pause", "Rest after the step that is being done", registry.DesiredPause),
		o.desiredStateCommand("resume", "Go on", registry.DesiredRun),
		o.desiredStateCommand("abort", "End it after the step that is being done", registry.DesiredAbort),
	)
	return c
}

func startRolloutCommand(o operationCommands) *cobra.Command {
	return &cobra.Command{
		Use: "start NAME PLAN.toml", Short: "Begin a plan; deploy/rollout.toml documents each key", Args: cli.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			name, path := args[0], args[1]
			text, err := os.ReadFile(path)
			if err != nil {
				return cli.UsageError{Err: err}
			}
			plan, err := rollout.ParsePlan(text)
			if err != nil {
				return cli.Usagef("%s: %w", path, err)
			}
			return o.start(c, name, plan)
		},
	}
}

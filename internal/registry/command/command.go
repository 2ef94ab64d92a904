// Package command is the command line of the registry program, which runs a node of the
// list service or the agent on a relay's machine.
package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
)

// Registry runs the program with args until ctx is done, and returns its exit code.
func Registry(ctx context.Context, args []string, getenv func(string) string, out, errOut io.Writer) int {
	const short = "The list of endpoints of a fleet: a node of its group, or the agent on a relay's machine"
	root := &cobra.Command{
		Use:   "registry",
		Short: short,
		Long: short + ".\n\n" +
			"Exit codes: 0 ended when asked to; 1 it could not go on; 2 bad usage or configuration; 4 the store is damaged.",
	}
	root.AddCommand(serveCommand(getenv), agentCommand())
	return cli.Run(ctx, root, args, out, errOut)
}

package command

import (
	"context"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry/agent"
)

func agentCommand() *cobra.Command {
	var options agent.Options
	var logFormat string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Serve one relay on loopback, and follow the group",
		Args:  cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			options.Log = cli.NewLogger(logFormat, c.ErrOrStderr())
			return runAgent(c.Context(), options)
		},
	}
	c.Flags().StringVar(&options.Listen, "listen", "127.0.0.1:8500", "where the relay asks")
	c.Flags().StringVar(&options.Folder, "folder", "agent-data", "folder that lasts")
	c.Flags().StringSliceVar(&options.Nodes, "nodes", []string{"127.0.0.1:7800"}, "nodes of the group")
	c.Flags().IntVar(&options.Fleet, "fleet", 300, "agents of the group: their retries are spread over so many")
	c.Flags().StringVar(&logFormat, "log", "text", "text or json")
	return c
}

// runAgent runs an agent until ctx is done.
func runAgent(ctx context.Context, options agent.Options) error {
	a, err := agent.Start(options)
	if err != nil {
		return err
	}
	options.Log.Info("agent serving", "listen", a.Addr(), "nodes", options.Nodes)
	<-ctx.Done()
	a.Close()
	return nil
}

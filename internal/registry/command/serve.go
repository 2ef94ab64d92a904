// Package command is the command line of the registry program: a node of the
// list service, or the agent beside a relay.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/clock"
	"plovershore/internal/registry"
	"plovershore/internal/registry/agent"
)

// corruptStoreError gives a store that cannot be read its own exit code.
type corruptStoreError struct{ error }

// ExitCode implements cli.ExitCoder.
func (corruptStoreError) ExitCode() int { return cli.ExitCorrupt }

// Unwrap returns the cause.
func (e corruptStoreError) Unwrap() error { return e.error }

// Registry is registry's main. ctx ends what it runs.
func Registry(ctx context.Context, args []string, getenv func(string) string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "registry", Short: "The list of endpoints of a fleet: a node of its group, or the agent on a relay's machine",
		Long: "The list of endpoints of a fleet: a node of its group, or the agent on a relay's machine.\n\n" +
			"Exit codes: 0 ended when asked to; 1 it could not go on; 2 bad usage or configuration; 4 the store is damaged."}
	root.AddCommand(serveCommand(getenv), agentCommand())
	return cli.Run(ctx, root, args, out, errOut)
}

func serveCommand(getenv func(string) string) *cobra.Command {
	var path, drill string
	c := &cobra.Command{Use: "serve", Short: "Run one node; without a file, a group of one", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := registry.LoadConfig(path, getenv)
			if err != nil {
				return cli.UsageError{Err: err}
			}
			if cfg.Clock, err = clock.Parse(drill); err != nil {
				return cli.UsageError{Err: fmt.Errorf("--drill-clock: %w", err)}
			}
			log := cli.NewLogger(cfg.LogFormat, c.ErrOrStderr()).With("node", cfg.ID)
			for _, v := range cfg.DeprecatedVariables {
				log.Warn("environment variable deprecated", "variable", v.Name, "replacement", v.Replacement, "ignored", v.Ignored)
			}
			n, err := registry.Start(cfg, log)
			if errors.Is(err, registry.ErrCorrupt) {
				return corruptStoreError{err}
			}
			if err != nil {
				return err
			}
			<-c.Context().Done()
			n.Close()
			return nil
		}}
	c.Flags().StringVar(&path, "config", "", "TOML file; deploy/registry.toml documents each key")
	c.Flags().StringVar(&drill, "drill-clock", "", "have its clock run wrong, such as rate=1.1,date=-1h@8s: for drills alone")
	return c
}

func agentCommand() *cobra.Command {
	var o agent.Options
	var form string
	c := &cobra.Command{Use: "agent", Short: "Serve one relay on loopback, and follow the group", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o.Log = cli.NewLogger(form, c.ErrOrStderr())
			a, err := agent.Start(o)
			if err != nil {
				return err
			}
			o.Log.Info("agent serves", "listen", a.Addr(), "nodes", o.Nodes)
			<-c.Context().Done()
			a.Close()
			return nil
		}}
	c.Flags().StringVar(&o.Listen, "listen", "127.0.0.1:8500", "where the relay asks")
	c.Flags().StringVar(&o.Folder, "folder", "agent-data", "folder that lasts")
	c.Flags().StringSliceVar(&o.Nodes, "nodes", []string{"127.0.0.1:7800"}, "nodes of the group")
	c.Flags().IntVar(&o.Fleet, "fleet", 300, "agents of the group: their tries are spread over so many")
	c.Flags().StringVar(&form, "log", "text", "text or json")
	return c
}

// Package command is the command lines of troutregistry and troutctl. It
// promises the exit codes that their help names and leaves all work to the
// packages below it.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"

	"github.com/spf13/cobra"

	"troutusher/internal/clock"
	"troutusher/internal/registry"
	"troutusher/internal/registry/agent"
)

// Exit codes.
const (
	OK      = 0
	Failed  = 1 // refused by the group, or it could not go on
	Usage   = 2 // the command line or the configuration cannot be used
	NoGroup = 3 // no node of the group answers
	Damaged = 4 // the store is damaged
)

type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

func newLog(form string, out io.Writer) *slog.Logger {
	if form == "json" {
		return slog.New(slog.NewJSONHandler(out, nil))
	}
	return slog.New(slog.NewTextHandler(out, nil))
}

// run executes a command line and gives the exit code.
func run(ctx context.Context, root *cobra.Command, args []string, out, errOut io.Writer) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	err := root.ExecuteContext(ctx)
	if err == nil {
		return OK
	}
	fmt.Fprintf(errOut, "%s: %v\n", root.Name(), err)
	var usage usageError
	var coded interface{ ExitCode() int }
	switch {
	case errors.As(err, &coded):
		return coded.ExitCode()
	case errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		return Usage
	case errors.Is(err, registry.ErrDamaged):
		return Damaged
	case errors.Is(err, context.DeadlineExceeded):
		return NoGroup
	}
	return Failed
}

func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// Registry is troutregistry's main. ctx ends what it runs.
func Registry(ctx context.Context, args []string, getenv func(string) string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "troutregistry", Short: "The list of endpoints of a fleet: a node of its group, or the agent on a relay's machine",
		Long: "The list of endpoints of a fleet: a node of its group, or the agent on a relay's machine.\n\n" +
			"Exit codes: 0 ended when asked to; 1 it could not go on; 2 bad usage or configuration; 4 the store is damaged."}
	root.AddCommand(serveCommand(getenv), agentCommand())
	return run(ctx, root, args, out, errOut)
}

func serveCommand(getenv func(string) string) *cobra.Command {
	var path, drill string
	c := &cobra.Command{Use: "serve", Short: "Run one node; without a file, a group of one", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := registry.LoadConfig(path, getenv)
			if err != nil {
				return usageError{err}
			}
			if cfg.Clock, err = clock.Parse(drill); err != nil {
				return usageError{fmt.Errorf("--drill-clock: %w", err)}
			}
			n, err := registry.Start(cfg, newLog(cfg.LogForm, c.ErrOrStderr()).With("node", cfg.ID))
			if err != nil {
				return err
			}
			<-c.Context().Done()
			n.Close()
			return nil
		}}
	c.Flags().StringVar(&path, "config", "", "TOML file; deploy/troutregistry.toml documents each key")
	c.Flags().StringVar(&drill, "drill-clock", "", "have its clock run wrong, such as rate=1.1,date=-1h@8s: for drills alone")
	return c
}

func agentCommand() *cobra.Command {
	var o agent.Options
	var form string
	c := &cobra.Command{Use: "agent", Short: "Serve one relay on loopback, and follow the group", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o.Log = newLog(form, c.ErrOrStderr())
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

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
)

// corruptStoreError gives a corrupt store its own exit code.
type corruptStoreError struct{ error }

// ExitCode implements cli.ExitCoder.
func (corruptStoreError) ExitCode() int { return cli.ExitCorrupt }

// Unwrap returns the error that was wrapped.
func (e corruptStoreError) Unwrap() error { return e.error }

func serveCommand(getenv func(string) string) *cobra.Command {
	var configPath, drillClock string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one node; without a file, a group of one",
		Args:  cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := registry.LoadConfig(configPath, getenv)
			if err != nil {
				return cli.UsageError{Err: err}
			}
			if config.Clock, err = clock.Parse(drillClock); err != nil {
				return cli.UsageError{Err: fmt.Errorf("--drill-clock: %w", err)}
			}
			return serve(c.Context(), config, c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&configPath, "config", "", "TOML file; deploy/registry.toml documents each key")
	c.Flags().StringVar(&drillClock, "drill-clock", "", "have its clock run wrong, such as rate=1.1,date=-1h@8s: for drills alone")
	return c
}

// serve runs a node until ctx is done.
func serve(ctx context.Context, config *registry.Config, errOut io.Writer) error {
	log := cli.NewLogger(config.LogFormat, errOut).With("node", config.ID)
	for _, v := range config.DeprecatedVariables {
		log.Warn("environment variable deprecated", "variable", v.Name, "replacement", v.Replacement, "ignored", v.Ignored)
	}
	node, err := registry.Start(config, log)
	if errors.Is(err, registry.ErrCorrupt) {
		return corruptStoreError{err}
	}
	if err != nil {
		return err
	}
	<-ctx.Done()
	node.Close()
	return nil
}

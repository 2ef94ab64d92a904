// Package command is the lab's command line. It returns the exit codes that
// its help names and leaves all work to the packages below it.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/scenario"
)

// Exit codes.
const (
	Success  = 0 // no rule was violated
	Violated = 1 // a rule was violated
	Usage    = 2 // the command line or the scenario cannot be used
	NotRun   = 3 // it could not be run: a port taken, a process that does not start, the lab itself late
)

var errViolated = errors.New("a rule was violated")

// usageError reports a command line or a scenario that cannot be used.
type usageError struct{ error }

// Unwrap returns the cause.
func (u usageError) Unwrap() error { return u.error }

const longHelp = `Run many relays, break things between them, and judge what they did.

Exit codes: 0 every promise was kept; 1 a promise was broken; 2 bad usage or scenario;
3 it could not be run (a port taken, a process that does not start, the lab itself late).`

// Main runs the command line and returns the exit code. The end of ctx ends the load
// of a run early.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "faultlab", Short: "Run many relays, break things between them, and judge what they did",
		Long: longHelp, SilenceErrors: true, SilenceUsage: true, Args: rejectUnknownCommand,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.SuggestionsMinimumDistance = 2 // cobra's default
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(upCommand(), runCommand(), listCommand(), checkCommand(), compareCommand(), sweepCommand(), benchCommand(), simRelayCommand())
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Success
	}
	if errors.Is(err, errViolated) {
		return Violated
	}
	fmt.Fprintln(errOut, "faultlab:", err)
	var invalid *scenario.Error
	var usage usageError
	if errors.As(err, &invalid) || errors.As(err, &usage) {
		return Usage
	}
	return NotRun
}

// rejectUnknownCommand rejects arguments of the root command as cobra does by default,
// but with a usageError.
func rejectUnknownCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	text := fmt.Sprintf("unknown command %q for %q", args[0], c.CommandPath())
	if suggestions := c.SuggestionsFor(args[0]); len(suggestions) > 0 {
		text += "\n\nDid you mean this?\n\t" + strings.Join(suggestions, "\n\t") + "\n"
	}
	return usageError{errors.New(text)}
}

// exactArgs is cobra.ExactArgs with a usageError, so that the exit code is Usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

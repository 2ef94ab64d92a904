// Package command is the lab's command line. It promises the exit codes that
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
	Passed   = 0 // every promise was kept
	Violated = 1 // a promise was broken
	Usage    = 2 // the command line or the scenario cannot be used
	NotRun   = 3 // it could not be run: a port taken, a process that does not start, the lab itself late
)

var errViolated = errors.New("a promise was broken")

// usageError is a command line or a scenario that cannot be used.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// Main runs the command line and gives the exit code. ctx ends the load of a
// run early.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "faultlab", Short: "Run many relays, break things between them, and judge what they did",
		Long: "Run many relays, break things between them, and judge what they did.\n\nExit codes: 0 every promise was kept; 1 a promise was broken; 2 bad usage or scenario;\n" +
			"3 it could not be run (a port taken, a process that does not start, the lab itself late).",
		SilenceErrors: true, SilenceUsage: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(upCommand(), runCommand(), listCommand(), checkCommand(), compareCommand(), sweepCommand(), benchCommand(), simRelayCommand())
	err := root.ExecuteContext(ctx)
	var bad *scenario.Error
	var usage usageError
	switch {
	case err == nil:
		return Passed
	case errors.Is(err, errViolated):
		return Violated
	case errors.As(err, &bad), errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintln(errOut, "faultlab:", err)
		return Usage
	}
	fmt.Fprintln(errOut, "faultlab:", err)
	return NotRun
}

// exactly is cobra.ExactArgs with an exit code for bad usage.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

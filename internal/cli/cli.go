// Package cli holds what the command lines of the project's programs share: it runs
// a command tree, maps errors to exit codes, and makes loggers.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes of the programs. Each program's help names those that it uses.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the request was rejected, or the program could not go on
	ExitUsage       = 2 // the command line or the configuration is invalid
	ExitUnavailable = 3 // no node of the group answers
	ExitCorrupt     = 4 // stored data is corrupt
)

// UsageError reports an invalid command line or configuration. The process exits
// with ExitUsage.
type UsageError struct{ Err error }

// Error returns the text of the cause.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.Err }

// Usagef returns a UsageError with a formatted text, in which %w wraps a cause as in
// fmt.Errorf.
func Usagef(format string, args ...any) error {
	return UsageError{fmt.Errorf(format, args...)}
}

// ExitCoder is an error that has an exit code of its own.
type ExitCoder interface {
	error
	// ExitCode returns the exit code of the process.
	ExitCode() int
}

// NewLogger returns a logger that writes to out, as JSON if format is "json" and as
// text otherwise.
func NewLogger(format string, out io.Writer) *slog.Logger {
	if format == "json" {
		return slog.New(slog.NewJSONHandler(out, nil))
	}
	return slog.New(slog.NewTextHandler(out, nil))
}

// Run executes a command tree, prints its error to errOut and returns the exit
// code of the process.
func Run(ctx context.Context, root *cobra.Command, args []string, out, errOut io.Writer) int {
	return RunWithUsagePrefix(ctx, root, args, out, errOut, "")
}

// RunWithUsagePrefix is Run for a program whose usage errors are printed with a
// prefix.
func RunWithUsagePrefix(ctx context.Context, root *cobra.Command, args []string, out, errOut io.Writer, usagePrefix string) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if code != ExitUsage {
		usagePrefix = ""
	}
	fmt.Fprintf(errOut, "%s: %s%v\n", root.Name(), usagePrefix, err)
	return code
}

// exitCode returns the exit code for an error that is not nil.
func exitCode(err error) int {
	var usage UsageError
	var coder ExitCoder
	switch {
	case errors.As(err, &coder):
		return coder.ExitCode()
	case errors.As(err, &usage), isUnknownCommand(err):
		return ExitUsage
	case errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	}
	return ExitFailed
}

// isUnknownCommand recognizes cobra's error for an unknown command, which has no
// type of its own.
func isUnknownCommand(err error) bool { return strings.HasPrefix(err.Error(), "unknown command") }

// ExactArgs accepts exactly n arguments; any other number is a UsageError.
func ExactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return UsageError{err}
		}
		return nil
	}
}

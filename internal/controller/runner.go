package controller

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/rollout"
)

// runnerOptions are the values of the runner's flags. operators are two operator addresses,
// which successive processes of the relay use in turn.
type runnerOptions struct {
	listenAddress string
	folder        string
	operators     []string
	process       rollout.LocalProcess
}

// newRunnerCommand returns the command that runs one relay as a process on this machine and
// restarts it when the holder of the role rollout requests that.
func newRunnerCommand(errOut io.Writer) *cobra.Command {
	var opts runnerOptions
	c := &cobra.Command{
		Use:   "runner [flags] -- PROGRAM [ARGUMENTS]",
		Short: "Run one relay, and restart it once for each step of a rollout",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return cli.Usagef("a program is wanted")
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error { return runRunner(c, &opts, args, errOut) },
	}
	flags := c.Flags()
	flags.StringVar(&opts.listenAddress, "listen", "127.0.0.1:7900", "where controllers send requests")
	flags.StringVar(&opts.folder, "folder", "runner-data", "folder that lasts: which step was done, and the highest token")
	flags.StringSliceVar(&opts.operators, "operators", []string{"127.0.0.1:7700", "127.0.0.1:7701"}, "operator addresses of the relay's processes, by turns")
	flags.DurationVar(&opts.process.TakeoverTime, "take", 2*time.Second, "that the next process has to take over")
	flags.DurationVar(&opts.process.TerminationTime, "term", 4*time.Second, "that the one before has to end")
	return c
}

func runRunner(c *cobra.Command, opts *runnerOptions, command []string, errOut io.Writer) error {
	if err := os.MkdirAll(opts.folder, 0o700); err != nil {
		return cli.Usagef("--folder: %w", err)
	}
	listener, err := net.Listen("tcp", opts.listenAddress)
	if err != nil {
		return cli.Usagef("--listen: %w", err)
	}
	defer listener.Close()
	if len(opts.operators) != 2 {
		return cli.Usagef("--operators: two are wanted")
	}
	relay := &opts.process
	relay.Command, relay.OperatorAddresses = command, [2]string{opts.operators[0], opts.operators[1]}
	if _, err := relay.Restart(c.Context()); err != nil {
		return err
	}
	defer relay.Stop()
	log := cli.NewLogger("text", errOut)
	runner := &rollout.Runner{Folder: opts.folder, Program: relay, Log: log}
	server := serve(listener, runner.Handler())
	defer server.close()
	log.Info("runner started", "listen", listener.Addr().String())
	<-c.Context().Done()
	return nil
}

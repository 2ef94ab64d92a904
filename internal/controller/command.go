// Package controller implements the command line of the program that runs the fleet's
// leader-elected work, and of the runner that restarts one relay for a rollout. The help
// text names the exit codes. Leader election itself is in package leader.
package controller

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/clock"
	"plovershore/internal/failover"
	"plovershore/internal/leader"
	"plovershore/internal/registry/client"
	"plovershore/internal/rollout"
	"plovershore/internal/zones"
)

const (
	usagePrefix = "usage: "
	defaultNode = "127.0.0.1:7800"
	defaultTTL  = 3 * time.Second
)

// Main runs the controller's command line until the command is done or ctx ends, and
// returns the exit code of the process.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newCommand(errOut)
	root.AddCommand(newRunnerCommand(errOut))
	return cli.RunWithUsagePrefix(ctx, root, args, out, errOut, usagePrefix)
}

// options are the values of the controller's flags.
type options struct {
	nodes           []string
	name            string
	ttl             time.Duration
	roles           []string
	oldRoles        []string // value of the flag's old name
	operatorAddress string
	platformAddress string
	logFormat       string
	drillClock      string
}

func newCommand(errOut io.Writer) *cobra.Command {
	var opts options
	c := &cobra.Command{
		Use:   "controller",
		Short: "Hold duties of the fleet, one process at a time for each",
		Long: "Hold duties of the fleet, one process at a time for each.\n\n" +
			"Exit codes: 0 ended when asked to, all duties given up; 1 it could not go on; 2 bad usage.",
		Args: rejectArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if opts.logFormat != "text" && opts.logFormat != "json" {
				return cli.Usagef("--log: %q; text and json are allowed", opts.logFormat)
			}
			log := cli.NewLogger(opts.logFormat, errOut).With("controller", opts.name)
			return run(c, &opts, log)
		},
	}
	hostname, _ := os.Hostname() // only a default, which is empty if the name is unknown
	flags := c.Flags()
	flags.StringSliceVar(&opts.nodes, "nodes", []string{defaultNode}, "nodes of the list service")
	flags.StringVar(&opts.name, "name", hostname, "this controller, for people")
	flags.DurationVar(&opts.ttl, "ttl", defaultTTL, "time to live of its session: another takes over so long after it was last heard of")
	flags.StringSliceVar(&opts.roles, rolesFlag, []string{leader.RegistrationExpiry, failover.Role, rollout.Role, zones.Role}, "roles that it may hold")
	flags.StringSliceVar(&opts.oldRoles, oldRolesFlag, nil, "the old name of --"+rolesFlag)
	flags.StringVar(&opts.operatorAddress, "operator", "", "where /v1/metrics is served; empty for nowhere")
	flags.StringVar(&opts.platformAddress, "platform", "", "where failover reports how messages ended (POST /reports); empty for the list service, which counts them")
	flags.StringVar(&opts.logFormat, "log", "text", "text or json, on standard error")
	flags.StringVar(&opts.drillClock, "drill-clock", "", "have its clock run wrong, such as rate=1.1,date=-1h@8s: for drills alone")
	return c
}

func rejectArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return cli.Usagef("%q is not expected", args[0])
	}
	return nil
}

// run campaigns for the roles of opts until the command's context ends.
func run(c *cobra.Command, opts *options, log *slog.Logger) error {
	listService, err := client.New(opts.nodes, 1, log)
	if err != nil {
		return cli.Usagef("--nodes: %w", err)
	}
	defer listService.Close()
	platform := listService
	if opts.platformAddress != "" {
		if platform, err = client.New([]string{opts.platformAddress}, 1, log); err != nil {
			return cli.Usagef("--platform: %w", err)
		}
		defer platform.Close()
	}
	work, err := selectWork(c, opts, allWork(listService, platform, log))
	if err != nil {
		return err
	}
	drill, err := clock.Parse(opts.drillClock)
	if err != nil {
		return cli.Usagef("--drill-clock: %w", err)
	}
	metrics := leader.NewMetrics()
	if opts.operatorAddress != "" {
		server, err := listen(opts.operatorAddress, operatorHandler(metrics))
		if err != nil {
			return cli.Usagef("--operator: %w", err)
		}
		defer server.close()
	}
	return leader.Run(c.Context(), leader.Options{
		Client:  listService,
		Name:    opts.name,
		TTL:     opts.ttl,
		Roles:   work,
		Log:     log,
		Metrics: metrics,
		Clock:   drill,
	})
}

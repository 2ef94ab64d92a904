// Package controller is controller's command line and `relayctl duties`. It
// promises the exit codes that their help names; what a duty is, is package
// duty's.
package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/acceptretry"
	"plovershore/internal/clock"
	"plovershore/internal/failover"
	"plovershore/internal/leader"
	"plovershore/internal/registry/client"
	"plovershore/internal/rollout"
	"plovershore/internal/zones"
)

// Exit codes.
const (
	OK     = 0
	Failed = 1
	Usage  = 2
)

var errUsage = errors.New("usage")

// Main is controller's main. ctx ends it.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var nodes, duties []string
	var name, form, operator, platform, drill string
	var ttl time.Duration
	c := &cobra.Command{Use: "controller", Short: "Hold duties of the fleet, one process at a time for each",
		Long: "Hold duties of the fleet, one process at a time for each.\n\n" +
			"Exit codes: 0 ended when asked to, all duties given up; 1 it could not go on; 2 bad usage.",
		SilenceErrors: true, SilenceUsage: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: %q is not expected", errUsage, args[0])
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			var h slog.Handler = slog.NewTextHandler(errOut, nil)
			switch form {
			case "text":
			case "json":
				h = slog.NewJSONHandler(errOut, nil)
			default:
				return fmt.Errorf("%w: --log: %q; text and json are allowed", errUsage, form)
			}
			log := slog.New(h).With("warden", name)
			g, err := client.New(nodes, 1, log)
			if err != nil {
				return fmt.Errorf("%w: --nodes: %w", errUsage, err)
			}
			defer g.Close()
			told := g
			if platform != "" {
				if told, err = client.New([]string{platform}, 1, log); err != nil {
					return fmt.Errorf("%w: --platform: %w", errUsage, err)
				}
				defer told.Close()
			}
			all := map[string]leader.Work{leader.RegistrationExpiry: leader.ExpireRegistrations, leader.Counter: leader.Count(log), failover.Role: failover.Work(g, told), rollout.Role: rollout.Work(g), zones.Role: zones.Work(g)}
			work := map[string]leader.Work{}
			for _, d := range duties {
				w, ok := all[d]
				if !ok {
					return fmt.Errorf("%w: --duties: %q is unknown; list-keeper, salvage, rollout, zone-warden and count are known", errUsage, d)
				}
				work[d] = w
			}
			own, err := clock.Parse(drill)
			if err != nil {
				return fmt.Errorf("%w: --drill-clock: %w", errUsage, err)
			}
			figures := leader.NewMetrics()
			if operator != "" {
				ln, err := net.Listen("tcp", operator)
				if err != nil {
					return fmt.Errorf("%w: --operator: %w", errUsage, err)
				}
				mux := http.NewServeMux()
				mux.Handle("GET /v1/metrics", figures.Handler())
				s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
				go s.Serve(acceptretry.NewListener(ln)) // ends by Close
				defer s.Close()
			}
			return leader.Run(c.Context(), leader.Options{Client: g, Name: name, TTL: ttl, Roles: work, Log: log, Metrics: figures, Clock: own})
		}}
	host, _ := os.Hostname() // a default alone
	c.Flags().StringSliceVar(&nodes, "nodes", []string{"127.0.0.1:7800"}, "nodes of the list service")
	c.Flags().StringVar(&name, "name", host, "this warden, for people")
	c.Flags().DurationVar(&ttl, "ttl", 3*time.Second, "time to live of its session: another takes over so long after it was last heard of")
	c.Flags().StringSliceVar(&duties, "duties", []string{leader.RegistrationExpiry, failover.Role, rollout.Role, zones.Role}, "what it may hold")
	c.Flags().StringVar(&operator, "operator", "", "where /v1/metrics is served; empty for nowhere")
	c.Flags().StringVar(&platform, "platform", "", "where salvage tells how messages ended (POST /reports); empty for the list service, which counts them")
	c.Flags().StringVar(&form, "log", "text", "text or json, on standard error")
	c.Flags().StringVar(&drill, "drill-clock", "", "have its clock run wrong, such as rate=1.1,date=-1h@8s: for drills alone")
	c.AddCommand(runnerCommand(errOut))
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errOut)
	switch err := c.ExecuteContext(ctx); {
	case err == nil:
		return OK
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "controller: %v\n", err)
		return Usage
	default:
		fmt.Fprintf(errOut, "controller: %v\n", err)
		return Failed
	}
}

// runnerCommand runs one relay as a process of this machine and restarts it when
// the duty rollout asks.
func runnerCommand(errOut io.Writer) *cobra.Command {
	var listen, folder string
	var operators []string
	l := &rollout.LocalProcess{}
	c := &cobra.Command{Use: "runner [flags] -- PROGRAM [ARGUMENTS]", Short: "Run one relay, and restart it once for each step of a rollout",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: a program is wanted", errUsage)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return fmt.Errorf("%w: --folder: %w", errUsage, err)
			}
			ln, err := net.Listen("tcp", listen)
			if err != nil {
				return fmt.Errorf("%w: --listen: %w", errUsage, err)
			}
			if len(operators) != 2 {
				ln.Close()
				return fmt.Errorf("%w: --operators: two are wanted", errUsage)
			}
			l.Command, l.OperatorAddresses = args, [2]string{operators[0], operators[1]}
			if _, err := l.Restart(c.Context()); err != nil {
				ln.Close()
				return err
			}
			defer l.Stop()
			log := slog.New(slog.NewTextHandler(errOut, nil))
			s := &http.Server{Handler: (&rollout.Runner{Folder: folder, Program: l, Log: log}).Handler(), ReadHeaderTimeout: 5 * time.Second}
			go s.Serve(acceptretry.NewListener(ln)) // ends by Close
			defer s.Close()
			log.Info("runner serves", "listen", ln.Addr().String())
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "where the wardens ask")
	c.Flags().StringVar(&folder, "folder", "runner-data", "folder that lasts: which step was done, and the highest token")
	c.Flags().StringSliceVar(&operators, "operators", []string{"127.0.0.1:7700", "127.0.0.1:7701"}, "operator addresses of the relay's processes, by turns")
	c.Flags().DurationVar(&l.TakeoverTime, "take", 2*time.Second, "that the next process has to take over")
	c.Flags().DurationVar(&l.TerminationTime, "term", 4*time.Second, "that the one before has to end")
	return c
}

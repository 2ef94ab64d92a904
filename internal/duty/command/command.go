// Package command is troutwarden's command line and `troutctl duties`. It
// promises the exit codes that their help names; what a duty is, is package
// duty's.
package command

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

	"troutusher/internal/duty"
	"troutusher/internal/registry/client"
	"troutusher/internal/salvage"
)

// Exit codes.
const (
	OK     = 0
	Failed = 1
	Usage  = 2
)

var errUsage = errors.New("usage")

// Warden is troutwarden's main. ctx ends it.
func Warden(ctx context.Context, args []string, out, errOut io.Writer) int {
	var nodes, duties []string
	var name, form, operator string
	var ttl time.Duration
	c := &cobra.Command{Use: "troutwarden", Short: "Hold duties of the fleet, one process at a time for each",
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
			all := map[string]duty.Work{duty.ListKeeper: duty.KeepList, duty.Counter: duty.Count(log), salvage.Duty: salvage.Work(g)}
			work := map[string]duty.Work{}
			for _, d := range duties {
				w, ok := all[d]
				if !ok {
					return fmt.Errorf("%w: --duties: %q is unknown; list-keeper, salvage and count are known", errUsage, d)
				}
				work[d] = w
			}
			figures := duty.NewFigures()
			if operator != "" {
				ln, err := net.Listen("tcp", operator)
				if err != nil {
					return fmt.Errorf("%w: --operator: %w", errUsage, err)
				}
				mux := http.NewServeMux()
				mux.Handle("GET /v1/metrics", figures.Handler())
				s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
				go s.Serve(ln) // ends by Close
				defer s.Close()
			}
			return duty.Run(c.Context(), duty.Options{Client: g, Warden: name, TTL: ttl, Duties: work, Log: log, Figures: figures})
		}}
	host, _ := os.Hostname() // a default alone
	c.Flags().StringSliceVar(&nodes, "nodes", []string{"127.0.0.1:7800"}, "nodes of the list service")
	c.Flags().StringVar(&name, "name", host, "this warden, for people")
	c.Flags().DurationVar(&ttl, "ttl", 3*time.Second, "time to live of its session: another takes over so long after it was last heard of")
	c.Flags().StringSliceVar(&duties, "duties", []string{duty.ListKeeper, salvage.Duty}, "what it may hold")
	c.Flags().StringVar(&operator, "operator", "", "where /v1/metrics is served; empty for nowhere")
	c.Flags().StringVar(&form, "log", "text", "text or json, on standard error")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errOut)
	switch err := c.ExecuteContext(ctx); {
	case err == nil:
		return OK
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "troutwarden: %v\n", err)
		return Usage
	default:
		fmt.Fprintf(errOut, "troutwarden: %v\n", err)
		return Failed
	}
}

// Package relayctl implements the operators' command line. It reads and changes the
// endpoint list, the leader-elected roles and the operations of a fleet through the list
// service. Each group of commands has a file of its own. The caller of Main adds commands
// of other packages, such as those on the logs of relays.
package relayctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	defaultNode    = "127.0.0.1:7800"
	defaultTimeout = 10 * time.Second
)

// Main runs relayctl and returns the exit code of the process. moreCommands are added to
// the root command; if one of them returns an error with an exit code, Main returns that
// code.
func Main(ctx context.Context, args []string, out, errOut io.Writer, moreCommands ...*cobra.Command) int {
	a := &app{}
	root := &cobra.Command{
		Use:   "relayctl",
		Short: "Look at a fleet's list and at relays' logs, and change them",
		Long: "Look at a fleet's list and at relays' logs, and change them.\n\n" +
			"Exit codes: 0 done; 1 refused; 2 bad usage; 3 no node of the group answered in time.",
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.nodes, "nodes", []string{defaultNode}, "nodes of the group")
	flags.BoolVar(&a.json, "json", false, "JSON in place of a table")
	flags.DurationVar(&a.timeout, "wait", defaultTimeout, "for an answer")
	root.AddCommand(
		newMembersCommand(a),
		newStatusCommand(a),
		newSnapshotCommand(a),
		newExpirationsCommand(a),
		newZonesCommand(a),
		newRolesCommand(a),
		newFailoverCommand(a),
		newRolloutCommand(a),
	)
	root.AddCommand(moreCommands...)
	return cli.Run(ctx, root, args, out, errOut)
}

// app has the settings that all commands share: how to reach the list service, and how to
// print a result.
type app struct {
	nodes   []string
	json    bool
	timeout time.Duration
}

// request sends one request to the list service and waits at most a.timeout for the
// response, which it decodes into out.
func (a *app) request(c *cobra.Command, method, path string, body, out any) (http.Header, error) {
	listService, err := client.New(a.nodes, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, cli.UsageError{Err: err}
	}
	defer listService.Close()
	ctx, cancel := context.WithTimeout(c.Context(), a.timeout)
	defer cancel()
	return listService.Do(ctx, method, path, body, out)
}

// get reads a resource of the list service into out.
func (a *app) get(c *cobra.Command, path string, out any) error {
	_, err := a.request(c, http.MethodGet, path, nil, out)
	return err
}

// change sends a write to the list service and prints the revision that includes it.
func (a *app) change(c *cobra.Command, method, path string, body any) error {
	var result registry.Result
	if _, err := a.request(c, method, path, body, &result); err != nil {
		return err
	}
	return a.print(c, result, func(w io.Writer) { fmt.Fprintf(w, "done, at revision %d\n", result.Revision) })
}

// print writes value as JSON if --json is given. Otherwise it writes the output of table,
// with tab-separated columns aligned.
func (a *app) print(c *cobra.Command, value any, table func(w io.Writer)) error {
	if a.json {
		encoder := json.NewEncoder(c.OutOrStdout())
		encoder.SetIndent("", " ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

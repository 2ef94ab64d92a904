// Package relayctl is the operators' command line. It reads and changes the endpoint
// list, the leader-elected roles and the operations of a fleet by the list service.
// Each command group is a file; commands of other packages, such as those on relays'
// logs, are added by the caller of Main.
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

// Main runs relayctl and returns the exit code of the process. more are commands of
// other packages; an error of theirs that has an exit code ends the process with it.
func Main(ctx context.Context, args []string, out, errOut io.Writer, more ...*cobra.Command) int {
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
	root.AddCommand(more...)
	return cli.Run(ctx, root, args, out, errOut)
}

// app is what all commands share: how the list service is reached, and how a result
// is printed.
type app struct {
	nodes   []string
	json    bool
	timeout time.Duration
}

// request sends one request to the group and waits at most a.timeout for its response.
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

// change sends a write and prints the revision that has it.
func (a *app) change(c *cobra.Command, method, path string, body any) error {
	var result registry.Result
	if _, err := a.request(c, method, path, body, &result); err != nil {
		return err
	}
	return a.print(c, result, func(w io.Writer) { fmt.Fprintf(w, "done, at revision %d\n", result.Revision) })
}

// print writes a value as JSON where --json is given, and otherwise what table writes,
// with its columns aligned at tabs.
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

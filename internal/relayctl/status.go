package relayctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
)

// nodeTimeout is the maximum time to wait for the status of one node.
const nodeTimeout = 2 * time.Second

func newStatusCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "How each node stands", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			statuses, unreachable := a.nodeStatuses(c)
			if len(statuses) == 0 {
				return fmt.Errorf("no node answers: %w", context.DeadlineExceeded)
			}
			return a.print(c, statuses, func(w io.Writer) { writeStatuses(w, statuses, unreachable) })
		},
	}
}

// nodeStatuses requests the status of each node from the node itself.
func (a *app) nodeStatuses(c *cobra.Command) (statuses []registry.Status, unreachable []string) {
	for _, node := range a.nodes {
		single := &app{nodes: []string{node}, timeout: min(a.timeout, nodeTimeout)}
		var status registry.Status
		if err := single.get(c, registry.StatusPath, &status); err != nil {
			unreachable = append(unreachable, node)
			continue
		}
		statuses = append(statuses, status)
	}
	return statuses, unreachable
}

func writeStatuses(w io.Writer, statuses []registry.Status, unreachable []string) {
	fmt.Fprintln(w, "ID\tROLE\tLEADER\tTERM\tREVISION\tMEMBERS\tWATCHERS\tSTALE\tLAPSES HELD")
	for _, s := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%d\n", s.ID, s.RaftRole, s.Leader, s.Term, s.Revision, s.Members, s.Watchers, s.Stale, s.SuspendedExpirations)
	}
	for _, node := range unreachable {
		fmt.Fprintf(w, "%s\tdoes not answer\n", node)
	}
}

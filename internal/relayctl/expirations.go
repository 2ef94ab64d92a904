package relayctl

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
)

// confirmedExpirations is the list service's response to a confirmation.
type confirmedExpirations struct {
	Count int `json:"lapses"`
}

// newExpirationsCommand returns the commands on expirations that the list service's guard
// against mass expiry has suspended.
func newExpirationsCommand(a *app) *cobra.Command {
	c := &cobra.Command{
		Use:     "expirations",
		Aliases: []string{"lapses"},
		Short:   "Expirations that are held back, since too many came at once",
	}
	confirm := &cobra.Command{
		Use: "confirm", Short: "Let them expire", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			var confirmed confirmedExpirations
			if _, err := a.request(c, http.MethodPost, registry.ConfirmExpiryPath, nil, &confirmed); err != nil {
				return err
			}
			return a.print(c, confirmed, func(w io.Writer) { fmt.Fprintf(w, "%d lapse\n", confirmed.Count) })
		},
	}
	c.AddCommand(confirm)
	return c
}

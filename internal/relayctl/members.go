package relayctl

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// memberCommands builds the commands on the endpoint list.
type memberCommands struct{ *app }

func newMembersCommand(a *app) *cobra.Command {
	m := memberCommands{a}
	c := &cobra.Command{Use: "members", Short: "The endpoints that the fleet may send to"}
	c.AddCommand(
		m.list(),
		m.add(),
		m.setPhase("drain", "Send it nothing new", discovery.Draining),
		m.setPhase("undrain", "Take a drain back", discovery.Up),
		m.remove(),
	)
	return c
}

func (m memberCommands) list() *cobra.Command {
	var consistent bool
	c := &cobra.Command{
		Use: "list", Short: "List them", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			path := registry.MembersPath
			if consistent {
				path += "?consistent=1"
			}
			var members []registry.Member
			header, err := m.request(c, http.MethodGet, path, nil, &members)
			if err != nil {
				return err
			}
			return m.print(c, members, func(w io.Writer) { writeMembers(w, members, header) })
		},
	}
	c.Flags().BoolVar(&consistent, "consistent", false, "as a leader has it, with every change that was answered before")
	return c
}

func writeMembers(w io.Writer, members []registry.Member, header http.Header) {
	fmt.Fprintln(w, "ID\tADDRESS\tZONE\tFLAVOR\tCELL\tPHASE\tTTL\tCHANGED")
	for _, m := range members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%v\t%d\n", m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Phase, m.TTL, m.Changed)
	}
	if header.Get(registry.StaleHeader) == "true" {
		fmt.Fprintf(w, "stale: this node has no word from a leader; as of revision %s\n", header.Get(registry.RevisionHeader))
	}
}

func (m memberCommands) add() *cobra.Command {
	var registration registry.Registration
	var ttl time.Duration
	c := &cobra.Command{
		Use: "add", Short: "Add one, or change it", Args: cli.ExactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			registration.TTLMS = ttl.Milliseconds()
			return m.change(c, http.MethodPost, registry.MembersPath, registration)
		},
	}
	flags := c.Flags()
	flags.StringVar(&registration.ID, "id", "", "its id")
	flags.StringVar(&registration.Address, "address", "", "host and port")
	flags.StringVar(&registration.Zone, "zone", "", "its zone")
	flags.StringVar(&registration.Flavor, "flavor", "", "its kind")
	flags.IntVar(&registration.Cell, "cell", 0, "its destination")
	flags.DurationVar(&ttl, "ttl", 0, "expires without a heartbeat for so long; 0 for never")
	flags.StringVar(&registration.Holder, "holder", "", "who alone may renew it")
	flags.Int64Var(&registration.IfChanged, "if", 0, "only where its last change is this")
	return c
}

// phaseRequest is the body of the request that changes a member's phase.
type phaseRequest struct {
	Phase string `json:"phase"`
}

func (m memberCommands) setPhase(verb, short, phase string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " ID", Short: short, Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return m.change(c, http.MethodPost, memberPath(args[0])+"/phase", phaseRequest{phase})
		},
	}
}

func (m memberCommands) remove() *cobra.Command {
	return &cobra.Command{
		Use: "remove ID", Short: "Take it off the list", Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return m.change(c, http.MethodDelete, memberPath(args[0]), nil)
		},
	}
}

func memberPath(id string) string { return registry.MembersPath + "/" + url.PathEscape(id) }

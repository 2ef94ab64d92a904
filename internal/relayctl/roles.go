package relayctl

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
)

// roleCommands builds the commands on leader-elected roles.
type roleCommands struct{ *app }

func newRolesCommand(a *app) *cobra.Command {
	r := roleCommands{a}
	c := &cobra.Command{
		Use:     "roles",
		Aliases: []string{"duties"},
		Short:   "Work that one controller does at a time",
	}
	c.AddCommand(
		&cobra.Command{Use: "list", Short: "List them, and the controllers", Args: cli.ExactArgs(0), RunE: r.list},
		&cobra.Command{Use: "show ROLE", Short: "All of one, with where its work stands", Args: cli.ExactArgs(1), RunE: r.show},
		r.setDisabled("release", "Take it from its holder; any controller may have it next", true, false),
		r.setDisabled("hold", "Take it from its holder; nobody may have it", true),
		r.setDisabled("unhold", "Let controllers have it again", false),
	)
	return c
}

func (r roleCommands) list(c *cobra.Command, _ []string) error {
	roles, err := r.roles(c)
	if err != nil {
		return err
	}
	return r.print(c, roles, func(w io.Writer) { writeRoles(w, roles) })
}

func (r roleCommands) show(c *cobra.Command, args []string) error {
	roles, err := r.roles(c)
	if err != nil {
		return err
	}
	for _, role := range roles.Roles {
		if role.Name == args[0] {
			return r.print(c, role, func(w io.Writer) { writeRole(w, role) })
		}
	}
	return fmt.Errorf("duty %s is unknown", args[0])
}

// setDisabled returns a command that sends one request for each of steps, which disables
// the role if the step is true and enables it if it is false.
func (r roleCommands) setDisabled(verb, short string, steps ...bool) *cobra.Command {
	return &cobra.Command{
		Use: verb + " ROLE", Short: short, Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var result registry.Result
			for _, disabled := range steps {
				result = registry.Result{}
				path := registry.RolesPath + "/" + url.PathEscape(args[0]) + "/hold"
				if _, err := r.request(c, http.MethodPost, path, registry.RoleRequest{Disabled: disabled}, &result); err != nil {
					return err
				}
			}
			return r.print(c, result, func(w io.Writer) { fmt.Fprintln(w, "done") })
		},
	}
}

func (r roleCommands) roles(c *cobra.Command) (list registry.RoleList, err error) {
	err = r.get(c, registry.RolesPath, &list)
	return list, err
}

func writeRoles(w io.Writer, list registry.RoleList) {
	fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tTERM\tFAILS\tHELD BACK\tSINCE")
	for _, role := range list.Roles {
		holder := role.Controller
		if role.Holder == "" {
			holder = "-"
		}
		since := time.UnixMilli(max(role.GrantedAt, role.ReleasedAt)).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\n", role.Name, holder, role.Token, role.Term, role.Failures, role.Disabled, since)
	}
	for _, session := range list.Sessions {
		fmt.Fprintf(w, "warden %s: session %s, time to live %v\n", session.Controller, session.ID, session.TTL)
	}
}

func writeRole(w io.Writer, role registry.Role) {
	fmt.Fprintf(w, "duty\t%s\n", role.Name)
	fmt.Fprintf(w, "holder\t%s\t%s\n", role.Controller, role.Holder)
	fmt.Fprintf(w, "token\t%d\n", role.Token)
	fmt.Fprintf(w, "term\t%d\n", role.Term)
	fmt.Fprintf(w, "fails\t%d\n", role.Failures)
	fmt.Fprintf(w, "held back\t%v\n", role.Disabled)
	fmt.Fprintf(w, "next\t%s\n", role.Successor)
	fmt.Fprintf(w, "note\t%s\n", role.Note)
}

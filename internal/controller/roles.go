package controller

import (
	"log/slog"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/failover"
	"plovershore/internal/leader"
	"plovershore/internal/registry/client"
	"plovershore/internal/rollout"
	"plovershore/internal/zones"
)

// Name of the flag that selects the roles, and its old name.
const (
	rolesFlag    = "roles"
	oldRolesFlag = "duties"
)

// allWork returns the work of each role that the program knows.
func allWork(listService, platform *client.Client, log *slog.Logger) map[string]leader.Work {
	return map[string]leader.Work{
		leader.RegistrationExpiry: leader.ExpireRegistrations,
		leader.Counter:            leader.Count(log),
		failover.Role:             failover.Work(listService, platform),
		rollout.Role:              rollout.Work(listService),
		zones.Role:                zones.Work(listService),
	}
}

// selectWork returns the work of the roles that the flags name, which must be in known.
func selectWork(c *cobra.Command, opts *options, known map[string]leader.Work) (map[string]leader.Work, error) {
	flags := c.Flags()
	flag, names := rolesFlag, opts.roles
	if flags.Changed(oldRolesFlag) {
		if flags.Changed(rolesFlag) {
			return nil, cli.Usagef("--%s is the old name of --%s; one of them is allowed", oldRolesFlag, rolesFlag)
		}
		flag, names = oldRolesFlag, opts.oldRoles
	}
	selected := map[string]leader.Work{}
	for _, name := range names {
		work, ok := known[name]
		if !ok {
			return nil, cli.Usagef("--%s: %q is unknown; list-keeper, salvage, rollout, zone-warden and count are known", flag, name)
		}
		selected[name] = work
	}
	return selected, nil
}

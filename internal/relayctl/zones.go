package relayctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
	"plovershore/internal/zones"
)

// startTimeFormat is the format of the start time in the name of an evacuation. It makes
// the names of a zone's successive evacuations different.
const startTimeFormat = "20060102T150405"

// zoneCommands builds the commands on zones and their evacuations.
type zoneCommands struct{ operationCommands }

func newZonesCommand(a *app) *cobra.Command {
	z := zoneCommands{operationCommands{a, zones.Role}}
	c := &cobra.Command{Use: "zones", Short: "The zones that endpoints stand in, and their regions"}
	c.AddCommand(
		&cobra.Command{Use: "list", Short: "List them", Args: cli.ExactArgs(0), RunE: z.listZones},
		&cobra.Command{Use: "set ZONE REGION", Short: "Put a zone into a region; \"\" for none", Args: cli.ExactArgs(2), RunE: z.setRegion},
		z.evacuate(),
		z.statusCommand(),
		z.zoneStateCommand("return", "Put back, one by one, what its evacuation has drained", registry.DesiredAbort),
		z.zoneStateCommand("hold", "Leave its evacuation as it stands for now", registry.DesiredPause),
		z.zoneStateCommand("resume", "Drain on, after a hold or in place of a return", registry.DesiredRun),
	)
	return c
}

func (z zoneCommands) listZones(c *cobra.Command, _ []string) error {
	var statuses []registry.ZoneStatus
	if err := z.get(c, registry.ZonesPath, &statuses); err != nil {
		return err
	}
	return z.print(c, statuses, func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tREGION\tMEMBERS\tDRAINING")
		for _, zone := range statuses {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", zone.Name, zone.Region, zone.Members, zone.Draining)
		}
	})
}

func (z zoneCommands) setRegion(c *cobra.Command, args []string) error {
	return z.change(c, http.MethodPost, registry.ZonesPath, registry.Zone{Name: args[0], Region: args[1]})
}

func (z zoneCommands) evacuate() *cobra.Command {
	var spec zones.Spec
	var dryRun bool
	c := &cobra.Command{
		Use: "evacuate ZONE", Short: "Drain its endpoints one by one, if the other zones keep enough", Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			spec.Zone = args[0]
			if err := spec.Validate(); err != nil {
				return cli.Usagef("--%w", err)
			}
			if dryRun {
				return z.printCapacities(c, &spec)
			}
			return z.startEvacuation(c, &spec)
		},
	}
	flags := c.Flags()
	flags.Float64Var(&spec.Rate, "rate", 0.2, "endpoints a second")
	flags.Float64Var(&spec.MinFraction, "keep", 0.5, "fraction of its endpoints, by size, that each destination has to keep")
	flags.BoolVar(&spec.Force, "force", false, "whatever would be left, and whichever zone is out already")
	flags.BoolVar(&dryRun, "dry-run", false, "show what each destination would keep, and do nothing")
	return c
}

func (z zoneCommands) startEvacuation(c *cobra.Command, spec *zones.Spec) error {
	active, err := z.activeEvacuation(c, spec.Zone)
	if err != nil {
		return err
	}
	if active != nil {
		return fmt.Errorf("zone %s is being evacuated already, by %s", spec.Zone, active.Name)
	}
	name := spec.Zone + "-" + time.Now().UTC().Format(startTimeFormat)
	return z.start(c, name, spec)
}

// printCapacities prints the capacity that each destination with endpoints in the zone
// would retain. It returns an error if one would retain too little, unless the evacuation
// is forced.
func (z zoneCommands) printCapacities(c *cobra.Command, spec *zones.Spec) error {
	var members []registry.Member
	if err := z.get(c, registry.MembersPath+"?consistent=1", &members); err != nil {
		return err
	}
	capacities := zones.CapacitiesWithout(members, spec.Zone)
	err := z.print(c, capacities, func(w io.Writer) {
		fmt.Fprintln(w, "DESTINATION\tNOW\tLEFT\tENOUGH")
		for _, capacity := range capacities {
			fmt.Fprintf(w, "%d\t%.3g\t%.3g\t%v\n", capacity.Cell, capacity.Now, capacity.Remaining, capacity.Retains(spec.MinFraction))
		}
	})
	if err != nil {
		return err
	}
	insufficient := zones.Insufficient(capacities, spec.MinFraction)
	if len(insufficient) > 0 && !spec.Force {
		return fmt.Errorf("%d destinations would not keep %.3g of their endpoints", len(insufficient), spec.MinFraction)
	}
	return nil
}

// zoneStateCommand returns a command that sets the desired state of a zone's evacuation.
func (z zoneCommands) zoneStateCommand(verb, short, desired string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " ZONE", Short: short, Args: cli.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			active, err := z.activeEvacuation(c, args[0])
			if err != nil {
				return err
			}
			if active == nil {
				return fmt.Errorf("zone %s is not being evacuated", args[0])
			}
			return z.setDesiredState(c, active.Name, desired)
		},
	}
}

// activeEvacuation returns the evacuation of a zone that is not done, or nil if there is
// none.
func (z zoneCommands) activeEvacuation(c *cobra.Command, zone string) (*registry.Operation, error) {
	evacuations, err := z.list(c)
	if err != nil {
		return nil, err
	}
	for _, op := range evacuations {
		var spec zones.Spec
		if !op.Done && json.Unmarshal(op.Spec, &spec) == nil && spec.Zone == zone {
			return &op, nil
		}
	}
	return nil, nil
}

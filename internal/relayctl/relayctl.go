// Package relayctl is the operators' command line: it reads and changes the
// endpoint list, the leases and the orders of a fleet by the list service, and
// shows and moves relays' logs.
package relayctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/discovery"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/rollout"
	"plovershore/internal/zones"
)

// ctl is what all commands of relayctl share.
type ctl struct {
	nodes []string
	json  bool
	wait  time.Duration
}

// Main is the main function of relayctl. more are commands of other packages; an
// error of theirs that has an exit code ends the process with it.
func Main(ctx context.Context, args []string, out, errOut io.Writer, more ...*cobra.Command) int {
	x := &ctl{}
	root := &cobra.Command{Use: "relayctl", Short: "Look at a fleet's list and at relays' logs, and change them",
		Long: "Look at a fleet's list and at relays' logs, and change them.\n\nExit codes: 0 done; 1 refused; 2 bad usage; 3 no node of the group answered in time."}
	root.PersistentFlags().StringSliceVar(&x.nodes, "nodes", []string{"127.0.0.1:7800"}, "nodes of the group")
	root.PersistentFlags().BoolVar(&x.json, "json", false, "JSON in place of a table")
	root.PersistentFlags().DurationVar(&x.wait, "wait", 10*time.Second, "for an answer")
	root.AddCommand(x.members(), x.status(), x.snapshot(), x.lapses(), x.zones(), x.duties(), x.salvage(), x.rollout())
	root.AddCommand(more...)
	return cli.Run(ctx, root, args, out, errOut)
}

// ask asks the group once, for as long as the caller waits.
func (x *ctl) ask(c *cobra.Command, method, path string, body, out any) (http.Header, error) {
	g, err := client.New(x.nodes, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, cli.UsageError{Err: err}
	}
	defer g.Close()
	ctx, cancel := context.WithTimeout(c.Context(), x.wait)
	defer cancel()
	return g.Do(ctx, method, path, body, out)
}

func (x *ctl) show(c *cobra.Command, v any, table func(w io.Writer)) error {
	if x.json {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", " ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func (x *ctl) members() *cobra.Command {
	c := &cobra.Command{Use: "members", Short: "The endpoints that the fleet may send to"}
	var consistent bool
	list := &cobra.Command{Use: "list", Short: "List them", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		var all []registry.Member
		path := registry.MembersPath
		if consistent {
			path += "?consistent=1"
		}
		h, err := x.ask(c, http.MethodGet, path, nil, &all)
		if err != nil {
			return err
		}
		return x.show(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "ID\tADDRESS\tZONE\tFLAVOR\tCELL\tPHASE\tTTL\tCHANGED")
			for _, m := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%v\t%d\n", m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Phase, m.TTL, m.Changed)
			}
			if h.Get(registry.StaleHeader) == "true" {
				fmt.Fprintf(w, "stale: this node has no word from a leader; as of revision %s\n", h.Get(registry.RevisionHeader))
			}
		})
	}}
	list.Flags().BoolVar(&consistent, "consistent", false, "as a leader has it, with every change that was answered before")
	var r registry.Registration
	var ttl time.Duration
	add := &cobra.Command{Use: "add", Short: "Add one, or change it", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		r.TTLMS = ttl.Milliseconds()
		return x.change(c, http.MethodPost, registry.MembersPath, r)
	}}
	add.Flags().StringVar(&r.ID, "id", "", "its id")
	add.Flags().StringVar(&r.Address, "address", "", "host and port")
	add.Flags().StringVar(&r.Zone, "zone", "", "its zone")
	add.Flags().StringVar(&r.Flavor, "flavor", "", "its kind")
	add.Flags().IntVar(&r.Cell, "cell", 0, "its destination")
	add.Flags().DurationVar(&ttl, "ttl", 0, "lapses when not heard of for so long; 0 for never")
	add.Flags().StringVar(&r.Holder, "holder", "", "who alone may renew it")
	add.Flags().Int64Var(&r.IfChanged, "if", 0, "only where its last change is this")
	drain := &cobra.Command{Use: "drain ID", Short: "Send it nothing new", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return x.change(c, http.MethodPost, registry.MembersPath+"/"+url.PathEscape(args[0])+"/phase", map[string]string{"phase": discovery.Draining})
	}}
	undrain := &cobra.Command{Use: "undrain ID", Short: "Take a drain back", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return x.change(c, http.MethodPost, registry.MembersPath+"/"+url.PathEscape(args[0])+"/phase", map[string]string{"phase": discovery.Up})
	}}
	remove := &cobra.Command{Use: "remove ID", Short: "Take it off the list", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return x.change(c, http.MethodDelete, registry.MembersPath+"/"+url.PathEscape(args[0]), nil)
	}}
	c.AddCommand(list, add, drain, undrain, remove)
	return c
}

func (x *ctl) change(c *cobra.Command, method, path string, body any) error {
	var a registry.Result
	if _, err := x.ask(c, method, path, body, &a); err != nil {
		return err
	}
	return x.show(c, a, func(w io.Writer) { fmt.Fprintf(w, "done, at revision %d\n", a.Revision) })
}

func (x *ctl) status() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "How each node stands", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		var all []registry.Status
		down := map[string]error{}
		for _, node := range x.nodes {
			one := ctl{nodes: []string{node}, wait: min(x.wait, 2*time.Second)}
			var s registry.Status
			if _, err := one.ask(c, http.MethodGet, registry.StatusPath, nil, &s); err != nil {
				down[node] = err
				continue
			}
			all = append(all, s)
		}
		if len(all) == 0 {
			return fmt.Errorf("no node answers: %w", context.DeadlineExceeded)
		}
		return x.show(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "ID\tROLE\tLEADER\tTERM\tREVISION\tMEMBERS\tWATCHERS\tSTALE\tLAPSES HELD")
			for _, s := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%d\n", s.ID, s.RaftRole, s.Leader, s.Term, s.Revision, s.Members, s.Watchers, s.Stale, s.SuspendedExpirations)
			}
			for node := range down {
				fmt.Fprintf(w, "%s\tdoes not answer\n", node)
			}
		})
	}}
}

func (x *ctl) snapshot() *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "Keep the state as a backup, or go on from one"}
	save := &cobra.Command{Use: "save FILE", Short: "Keep it", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		var text []byte
		if _, err := x.ask(c, http.MethodGet, registry.SnapshotPath, nil, &text); err != nil {
			return err
		}
		tmp := args[0] + ".new"
		if err := os.WriteFile(tmp, text, 0o600); err != nil {
			return err
		}
		if err := os.Rename(tmp, args[0]); err != nil {
			return err
		}
		return x.show(c, map[string]any{"file": args[0], "bytes": len(text)}, func(w io.Writer) { fmt.Fprintf(w, "%d bytes in %s\n", len(text), filepath.Clean(args[0])) })
	}}
	restore := &cobra.Command{Use: "restore FILE", Short: "Go on from it, in a new epoch", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return cli.UsageError{Err: err}
		}
		return x.change(c, http.MethodPut, registry.SnapshotPath, text)
	}}
	c.AddCommand(save, restore)
	return c
}

func (x *ctl) duties() *cobra.Command {
	c := &cobra.Command{Use: "duties", Short: "Work that one warden does at a time"}
	get := func(c *cobra.Command) (l registry.RoleList, err error) {
		_, err = x.ask(c, http.MethodGet, registry.RolesPath, nil, &l)
		return l, err
	}
	list := &cobra.Command{Use: "list", Short: "List them, and the wardens", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		l, err := get(c)
		if err != nil {
			return err
		}
		return x.show(c, l, func(w io.Writer) {
			fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tTERM\tFAILS\tHELD BACK\tSINCE")
			for _, d := range l.Roles {
				holder := d.Controller
				if d.Holder == "" {
					holder = "-"
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\n", d.Name, holder, d.Token, d.Term, d.Failures, d.Disabled, time.UnixMilli(max(d.GrantedAt, d.ReleasedAt)).UTC().Format(time.RFC3339))
			}
			for _, s := range l.Sessions {
				fmt.Fprintf(w, "warden %s: session %s, time to live %v\n", s.Controller, s.ID, s.TTL)
			}
		})
	}}
	show := &cobra.Command{Use: "show DUTY", Short: "All of one, with where its work stands", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		l, err := get(c)
		if err != nil {
			return err
		}
		for _, d := range l.Roles {
			if d.Name == args[0] {
				return x.show(c, d, func(w io.Writer) {
					fmt.Fprintf(w, "duty\t%s\nholder\t%s\t%s\ntoken\t%d\nterm\t%d\nfails\t%d\nheld back\t%v\nnext\t%s\nnote\t%s\n", d.Name, d.Controller, d.Holder, d.Token, d.Term, d.Failures, d.Disabled, d.Successor, d.Note)
				})
			}
		}
		return fmt.Errorf("duty %s is unknown", args[0])
	}}
	hold := func(use, short string, steps ...bool) *cobra.Command {
		return &cobra.Command{Use: use + " DUTY", Short: short, Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			for i, off := range steps {
				var a registry.Result
				if _, err := x.ask(c, http.MethodPost, registry.RolesPath+"/"+url.PathEscape(args[0])+"/hold", registry.RoleRequest{Disabled: off}, &a); err != nil {
					return err
				}
				if i == len(steps)-1 {
					return x.show(c, a, func(w io.Writer) { fmt.Fprintln(w, "done") })
				}
			}
			return nil
		}}
	}
	c.AddCommand(list, show, hold("release", "Take it from its holder; any warden may have it next", true, false),
		hold("hold", "Take it from its holder; nobody may have it", true), hold("unhold", "Let wardens have it again", false))
	return c
}

// salvage gives orders to the duty of that name and follows them.
func (x *ctl) salvage() *cobra.Command {
	const kind = "salvage"
	c := &cobra.Command{Use: kind, Short: "See what a lost relay owed to its end"}
	var spec struct {
		Folder string   `json:"folder"`
		DiskMB int      `json:"disk_mb"`
		Safe   []string `json:"safe,omitempty"`
	}
	start := &cobra.Command{Use: "start NAME", Short: "Have the folder of a relay that will not come back seen to", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		if !filepath.IsAbs(spec.Folder) {
			return cli.UsageError{Err: fmt.Errorf("--folder: %q; an absolute path is wanted", spec.Folder)}
		}
		text, err := json.Marshal(spec)
		if err != nil {
			return err
		}
		return x.order(c, kind, args[0], registry.Operation{Spec: text, DesiredState: registry.DesiredRun})
	}}
	start.Flags().StringVar(&spec.Folder, "folder", "", "its state folder, on the machine of the wardens")
	start.Flags().IntVar(&spec.DiskMB, "disk-mb", 3, "its disk_mb")
	start.Flags().StringSliceVar(&spec.Safe, "safe", nil, "classes that may take effect again: handed back where they may have run, others are given up")
	c.AddCommand(start, x.orders(kind), x.wish(kind, "pause", "Leave it as it is for now", registry.DesiredPause), x.wish(kind, "resume", "Go on", registry.DesiredRun),
		x.wish(kind, "abort", "Call it off, if its folder was not moved yet", registry.DesiredAbort))
	return c
}

// rollout gives orders to the duty of that name and follows them.
func (x *ctl) rollout() *cobra.Command {
	const kind = "rollout"
	c := &cobra.Command{Use: kind, Short: "Restart a fleet's relays in waves"}
	start := &cobra.Command{Use: "start NAME PLAN.toml", Short: "Begin a plan; deploy/rollout.toml documents each key", Args: cli.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[1])
		if err != nil {
			return cli.UsageError{Err: err}
		}
		plan, err := rollout.ParsePlan(text)
		if err != nil {
			return cli.UsageError{Err: fmt.Errorf("%s: %w", args[1], err)}
		}
		spec, err := json.Marshal(plan)
		if err != nil {
			return err
		}
		return x.order(c, kind, args[0], registry.Operation{Spec: spec, DesiredState: registry.DesiredRun})
	}}
	c.AddCommand(start, x.orders(kind), x.wish(kind, "pause", "Rest after the step that is being done", registry.DesiredPause), x.wish(kind, "resume", "Go on", registry.DesiredRun),
		x.wish(kind, "abort", "End it after the step that is being done", registry.DesiredAbort))
	return c
}

func (x *ctl) order(c *cobra.Command, kind, name string, o registry.Operation) error {
	return x.change(c, http.MethodPut, registry.OperationsPath+"/"+kind+"/"+url.PathEscape(name), o)
}

func (x *ctl) wish(kind, use, short, wish string) *cobra.Command {
	return &cobra.Command{Use: use + " NAME", Short: short, Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return x.order(c, kind, args[0], registry.Operation{DesiredState: wish})
	}}
}

// orders shows how far the orders of a kind have come; with --follow until all
// are done.
func (x *ctl) orders(kind string) *cobra.Command {
	var follow bool
	c := &cobra.Command{Use: "status", Short: "How far each has come", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		for said := ""; ; {
			var all, mine []registry.Operation
			if _, err := x.ask(c, http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
				return err
			}
			done, now := true, ""
			for _, o := range all {
				if o.Kind == kind {
					mine = append(mine, o)
					done = done && o.Done
					now += fmt.Sprintf("%s\t%s\t%v\t%s\t%s\n", o.Name, o.DesiredState, o.Done, o.Message, o.Progress)
				}
			}
			if now != said || said == "" {
				said = now
				if err := x.show(c, mine, func(w io.Writer) { fmt.Fprint(w, "NAME\tWISH\tDONE\tSAYS\tPROGRESS\n"+now) }); err != nil {
					return err
				}
			}
			if !follow || done {
				return nil
			}
			select {
			case <-time.After(500 * time.Millisecond):
			case <-c.Context().Done():
				return nil
			}
		}
	}}
	c.Flags().BoolVar(&follow, "follow", false, "until all are done")
	return c
}

func (x *ctl) zones() *cobra.Command {
	c := &cobra.Command{Use: "zones", Short: "The zones that endpoints stand in, and their regions"}
	list := &cobra.Command{Use: "list", Short: "List them", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		var all []registry.ZoneStatus
		if _, err := x.ask(c, http.MethodGet, registry.ZonesPath, nil, &all); err != nil {
			return err
		}
		return x.show(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "ZONE\tREGION\tMEMBERS\tDRAINING")
			for _, z := range all {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", z.Name, z.Region, z.Members, z.Draining)
			}
		})
	}}
	set := &cobra.Command{Use: "set ZONE REGION", Short: "Put a zone into a region; \"\" for none", Args: cli.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		return x.change(c, http.MethodPost, registry.ZonesPath, registry.Zone{Name: args[0], Region: args[1]})
	}}
	spec := zones.Spec{}
	var dry bool
	evacuate := &cobra.Command{Use: "evacuate ZONE", Short: "Drain its endpoints one by one, if the other zones keep enough", Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		spec.Zone = args[0]
		if err := spec.Validate(); err != nil {
			return cli.UsageError{Err: fmt.Errorf("--%w", err)}
		}
		if dry {
			return x.wouldEvacuate(c, &spec)
		}
		if o, err := x.evacuation(c, spec.Zone); err != nil {
			return err
		} else if o != nil {
			return fmt.Errorf("zone %s is being evacuated already, by %s", spec.Zone, o.Name)
		}
		text, err := json.Marshal(spec)
		if err != nil {
			return err
		}
		return x.order(c, zones.Role, fmt.Sprintf("%s-%s", spec.Zone, time.Now().UTC().Format("20060102T150405")), registry.Operation{Spec: text, DesiredState: registry.DesiredRun})
	}}
	evacuate.Flags().Float64Var(&spec.Rate, "rate", 0.2, "endpoints a second")
	evacuate.Flags().Float64Var(&spec.MinFraction, "keep", 0.5, "share of its endpoints, by size, that each destination has to keep")
	evacuate.Flags().BoolVar(&spec.Force, "force", false, "whatever would be left, and whichever zone is out already")
	evacuate.Flags().BoolVar(&dry, "dry-run", false, "tell what each destination would keep, and do nothing")
	wish := func(use, short, wish string) *cobra.Command {
		return &cobra.Command{Use: use + " ZONE", Short: short, Args: cli.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			o, err := x.evacuation(c, args[0])
			if err != nil {
				return err
			}
			if o == nil {
				return fmt.Errorf("zone %s is not being evacuated", args[0])
			}
			return x.order(c, zones.Role, o.Name, registry.Operation{DesiredState: wish})
		}}
	}
	c.AddCommand(list, set, evacuate, x.orders(zones.Role), wish("return", "Put back, one by one, what its evacuation has drained", registry.DesiredAbort),
		wish("hold", "Leave its evacuation as it stands for now", registry.DesiredPause), wish("resume", "Drain on, after a hold or in place of a return", registry.DesiredRun))
	return c
}

// evacuation is the order under way for a zone; nil for none.
func (x *ctl) evacuation(c *cobra.Command, zone string) (*registry.Operation, error) {
	var all []registry.Operation
	if _, err := x.ask(c, http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
		return nil, err
	}
	for _, o := range all {
		var s zones.Spec
		if o.Kind == zones.Role && !o.Done && json.Unmarshal(o.Spec, &s) == nil && s.Zone == zone {
			return &o, nil
		}
	}
	return nil, nil
}

// wouldEvacuate tells what each destination of a zone would keep.
func (x *ctl) wouldEvacuate(c *cobra.Command, s *zones.Spec) error {
	var members []registry.Member
	if _, err := x.ask(c, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &members); err != nil {
		return err
	}
	rooms := zones.CapacitiesWithout(members, s.Zone)
	if err := x.show(c, rooms, func(w io.Writer) {
		fmt.Fprintln(w, "DESTINATION\tNOW\tLEFT\tENOUGH")
		for _, r := range rooms {
			fmt.Fprintf(w, "%d\t%.3g\t%.3g\t%v\n", r.Cell, r.Now, r.Remaining, r.Retains(s.MinFraction))
		}
	}); err != nil {
		return err
	}
	if short := zones.Insufficient(rooms, s.MinFraction); len(short) > 0 && !s.Force {
		return fmt.Errorf("%d destinations would not keep %.3g of their endpoints", len(short), s.MinFraction)
	}
	return nil
}

func (x *ctl) lapses() *cobra.Command {
	c := &cobra.Command{Use: "lapses", Short: "Lapses that are held back, since too many came at once"}
	confirm := &cobra.Command{Use: "confirm", Short: "Let them lapse", Args: cli.ExactArgs(0), RunE: func(c *cobra.Command, _ []string) error {
		var a map[string]int
		if _, err := x.ask(c, http.MethodPost, registry.ConfirmExpiryPath, nil, &a); err != nil {
			return err
		}
		return x.show(c, a, func(w io.Writer) { fmt.Fprintf(w, "%d lapse\n", a["lapses"]) })
	}}
	c.AddCommand(confirm)
	return c
}

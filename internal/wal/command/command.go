// Package command is `relayctl wal`: it looks at a relay's log and moves it. It
// promises its exit codes and that only repair, export and import change
// anything; what is found damaged is package wal's to say.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"plovershore/internal/wal"
)

// Exit codes.
const (
	Sound   = 0
	Damaged = 1 // or it could not be done
	Usage   = 2
	InUse   = 3 // by a running relay
)

// Error is one with an exit code of its own.
type Error struct {
	Code int
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// ExitCode is what the process ends with.
func (e *Error) ExitCode() int { return e.Code }

var errDamaged = errors.New("the log is damaged")

func coded(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, wal.ErrInUse):
		return &Error{InUse, err}
	case errors.Is(err, os.ErrNotExist), errors.Is(err, os.ErrExist):
		return &Error{Usage, err}
	}
	return &Error{Damaged, err}
}

func args(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, got []string) error {
		if len(got) != len(names) {
			return &Error{Usage, fmt.Errorf("%s wants %s, %d came", c.Name(), strings.Join(names, " and "), len(got))}
		}
		return nil
	}
}

// New makes the command.
func New() *cobra.Command {
	var asJSON bool
	root := &cobra.Command{Use: "wal", Short: "A relay's log: what it holds, whether it is sound, and its move to another relay",
		Long: "A relay's log: what it holds, whether it is sound, and its move to another relay.\n\n" +
			"FOLDER is the relay's state folder. Read only unless it is repair, export or import.\n" +
			"Exit codes: 0 sound or done; 1 damaged, or it could not be done; 2 bad usage; 3 in use by a running relay."}
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "JSON in place of a table")
	show := func(c *cobra.Command, r *wal.RecoveryReport) error {
		if asJSON {
			e := json.NewEncoder(c.OutOrStdout())
			e.SetIndent("", " ")
			return e.Encode(r)
		}
		return table(c.OutOrStdout(), r)
	}
	judge := func(c *cobra.Command, r *wal.RecoveryReport) error {
		if err := show(c, r); err != nil {
			return err
		}
		if !r.Sound() {
			return &Error{Damaged, errDamaged}
		}
		return nil
	}
	owned := func(f func(c *cobra.Command, a []string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, a []string) error {
			release, err := wal.LockFolder(a[0])
			if err != nil {
				return coded(err)
			}
			defer release()
			return f(c, a)
		}
	}
	verify := &cobra.Command{Use: "verify FOLDER", Short: "Say whether the log is sound, and what damage there is may have concerned", Args: args("FOLDER"),
		RunE: owned(func(c *cobra.Command, a []string) error {
			r, err := wal.Inspect(nil, a[0])
			if err != nil {
				return coded(err)
			}
			return judge(c, r)
		})}
	stats := &cobra.Command{Use: "stats FOLDER", Short: "Count what the log holds; of a running relay, too", Args: args("FOLDER"),
		RunE: func(c *cobra.Command, a []string) error {
			if _, err := os.Stat(a[0]); err != nil {
				return coded(err)
			}
			r, err := wal.Inspect(nil, a[0])
			if err != nil {
				return coded(err)
			}
			return show(c, r)
		}}
	var id string
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print every sound record, one JSON object a line; of a running relay, too", Args: args("FOLDER"),
		RunE: func(c *cobra.Command, a []string) error {
			if _, err := os.Stat(a[0]); err != nil {
				return coded(err)
			}
			out := json.NewEncoder(c.OutOrStdout())
			var broken error
			err := wal.Dump(nil, a[0], func(file string, at int64, seq uint64, r *wal.Record) bool {
				if id == "" || r.ID == id {
					broken = out.Encode(struct {
						File  string `json:"file"`
						At    int64  `json:"offset"`
						Seq   uint64 `json:"seq"`
						Bytes int    `json:"body_bytes"`
						*wal.Record
					}{file, at, seq, len(r.Body), r})
				}
				return broken == nil
			})
			return coded(errors.Join(err, broken))
		}}
	dump.Flags().StringVar(&id, "id", "", "only of this message")
	var limit int
	repair := &cobra.Command{Use: "repair FOLDER", Short: "Put all that is sound into a new checkpoint; damaged files are kept aside", Args: args("FOLDER"),
		RunE: owned(func(c *cobra.Command, a []string) error {
			r, err := wal.Repair(a[0], int64(limit)<<20)
			if err != nil {
				return coded(err)
			}
			return show(c, r)
		})}
	export := &cobra.Command{Use: "export FOLDER FILE", Short: "Move the log into a file, and fence the folder: its relay begins empty", Args: args("FOLDER", "FILE"),
		RunE: owned(func(c *cobra.Command, a []string) error {
			r, err := wal.Export(a[0], a[1], int64(limit)<<20)
			if err != nil {
				return coded(err)
			}
			return show(c, r)
		})}
	for _, x := range []*cobra.Command{repair, export} {
		x.Flags().IntVar(&limit, "disk-mb", 3, "the relay's disk_mb")
	}
	imp := &cobra.Command{Use: "import FILE FOLDER", Short: "Put an exported log into a folder that holds none; the file is used up", Args: args("FILE", "FOLDER"),
		RunE: func(c *cobra.Command, a []string) error {
			release, err := wal.LockFolder(a[1])
			if err != nil {
				return coded(err)
			}
			defer release()
			r, err := wal.Import(a[0], a[1])
			if err != nil {
				return coded(err)
			}
			return show(c, r)
		}}
	root.AddCommand(verify, stats, dump, repair, export, imp)
	return root
}

func table(out io.Writer, r *wal.RecoveryReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FILE\tKIND\tBYTES\tRECORDS\tFIRST")
	for _, f := range r.Files {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", f.Name, f.Kind, f.Bytes, f.Records, f.First)
	}
	w.Flush() // its error is the last line's
	fmt.Fprintf(out, "owed %d, records %d, last number %d, %d bytes on disk\n", r.Pending, r.Records, r.Seq, r.Bytes)
	for _, d := range r.Torn {
		fmt.Fprintf(out, "never booked: %s at %d: %d bytes: %s %s\n", d.File, d.Offset, d.Bytes, d.Reason, strings.Join(d.IDs, " "))
	}
	for _, d := range r.Corruptions {
		fmt.Fprintf(out, "DAMAGED: %s at %d: %d bytes: %s; %d messages held to have been sent %s\n", d.File, d.Offset, d.Bytes, d.Reason, d.Affected, strings.Join(d.IDs, " "))
	}
	var err error
	if len(r.LostIDs) > 0 {
		_, err = fmt.Fprintf(out, "LOST: %s\n", strings.Join(r.LostIDs, " "))
	}
	return err
}

// Package command implements `relayctl wal`, which inspects a relay's log and moves it to
// another relay. Only repair, export and import change anything. The exit codes are part
// of the command's interface; package wal decides what counts as corrupted.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"plovershore/internal/wal"
)

// Exit codes of the command.
const (
	Sound   = 0 // the log has no damage, or the command succeeded
	Damaged = 1 // the log is damaged, or the command failed
	Usage   = 2
	InUse   = 3 // a running relay uses the folder
)

// Error is an error with its own exit code.
type Error struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code of the process.
func (e *Error) ExitCode() int { return e.Code }

var errDamaged = errors.New("the log is damaged")

// defaultDiskMB is the relay's disk_mb in megabytes if --disk-mb does not give it.
const defaultDiskMB = 3

// bytesPerMBShift is the shift that converts megabytes to bytes.
const bytesPerMBShift = 20

// withExitCode adds the exit code to an error of package wal.
func withExitCode(err error) error {
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

// exactArgs requires exactly one argument for each name.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return &Error{Usage, fmt.Errorf("%s wants %s, %d came", c.Name(), strings.Join(names, " and "), len(args))}
		}
		return nil
	}
}

// New creates the command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "wal",
		Short: "A relay's log: what it holds, whether it is sound, and its move to another relay",
		Long: "A relay's log: what it holds, whether it is sound, and its move to another relay.\n\n" +
			"FOLDER is the relay's state folder. Read only unless it is repair, export or import.\n" +
			"Exit codes: 0 sound or done; 1 damaged, or it could not be done; 2 bad usage; 3 in use by a running relay.",
	}
	p := &printer{}
	root.PersistentFlags().BoolVar(&p.asJSON, "json", false, "JSON in place of a table")
	root.AddCommand(newVerify(p), newStats(p), newDump(), newRepair(p), newExport(p), newImport(p))
	return root
}

// runFunc runs a subcommand with its arguments.
type runFunc func(c *cobra.Command, args []string) error

// withFolderLock returns run wrapped so that it holds the locks of the state folder, which
// is the argument at position folderArg.
func withFolderLock(folderArg int, run runFunc) runFunc {
	return func(c *cobra.Command, args []string) error {
		release, err := wal.LockFolder(args[folderArg])
		if err != nil {
			return withExitCode(err)
		}
		defer release()
		return run(c, args)
	}
}

func newVerify(p *printer) *cobra.Command {
	return &cobra.Command{
		Use:   "verify FOLDER",
		Short: "Say whether the log is sound, and what damage there is may have concerned",
		Args:  exactArgs("FOLDER"),
		RunE: withFolderLock(0, func(c *cobra.Command, args []string) error {
			report, err := wal.Inspect(nil, args[0])
			if err != nil {
				return withExitCode(err)
			}
			if err := p.print(c.OutOrStdout(), report); err != nil {
				return err
			}
			if !report.Sound() {
				return &Error{Damaged, errDamaged}
			}
			return nil
		}),
	}
}

func newStats(p *printer) *cobra.Command {
	return &cobra.Command{
		Use:   "stats FOLDER",
		Short: "Count what the log holds; of a running relay, too",
		Args:  exactArgs("FOLDER"),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := os.Stat(args[0]); err != nil {
				return withExitCode(err)
			}
			report, err := wal.Inspect(nil, args[0])
			return p.printResult(c.OutOrStdout(), report, err)
		},
	}
}

// dumpedRecord is one line of the dump.
type dumpedRecord struct {
	File      string `json:"file"`
	Offset    int64  `json:"offset"`
	Seq       uint64 `json:"seq"`
	BodyBytes int    `json:"body_bytes"`
	*wal.Record
}

func newDump() *cobra.Command {
	var id string
	dump := &cobra.Command{
		Use:   "dump FOLDER",
		Short: "Print every sound record, one JSON object a line; of a running relay, too",
		Args:  exactArgs("FOLDER"),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := os.Stat(args[0]); err != nil {
				return withExitCode(err)
			}
			out := json.NewEncoder(c.OutOrStdout())
			var printErr error
			err := wal.Dump(nil, args[0], func(file string, offset int64, seq uint64, r *wal.Record) bool {
				if id == "" || r.ID == id {
					printErr = out.Encode(dumpedRecord{file, offset, seq, len(r.Body), r})
				}
				return printErr == nil
			})
			return withExitCode(errors.Join(err, printErr))
		},
	}
	dump.Flags().StringVar(&id, "id", "", "only of this message")
	return dump
}

func newRepair(p *printer) *cobra.Command {
	var diskMB int
	repair := &cobra.Command{
		Use:   "repair FOLDER",
		Short: "Put all that is sound into a new checkpoint; damaged files are kept aside",
		Args:  exactArgs("FOLDER"),
		RunE: withFolderLock(0, func(c *cobra.Command, args []string) error {
			report, err := wal.Repair(args[0], int64(diskMB)<<bytesPerMBShift)
			return p.printResult(c.OutOrStdout(), report, err)
		}),
	}
	addDiskFlag(repair, &diskMB)
	return repair
}

func newExport(p *printer) *cobra.Command {
	var diskMB int
	export := &cobra.Command{
		Use:   "export FOLDER FILE",
		Short: "Move the log into a file, and fence the folder: its relay begins empty",
		Args:  exactArgs("FOLDER", "FILE"),
		RunE: withFolderLock(0, func(c *cobra.Command, args []string) error {
			report, err := wal.Export(args[0], args[1], int64(diskMB)<<bytesPerMBShift)
			return p.printResult(c.OutOrStdout(), report, err)
		}),
	}
	addDiskFlag(export, &diskMB)
	return export
}

func addDiskFlag(c *cobra.Command, diskMB *int) {
	c.Flags().IntVar(diskMB, "disk-mb", defaultDiskMB, "the relay's disk_mb")
}

func newImport(p *printer) *cobra.Command {
	return &cobra.Command{
		Use:   "import FILE FOLDER",
		Short: "Put an exported log into a folder that holds none; the file is used up",
		Args:  exactArgs("FILE", "FOLDER"),
		RunE: withFolderLock(1, func(c *cobra.Command, args []string) error {
			report, err := wal.Import(args[0], args[1])
			return p.printResult(c.OutOrStdout(), report, err)
		}),
	}
}

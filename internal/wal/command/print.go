package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"plovershore/internal/wal"
)

// printer prints reports as a table, or as JSON with the --json flag.
type printer struct{ asJSON bool }

// printResult prints a report, or returns err with its exit code.
func (p *printer) printResult(out io.Writer, r *wal.RecoveryReport, err error) error {
	if err != nil {
		return withExitCode(err)
	}
	return p.print(out, r)
}

func (p *printer) print(out io.Writer, r *wal.RecoveryReport) error {
	if !p.asJSON {
		return printTable(out, r)
	}
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// printTable prints a report as text. The lines are part of the command's interface.
func printTable(out io.Writer, r *wal.RecoveryReport) error {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FILE\tKIND\tBYTES\tRECORDS\tFIRST")
	for _, f := range r.Files {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", f.Name, f.Kind, f.Bytes, f.Records, f.First)
	}
	table.Flush() // writing to a strings.Builder never fails
	fmt.Fprintf(&text, "owed %d, records %d, last number %d, %d bytes on disk\n", r.Pending, r.Records, r.Seq, r.Bytes)
	for _, c := range r.Torn {
		fmt.Fprintf(&text, "never booked: %s at %d: %d bytes: %s %s\n", c.File, c.Offset, c.Bytes, c.Reason, strings.Join(c.IDs, " "))
	}
	for _, c := range r.Corruptions {
		fmt.Fprintf(&text, "DAMAGED: %s at %d: %d bytes: %s; %d messages held to have been sent %s\n",
			c.File, c.Offset, c.Bytes, c.Reason, c.Affected, strings.Join(c.IDs, " "))
	}
	if len(r.LostIDs) > 0 {
		fmt.Fprintf(&text, "LOST: %s\n", strings.Join(r.LostIDs, " "))
	}
	_, err := io.WriteString(out, text.String())
	return err
}

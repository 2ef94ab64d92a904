package relayctl

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
)

// snapshotCommands builds the commands that save and restore the state of the list service.
type snapshotCommands struct{ *app }

// savedSnapshot is the output of the command save with --json.
type savedSnapshot struct {
	Bytes int    `json:"bytes"`
	File  string `json:"file"`
}

func newSnapshotCommand(a *app) *cobra.Command {
	s := snapshotCommands{a}
	c := &cobra.Command{Use: "snapshot", Short: "Keep the state as a backup, or go on from one"}
	c.AddCommand(
		&cobra.Command{Use: "save FILE", Short: "Keep it", Args: cli.ExactArgs(1), RunE: s.save},
		&cobra.Command{Use: "restore FILE", Short: "Go on from it, in a new epoch", Args: cli.ExactArgs(1), RunE: s.restore},
	)
	return c
}

// save writes the snapshot to a temporary file and renames it, so that an incomplete
// snapshot never replaces an older file.
func (s snapshotCommands) save(c *cobra.Command, args []string) error {
	path := args[0]
	var text []byte
	if err := s.get(c, registry.SnapshotPath, &text); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return s.print(c, savedSnapshot{len(text), path}, func(w io.Writer) {
		fmt.Fprintf(w, "%d bytes in %s\n", len(text), filepath.Clean(path))
	})
}

func (s snapshotCommands) restore(c *cobra.Command, args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return cli.UsageError{Err: err}
	}
	return s.change(c, http.MethodPut, registry.SnapshotPath, text)
}

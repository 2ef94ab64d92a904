//go:build cutfs

package main

import (
	"plovershore/internal/relay"
	"plovershore/internal/wal/cutfs"
)

// setLogFS puts the relay's log on a file system that simulates a power failure: when the
// process is killed, the log loses what a power failure would lose. Only internal/faultlab
// needs it, in bin/relay-cut, which is built with the tag cutfs.
func setLogFS(cfg *relay.Config) error {
	disk, err := cutfs.OnDisk(cfg.StateDir, cfg.Seed)
	if err != nil {
		return err
	}
	cfg.FS = disk
	return nil
}

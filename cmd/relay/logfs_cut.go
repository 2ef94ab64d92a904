//go:build cutfs

package main

import (
	"plovershore/internal/relay"
	"plovershore/internal/wal/cutfs"
)

// setLogFS has a kill of this process cost its log what a loss of power would. It is for
// internal/faultlab alone: bin/relay-cut is built with the tag cutfs.
func setLogFS(cfg *relay.Config) error {
	d, err := cutfs.OnDisk(cfg.StateDir, cfg.Seed)
	if err != nil {
		return err
	}
	cfg.FS = d
	return nil
}

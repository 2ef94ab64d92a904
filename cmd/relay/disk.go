//go:build !cutfs

package main

import "plovershore/internal/relay"

// disk leaves the log on the machine's own file system.
func disk(*relay.Config) error { return nil }

//go:build !cutfs

package main

import "plovershore/internal/relay"

// setLogFS leaves the log on the operating system's file system.
func setLogFS(*relay.Config) error { return nil }

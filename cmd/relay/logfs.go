//go:build !cutfs

package main

import "plovershore/internal/relay"

// setLogFS does nothing: the relay's log stays on the operating system's file system.
func setLogFS(*relay.Config) error { return nil }

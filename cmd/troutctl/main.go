// Command troutctl looks at a fleet's list and at relays' logs, and changes them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"troutusher/internal/registry/command"
	wal "troutusher/internal/wal/command"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	os.Exit(command.Ctl(ctx, os.Args[1:], os.Stdout, os.Stderr, wal.New()))
}

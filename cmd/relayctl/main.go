// Command relayctl looks at a fleet's list and at relays' logs, and changes them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plovershore/internal/relayctl"
	walcommand "plovershore/internal/wal/command"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	os.Exit(relayctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, walcommand.New()))
}

// Command relayctl shows and changes a fleet's endpoint list and the logs of relays.
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

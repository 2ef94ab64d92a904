// Command relayctl shows and changes what the list service holds of a fleet (endpoints,
// zones, roles and operations), and the logs of relays.
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

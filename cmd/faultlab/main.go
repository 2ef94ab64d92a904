// Command faultlab runs many relays on this machine, injects faults into them and
// what is between them, and checks how they behave.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plovershore/internal/faultlab/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // restores the default action, so that a second signal kills the lab at once; the kernel then kills its child processes
	os.Exit(command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

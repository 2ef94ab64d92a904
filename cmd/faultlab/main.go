// Command faultlab runs many relays on this machine, breaks things between
// them, and judges what they did.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plovershore/internal/faultlab/command"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, cancel) // a second signal ends the lab at once, and the kernel its processes
	os.Exit(command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// Command controller runs the work of the fleet for which a leader is elected: each
// role is active in one process at a time.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plovershore/internal/controller"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	os.Exit(controller.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

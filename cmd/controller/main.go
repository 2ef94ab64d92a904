// Command controller holds duties of the fleet: work that one process alone may
// do at a time.
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

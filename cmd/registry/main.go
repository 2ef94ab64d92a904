// Command registry runs the list service, which holds the list of a fleet's endpoints:
// a node of the service's group, or the agent on a relay's machine.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plovershore/internal/registry/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return command.Registry(ctx, os.Args[1:], os.Getenv, os.Stdout, os.Stderr)
}

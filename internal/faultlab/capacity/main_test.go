package capacity

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	dutycommand "plovershore/internal/controller"
	registrycommand "plovershore/internal/registry/command"
	"plovershore/internal/relay"
)

// programEnv makes the test's own program a relay, a node, an agent or a warden:
// what a run starts has the test's environment.
const programEnv = "CAPACITY_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(runProgram(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// program runs what its arguments are of: a relay has none.
func runProgram(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	switch {
	case len(args) == 0:
		return runRelay(ctx)
	case strings.HasPrefix(args[0], "-"):
		return dutycommand.Main(ctx, args, os.Stdout, os.Stderr)
	}
	return registrycommand.Registry(ctx, args, os.Getenv, os.Stdout, os.Stderr)
}

func runRelay(ctx context.Context) int {
	config, err := relay.LoadConfig(os.Getenv)
	if err == nil {
		err = relay.Run(config, slog.New(slog.NewTextHandler(os.Stderr, nil)), ctx.Done(), nil)
	}
	if err != nil {
		slog.Error("relay ended", "err", err)
		return 1
	}
	return 0
}

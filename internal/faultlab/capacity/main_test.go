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

// programEnv is set by a test to turn this test binary, when a job starts it, into a
// relay, a list service node, an agent or a controller. The started programs inherit the
// test's environment.
const programEnv = "CAPACITY_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(runProgram(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// runProgram runs the program that its arguments call for: none for a relay, a leading
// flag for a controller, a subcommand for a list service node or an agent.
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

// Command relay runs one message relay. Its configuration is the file that ROUTER_CONFIG
// names; ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_STATE and ROUTER_OPERATOR
// take precedence over it. SIGTERM and SIGINT begin a graceful shutdown, SIGHUP has it
// read discovery's address again.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"plovershore/internal/relay"
)

// Exit codes.
const (
	exitFailed = 1
	exitConfig = 2
)

// logLevelName is the environment variable that sets how much is logged: debug,
// info, warn or error. Without it, info; debug has a line for each message.
const logLevelName = "ROUTER_LOG_LEVEL"

func logLevel(text string) (level slog.Level, err error) {
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err = level.UnmarshalText([]byte(text)); err != nil {
		return slog.LevelInfo, fmt.Errorf("%s: %q; debug, info, warn or error is wanted", logLevelName, text)
	}
	return level, nil
}

func main() {
	hup := make(chan os.Signal, 1) // from the first moment: unhandled, it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	level, levelErr := logLevel(os.Getenv(logLevelName))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	cfg, err := relay.LoadConfig(os.Getenv)
	if err == nil {
		err = setLogFS(cfg)
	}
	err = errors.Join(levelErr, err)
	if err != nil {
		log.Error("cannot start", "err", err)
		os.Exit(exitConfig)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 / 10 * 7) // the rest is for files and stacks
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := relay.Run(cfg, log, ctx.Done(), relay.WatchDiscoveryAddress(hup, os.Getenv, log)); err != nil {
		log.Error("relay failed", "err", err)
		os.Exit(exitFailed)
	}
}

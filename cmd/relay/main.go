// Command relay runs one message relay. Its configuration is the file that ROUTER_CONFIG
// names; ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_STATE and ROUTER_OPERATOR
// take precedence over it. On SIGTERM or SIGINT the relay shuts down gracefully; on SIGHUP
// it reads the address of discovery again, from the file and regardless of
// ROUTER_DISCOVERY.
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
	"syscall"

	"plovershore/internal/relay"
)

// Exit codes.
const (
	exitFailed = 1 // the relay failed to start, or while it was running
	exitConfig = 2 // the configuration cannot be read or is invalid
)

// logLevelEnv is the environment variable that sets the level of the log: debug,
// info, warn or error. The default is info; at level debug each message is logged.
const logLevelEnv = "ROUTER_LOG_LEVEL"

// logLevel parses the value of the environment variable logLevelEnv.
func logLevel(text string) (level slog.Level, err error) {
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err = level.UnmarshalText([]byte(text)); err != nil {
		return slog.LevelInfo, fmt.Errorf("%s: %q; debug, info, warn or error is wanted", logLevelEnv, text)
	}
	return level, nil
}

func main() {
	hup := make(chan os.Signal, 1) // made first, since a SIGHUP before Notify ends the process
	signal.Notify(hup, syscall.SIGHUP)
	level, levelErr := logLevel(os.Getenv(logLevelEnv))
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
	cfg.Limits.ApplyToCollector()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := relay.Run(cfg, log, ctx.Done(), relay.WatchDiscoveryAddress(hup, os.Getenv, log)); err != nil {
		log.Error("relay failed", "err", err)
		os.Exit(exitFailed)
	}
}

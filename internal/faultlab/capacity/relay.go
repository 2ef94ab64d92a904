package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/loopback"
)

const (
	startTimeout = 60 * time.Second
	pollInterval = time.Millisecond
	relaySockets = 4096
)

// relayLimits are the limits on a relay's memory and disk, and on the number of messages
// that it may hold.
type relayLimits struct {
	memoryMB, diskMB, messages int
}

// relayProcess is a relay that runs as a process of its own.
type relayProcess struct {
	*process.Process
	listen, operator, stateDir string
	program, configPath        string
	log                        *os.File
}

// newRelay writes a relay's configuration file and creates its directory and log, but does
// not start it. server is the address of its agent; known is the list that the relay has
// from an earlier run, or nil.
func (e *environment) newRelay(server string, known *discovery.List, limits relayLimits) (*relayProcess, error) {
	r := &relayProcess{listen: loopback.Free(), operator: loopback.Free(), stateDir: filepath.Join(e.dir, "state"),
		program: e.Relay, configPath: filepath.Join(e.dir, "config.json")}
	text, err := json.Marshal(map[string]any{
		"name": "relay-1", "listen": r.listen, "operator": r.operator, "discovery": server, "known": known, "state": r.stateDir, "seed": "0000000000000001",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": relaySockets, "disk_mb": limits.diskMB},
		"settings": relaySettings(callSlots, limits.messages),
	})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if err := errors.Join(os.WriteFile(r.configPath, text, 0o600), os.MkdirAll(r.stateDir, 0o700)); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if r.log, err = os.Create(filepath.Join(e.dir, "relay.log")); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return r, nil
}

// start starts the relay's process.
func (r *relayProcess) start() (err error) {
	r.Process, err = process.Start("relay", r.program, nil, []string{"ROUTER_CONFIG=" + r.configPath}, r.log)
	return err
}

// stop kills the process, if it was started. The state directory stays.
func (r *relayProcess) stop() {
	if r.Process != nil {
		r.Kill()
	}
}

func (r *relayProcess) close() {
	r.stop()
	r.log.Close()
}

// isServing reports whether the relay answers a client's PING.
func (r *relayProcess) isServing() bool {
	c, err := net.DialTimeout("tcp4", r.listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "+PONG")
}

// longestAnswer submits messages for a destination that the relay does not know, one after
// another until ctx ends. It returns the longest wait for an answer, or startTimeout if a
// message got none.
func (r *relayProcess) longestAnswer(ctx context.Context) (longest time.Duration) {
	for i := 1; ctx.Err() == nil; i++ {
		began := time.Now()
		c, err := net.DialTimeout("tcp4", r.listen, time.Second)
		if err != nil {
			return startTimeout
		}
		c.SetDeadline(time.Now().Add(startTimeout))
		c.Write(putRequest(-i, unknownDestination))
		_, err = bufio.NewReader(c).ReadString('\n')
		c.Close()
		if err != nil {
			return startTimeout
		}
		longest = max(longest, time.Since(began))
		time.Sleep(20 * time.Millisecond)
	}
	return longest
}

// isReady reports whether the relay's operator address answers that the relay is ready.
func (r *relayProcess) isReady() bool {
	text, err := r.get("/v1/readyz")
	return err == nil && text == "ready\n"
}

// gauge returns the value of one of the relay's metrics.
func (r *relayProcess) gauge(name string) (float64, error) {
	text, err := r.get("/v1/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(text) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(v), 64)
		}
	}
	return 0, fmt.Errorf("relay: no figure %s", name)
}

func (r *relayProcess) get(path string) (string, error) {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + r.operator + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("relay: %s: %s", path, resp.Status)
	}
	return string(text), err
}

// awaitCondition waits until done returns true, and returns the time since from. It fails
// if the process ends or startTimeout passes first.
func awaitCondition(ctx context.Context, p *process.Process, what string, from time.Time, done func() bool) (time.Duration, error) {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); {
		if done() {
			return time.Since(from), nil
		}
		select {
		case <-p.Done():
			return 0, fmt.Errorf("%s: the process ended", what)
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return 0, fmt.Errorf("%s: not within %v", what, startTimeout)
}

// processLoad is the load of a process over a span of time.
type processLoad struct {
	corePercent        float64 // processor time in percent of one core
	rssBytes           float64 // resident memory at the end of the span
	listBytesPerSecond float64 // bytes between the list server and its clients
}

// measureLoad measures the load of a process over a span, without adding work.
func measureLoad(ctx context.Context, p *process.Process, s *listServer, span time.Duration) (processLoad, error) {
	before, err := readUsage(p)
	if err != nil {
		return processLoad{}, err
	}
	bytesBefore, began := s.bytes.Load(), time.Now()
	select {
	case <-time.After(span):
	case <-ctx.Done():
		return processLoad{}, ctx.Err()
	}
	after, err := readUsage(p)
	took := time.Since(began).Seconds()
	return processLoad{corePercent: (after.cpu - before.cpu).Seconds() / took * 100, rssBytes: after.rssBytes, listBytesPerSecond: float64(s.bytes.Load()-bytesBefore) / took}, err
}

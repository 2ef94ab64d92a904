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

// relayLimits are those of a relay's machine and what it may hold.
type relayLimits struct {
	memoryMB, diskMB, messages int
}

// relayProcess is a real relay.
type relayProcess struct {
	*process.Process
	listen, operator, stateDir string
	program, configPath        string
	log                        *os.File
}

// newRelay writes the configuration of a relay of the environment's program; it
// does not start it. known is the list that the relay has from before; nil for
// none.
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

// start runs a process of the relay.
func (r *relayProcess) start() (err error) {
	r.Process, err = process.Start("relay", r.program, nil, []string{"ROUTER_CONFIG=" + r.configPath}, r.log)
	return err
}

// stop kills the process; the folder stays.
func (r *relayProcess) stop() {
	if r.Process != nil {
		r.Kill()
	}
}

func (r *relayProcess) close() {
	r.stop()
	r.log.Close()
}

// serves reports whether the relay answers clients.
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

// longestAnswer hands in messages for a destination that the relay does not know,
// one after another until ctx ends, and gives the longest wait for an answer.
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

// ready reports whether the relay says that it is.
func (r *relayProcess) isReady() bool {
	text, err := r.get("/v1/readyz")
	return err == nil && text == "ready\n"
}

// gauge gives a figure that the relay publishes.
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

// await waits for a condition, and gives how long it took from a moment on.
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

// load is what a process used over a span.
type processLoad struct {
	corePercent        float64 // % of one
	rssBytes           float64 // bytes, at the end
	listBytesPerSecond float64 // a second, at the list server
}

// observe measures a process over a span in which it has no work.
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

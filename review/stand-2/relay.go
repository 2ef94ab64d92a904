package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// settingsText is the settings object that WIRE shows for dakshina-dispatch, for a fleet of
// one relay.
const settingsText = `{"accounts": [], "balancers": 1,
"classes": [{"deadline_us": 8000000, "dedup_window_us": 5000000, "group": "all", "late_worth": 0.0, "name": "alert-update", "repeat": "retryable", "streaming": false, "target_us": 1500000, "worth": 1.0},
 {"deadline_us": 16000000, "dedup_window_us": 5000000, "group": "all", "late_worth": 0.5, "name": "copy-order", "repeat": "fragile", "streaming": false, "target_us": 2000000, "worth": 2.0}],
"client_habits": {"marks_retry": false},
"deductions": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.04, "late_fail": 0.043, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.025},
"discovery": "pushed",
"goal": {"whole": 0.4, "worst_class": 0.35, "worst_tenant": 0.0, "worst_window": 0.25},
"kinds": ["telco", "agent"],
"limits": {"connect_timeout_us": 1500000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 750000, "keepalive_us": 10000000, "max_retry_after_us": 3000000, "may_cancel": true, "most_held": 340, "most_tries": 12, "parallel_tries": false, "peers": false, "probing": false, "retry_after": true, "streams_per_conn": 8},
"localities": ["colombo-dc"], "over_share_worth": 0.1, "rank": 0,
"report": {"fields": ["x0", "x1"], "how": "answers"},
"safety": {"answer_slack_us": 20000, "ask_every_us": 10000000, "drain_grace_us": 2000000, "fall_us": 3000000, "overload_factor": 2.5, "ramp_time_us": 13000000, "start_capacity": 0.19},
"specifics": {"calls_out": 25, "kind_batch": [5, 1], "late": "halving", "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free", "own_limits": [false, false], "report_x0": "share of the allowance that is left", "report_x1": "calls a second that the limit allows; 0 where there is none", "turned_away_price": 0.03, "zone_fee": [0.0]},
"tick_us": 5000, "tier": 0, "tiers": ["outside-partners"], "value_by": "request", "weights": "none", "workload": "deliver", "zone": 0}`

// relayHost is the machine of one relay: its addresses, its lasting folder and its
// processes, which are started with the command of the deploy file.
type relayHost struct {
	rec    *record
	root   string // of the repository
	run    string // the command `run` of the deploy file
	temp   string
	config string
	listen string
	all    []*relayProcess
}

// relayProcess is one process of the relay.
type relayProcess struct {
	name     string
	operator string
	cmd      *exec.Cmd
	done     chan struct{} // closed once it has ended
}

func newRelayHost(rec *record, root, temp string, known memberList, discovery string) (*relayHost, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("the deploy file has no run")
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	h := &relayHost{rec: rec, root: root, run: string(match[1]), temp: temp, config: filepath.Join(temp, "config.json"), listen: listen}
	if err := os.MkdirAll(filepath.Join(temp, "state"), 0o755); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 384, "disk_mb": 3},
		"known":    known,
		"settings": json.RawMessage(settingsText),
	})
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.config, text, 0o644)
}

// setDiscovery replaces the configuration file by one with another address of discovery.
func (h *relayHost) setDiscovery(addr string) error {
	text, err := os.ReadFile(h.config)
	if err != nil {
		return err
	}
	var config map[string]json.RawMessage
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	if config["discovery"], err = json.Marshal(addr); err != nil {
		return err
	}
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	if err := os.WriteFile(h.config+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(h.config+".new", h.config)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// start starts a further process of the relay with an operator address of its own.
func (h *relayHost) start(name string) (*relayProcess, error) {
	operator, err := freeAddress()
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(h.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", h.run)
	cmd.Dir = h.root
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+h.config, "ROUTER_STATE="+filepath.Join(h.temp, "state"),
		"ROUTER_OPERATOR="+operator, "TMPDIR="+h.temp)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &relayProcess{name: name, operator: operator, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		h.rec.printf("process %s ended: %v", name, cmd.Wait())
	}()
	h.all = append(h.all, p)
	h.rec.printf("process %s started", name)
	return p, nil
}

func (p *relayProcess) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *relayProcess) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// awaitReady waits for a yes of GET /v1/readyz.
func (p *relayProcess) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && !p.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if p.call(http.MethodGet, "/v1/readyz") == nil {
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready", p.name)
}

// call makes one call to the process's operator address.
func (p *relayProcess) call(method, path string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.operator+path, strings.NewReader(""))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}

// end kills all processes that are left and waits for them.
func (h *relayHost) end() {
	for _, p := range h.all {
		if !p.hasEnded() {
			p.signal(syscall.SIGKILL)
		}
		<-p.done
	}
}

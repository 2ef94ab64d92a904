// Package stand has what the cases of the review share: stand-ins for the platform, the endpoints and
// the clients of a relay, and the processes of relays, started by the command of the deploy file.
package stand

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule was kept
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, startedAt: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Verdict writes the last line to the record and to the standard output.
func (r *Record) Verdict(format string, args ...any) {
	r.Printf("VERDICT "+format, args...)
	fmt.Printf(format+"\n", args...)
}

// FreeAddress returns a loopback address at which nothing listens now.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// RelayOptions describe a relay. All its processes share them but for the operator address.
type RelayOptions struct {
	Root      string // root of the repository
	Folder    string // temporary folder of the case
	Discovery string // address of the platform
	Known     List
	Settings  map[string]any
	Limits    map[string]any
}

// Relay is a relay: its address, its state folder and its processes.
type Relay struct {
	Address string
	State   string
	options RelayOptions
	record  *Record
	run     string // the command of the deploy file
	starts  int

	mu        sync.Mutex
	processes []*Process
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// NewRelay prepares a relay. It starts no process.
func NewRelay(o RelayOptions, record *Record) (*Relay, error) {
	deploy, err := os.ReadFile(filepath.Join(o.Root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	r := &Relay{options: o, record: record, run: string(match[1]), State: filepath.Join(o.Folder, "state")}
	if r.Address, err = FreeAddress(); err != nil {
		return nil, err
	}
	return r, os.MkdirAll(r.State, 0o700)
}

// Process is one process of a relay.
type Process struct {
	Name     string
	Operator string
	cmd      *exec.Cmd
	record   *Record
	done     chan struct{}
}

// Start starts a process of the relay.
func (r *Relay) Start() (*Process, error) {
	operator, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	r.starts++
	name := fmt.Sprintf("process %d", r.starts)
	config := map[string]any{"name": "n1", "listen": r.Address, "discovery": r.options.Discovery, "operator": operator,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": r.options.Limits, "known": r.options.Known, "settings": r.options.Settings}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.options.Folder, fmt.Sprintf("config-%d.json", r.starts))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(r.options.Folder, fmt.Sprintf("process-%d.log", r.starts)))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", r.run)
	cmd.Dir = r.options.Root
	cmd.Env = append(os.Environ(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+r.Address, "ROUTER_DISCOVERY="+r.options.Discovery,
		"ROUTER_STATE="+r.State, "ROUTER_OPERATOR="+operator, "ROUTER_CONFIG="+path, "TMPDIR="+r.options.Folder)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, Operator: operator, cmd: cmd, record: r.record, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		r.record.Printf("%s ended: %v", name, err)
		close(p.done)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.record.Printf("%s started, id %d", name, cmd.Process.Pid)
	return p, nil
}

// Close kills all processes that still run and waits for them.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		if !p.Ended() {
			p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// ID is the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.record.Printf("%s gets %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for the end of the process and reports false after the timeout.
func (p *Process) AwaitEnd(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Ready reports whether the process answers yes at GET /v1/readyz, and what it answers.
func (p *Process) Ready() (bool, string) {
	conn, err := net.DialTimeout("tcp", p.Operator, time.Second)
	if err != nil {
		return false, err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET /v1/readyz HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")
	text, _ := io.ReadAll(conn)
	status, rest, _ := strings.Cut(string(text), "\r\n")
	_, body, _ := strings.Cut(rest, "\r\n\r\n")
	return strings.Contains(status, " 200 "), strings.TrimSpace(status + " " + body)
}

// AwaitReady asks every 20 ms until the process says yes, and reports how long that took. It returns
// false after the timeout or if the process has ended.
func (p *Process) AwaitReady(timeout time.Duration) (time.Duration, bool) {
	startedAt := time.Now()
	last := ""
	for time.Since(startedAt) < timeout && !p.Ended() {
		ok, answer := p.Ready()
		if answer != last {
			p.record.Printf("%s readyz: %s", p.Name, answer)
			last = answer
		}
		if ok {
			return time.Since(startedAt), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(startedAt), false
}

// Setup is what every case is given by its script.
type Setup struct {
	Root    string // root of the repository, the working directory
	Folder  string // temporary folder
	Trouble bool   // whether the case has its disruption
	Record  *Record
}

// Main runs a case with the flags of its script and exits with the code that it returns. An error is
// a case that could not run.
func Main(run func(s Setup) (code int, err error)) {
	recordPath := flag.String("record", "", "file of the record")
	folder := flag.String("folder", "", "temporary folder")
	flag.Parse()
	record, err := NewRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	root, err := os.Getwd()
	code := NotRun
	if err == nil {
		code, err = run(Setup{Root: root, Folder: *folder, Trouble: os.Getenv("TROUBLE") != "0", Record: record})
	}
	if err != nil {
		record.Verdict("not run: %v", err)
		code = NotRun
	}
	os.Exit(code)
}

// Limits returns the limits of a relay as the operators' reports on the site show them.
func Limits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384, "disk_mb": 3}
}

// NewID returns the id of a message: 16 hexadecimal digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

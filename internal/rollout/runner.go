package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/leader"
)

// RunnerPath is where a runner is asked to restart its relay (POST with a Step),
// and what it last did (GET).
const RunnerPath = "/v1/restart"

// Step is one restart. A second one with its ID changes nothing.
type Step struct {
	ID    string `json:"id"`
	Token int64  `json:"token"` // of the duty: an older one than was seen is refused with 412
}

// StepStatus is what a runner last did.
type StepStatus struct {
	Step string `json:"step"` // done, or begun
	Done bool   `json:"done"`
	PID  int    `json:"pid"`
}

// Program starts and stops a relay.
type Program interface {
	Restart(ctx context.Context) (pid int, err error)
	Operator() string // of the present process; two of one relay cannot share one
}

// Runner restarts one relay, each step once. Its folder lasts: which step was
// begun, and the highest token, outlive it.
type Runner struct {
	Folder  string
	Program Program
	Log     *slog.Logger

	mu sync.Mutex // one step at a time
}

const didFile = "restart.json"

func (r *Runner) did() (d StepStatus, err error) {
	text, err := os.ReadFile(filepath.Join(r.Folder, didFile))
	if errors.Is(err, os.ErrNotExist) {
		return d, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &d)
	}
	if err != nil {
		return d, fmt.Errorf("runner: %w", err)
	}
	return d, nil
}

func (r *Runner) keep(d StepStatus) error {
	text, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	path := filepath.Join(r.Folder, didFile)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	return nil
}

// restart does a step. One that was begun by a runner that died on the way is
// done again: the relay's folder lets two of its processes follow each other.
func (r *Runner) restart(ctx context.Context, s Step) (StepStatus, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := leader.Fence(r.Folder, Role, s.Token); err != nil {
		return StepStatus{}, err
	}
	d, err := r.did()
	if err != nil || d.Step == s.ID && d.Done {
		return d, err
	}
	if err := r.keep(StepStatus{Step: s.ID, PID: d.PID}); err != nil {
		return d, err
	}
	pid, err := r.Program.Restart(ctx)
	if err != nil {
		return d, err
	}
	r.Log.Info("relay restarted", "step", s.ID, "token", s.Token, "pid", pid)
	d = StepStatus{Step: s.ID, Done: true, PID: pid}
	return d, r.keep(d)
}

// Handler serves a runner.
func (r *Runner) Handler() http.Handler {
	say := func(w http.ResponseWriter, d StepStatus, err error) {
		switch {
		case errors.Is(err, leader.ErrFenced):
			http.Error(w, err.Error(), http.StatusPreconditionFailed)
		case err != nil:
			r.Log.Error("runner", "err", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(d) // an asker that is gone asks again
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RunnerPath, func(w http.ResponseWriter, _ *http.Request) {
		d, err := r.did()
		say(w, d, err)
	})
	mux.HandleFunc("POST "+RunnerPath, func(w http.ResponseWriter, q *http.Request) {
		var s Step
		if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 4096)).Decode(&s); err != nil || s.ID == "" {
			http.Error(w, "body: a step is wanted", http.StatusBadRequest)
			return
		}
		// A restart that was begun is finished, though the asker has left.
		d, err := r.restart(context.WithoutCancel(q.Context()), s)
		say(w, d, err)
	})
	// The plan looks at a relay through its runner, whichever process is the present one.
	forward := &httputil.ReverseProxy{Rewrite: func(q *httputil.ProxyRequest) {
		q.Out.URL.Scheme, q.Out.URL.Host = "http", r.Program.Operator()
	}, ErrorLog: slog.NewLogLogger(r.Log.Handler(), slog.LevelDebug)}
	mux.Handle("GET /v1/readyz", forward)
	mux.Handle("GET /v1/metrics", forward)
	return mux
}

// LocalProcess is a relay as a process of this machine: the next one is started beside
// it, and it is told to end once that has had time to take over.
type LocalProcess struct {
	Command           []string
	Env               []string
	TakeoverTime      time.Duration // that the next process has to take over
	TerminationTime   time.Duration // that the old one has to end
	OperatorAddresses [2]string     // operator addresses, by turns: ROUTER_OPERATOR of each process

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
	at  atomic.Int32 // in Addrs
}

// Operator is Program's.
func (l *LocalProcess) Operator() string { return l.OperatorAddresses[l.at.Load()] }

// Restart starts the next process and ends the one before.
func (l *LocalProcess) Restart(ctx context.Context) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.Command) == 0 {
		return 0, errors.New("runner: no command")
	}
	old, oldEnd := l.cmd, l.end
	cmd := exec.Command(l.Command[0], l.Command[1:]...)
	next := 1 - l.at.Load()
	cmd.Env = append(append(os.Environ(), l.Env...), "ROUTER_OPERATOR="+l.OperatorAddresses[next])
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		return 0, fmt.Errorf("runner: %w", err)
	}
	end := make(chan struct{})
	go func() {
		cmd.Wait() // how it ended shows in its own log
		close(end)
	}()
	l.cmd, l.end = cmd, end
	l.at.Store(next)
	if old == nil {
		return cmd.Process.Pid, nil
	}
	t := time.NewTimer(l.TakeoverTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-end:
		l.cmd, l.end = old, oldEnd
		l.at.Store(1 - next)
		return 0, errors.New("runner: the next process ended at once; the one before serves on")
	case <-ctx.Done():
	}
	old.Process.Signal(syscall.SIGTERM)
	t.Reset(l.TerminationTime)
	select {
	case <-oldEnd:
	case <-t.C:
		old.Process.Kill()
		<-oldEnd
	}
	return cmd.Process.Pid, nil
}

// Stop ends the relay.
func (l *LocalProcess) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cmd == nil {
		return
	}
	l.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(l.TerminationTime)
	defer t.Stop()
	select {
	case <-l.end:
	case <-t.C:
		l.cmd.Process.Kill()
		<-l.end
	}
}

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
	"path/filepath"
	"sync"

	"plovershore/internal/leader"
)

// RunnerPath is the path of a runner's HTTP interface: POST with a Step restarts the
// runner's relay, and GET returns the StepStatus of the last step.
const RunnerPath = "/v1/restart"

const (
	statusFile     = "restart.json" // file in the runner's folder that stores the last step
	requestBodyMax = 4096           // bytes
)

// Step is a request to restart a relay. Requests with the ID of the last completed step
// have no effect.
type Step struct {
	ID    string `json:"id"`
	Token int64  `json:"token"` // fencing token of the role; the runner rejects one older than it has seen with status 412
}

// StepStatus is the state of the last step that a runner has begun.
type StepStatus struct {
	Step string `json:"step"` // ID of the step
	Done bool   `json:"done"` // whether the step is complete
	PID  int    `json:"pid"`  // process id of the relay's present process
}

// Program starts and stops a relay.
type Program interface {
	// Restart replaces the relay's process and returns the process id of the new one.
	Restart(ctx context.Context) (pid int, err error)
	// Operator returns the operator address of the present process. It changes with a
	// restart, since two processes of one relay cannot share an address.
	Operator() string
}

// Runner restarts one relay. It does not repeat a completed step while that is the last one
// it has begun. Its exported fields must be
// set before the first use; it is safe for concurrent use. Its folder keeps the last step
// and the highest fencing token, and must persist when the runner itself is restarted.
type Runner struct {
	Folder  string
	Program Program
	Log     *slog.Logger

	mu sync.Mutex // serializes steps
}

// Handler serves RunnerPath, and forwards requests for the readiness and the metrics of the
// relay to the operator address of its present process.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RunnerPath, r.getStatus)
	mux.HandleFunc("POST "+RunnerPath, r.postStep)
	// These routes let a rollout read the status of the relay without knowing which of its
	// processes is the present one.
	operator := &httputil.ReverseProxy{
		Rewrite: func(proxied *httputil.ProxyRequest) {
			proxied.Out.URL.Scheme, proxied.Out.URL.Host = "http", r.Program.Operator()
		},
		ErrorLog: slog.NewLogLogger(r.Log.Handler(), slog.LevelDebug),
	}
	mux.Handle("GET /v1/readyz", operator)
	mux.Handle("GET /v1/metrics", operator)
	return mux
}

func (r *Runner) getStatus(w http.ResponseWriter, _ *http.Request) {
	status, err := r.readStatus()
	r.respond(w, status, err)
}

func (r *Runner) postStep(w http.ResponseWriter, req *http.Request) {
	var step Step
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, requestBodyMax)).Decode(&step)
	if err != nil || step.ID == "" {
		http.Error(w, "body: a step is wanted", http.StatusBadRequest)
		return
	}
	// A restart that has begun is completed even if the client disconnects.
	status, err := r.restart(context.WithoutCancel(req.Context()), step)
	r.respond(w, status, err)
}

func (r *Runner) respond(w http.ResponseWriter, status StepStatus, err error) {
	switch {
	case errors.Is(err, leader.ErrFenced):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		r.Log.Error("step failed", "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status) // a client that does not get the response repeats the step
	}
}

// restart carries out a step unless it is done already. A step that was begun but not
// completed, for example by a previous process of the runner, is carried out again. The
// additional restart does no harm, since a relay's folder can be handed over between more
// than two processes.
func (r *Runner) restart(ctx context.Context, step Step) (StepStatus, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := leader.Fence(r.Folder, Role, step.Token); err != nil {
		return StepStatus{}, err
	}
	last, err := r.readStatus()
	if err != nil || last.Step == step.ID && last.Done {
		return last, err
	}
	if err := r.writeStatus(StepStatus{Step: step.ID, PID: last.PID}); err != nil {
		return last, err
	}
	pid, err := r.Program.Restart(ctx)
	if err != nil {
		return last, err
	}
	r.Log.Info("relay restarted", "step", step.ID, "token", step.Token, "pid", pid)
	done := StepStatus{Step: step.ID, Done: true, PID: pid}
	return done, r.writeStatus(done)
}

// readStatus returns the stored status, or the zero value if no step was begun yet.
func (r *Runner) readStatus() (status StepStatus, err error) {
	text, err := os.ReadFile(r.statusPath())
	if errors.Is(err, os.ErrNotExist) {
		return status, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &status)
	}
	if err != nil {
		return status, fmt.Errorf("runner: %w", err)
	}
	return status, nil
}

func (r *Runner) writeStatus(status StepStatus) error {
	text, err := json.Marshal(status)
	if err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	path := r.statusPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	return nil
}

func (r *Runner) statusPath() string { return filepath.Join(r.Folder, statusFile) }

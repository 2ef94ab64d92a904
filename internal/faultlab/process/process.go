// Package process starts the programs under test and ends them. Each runs in a
// process group of its own, and none outlives the lab, however the lab ends. An
// exit is reported with its cause; why a process is signalled is left to the
// caller.
package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// starter starts every process from one thread that lives as long as the lab:
// the kernel ends a child whose parent-death signal is set when the thread that
// started it ends, so that must not be one of the runtime's choosing.
var starter = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() { // lives as long as the lab
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

const outputGrace = 2 * time.Second // for output that a process's own children hold open

// Process is a process that was started. It is safe for concurrent use; whoever
// started it ends it.
type Process struct {
	Name string
	PID  int

	cmd  *exec.Cmd
	done chan struct{} // closed once it is gone
	err  error         // of the wait for it; valid once done is closed

	mu      sync.Mutex
	stopped bool // by SIGSTOP
}

// Start runs a program with env added to the lab's environment. Its output goes to
// out.
func Start(name, program string, args, env []string, out io.Writer) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.WaitDelay = outputGrace
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, PID: cmd.Process.Pid, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Done is closed once the process is gone.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit returns how the process ended: its code with a description, or -1 with the
// signal's name. Call it after Done is closed.
func (p *Process) Exit() (code int, text string) {
	state := p.cmd.ProcessState
	if state == nil {
		return -1, fmt.Sprint(p.err)
	}
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return -1, status.Signal().String()
	}
	return state.ExitCode(), state.String()
}

// Signal sends a signal to the process itself. It returns os.ErrProcessDone once
// that is gone.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return os.ErrProcessDone
	default:
	}
	p.mu.Lock()
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	p.mu.Unlock()
	if err := syscall.Kill(p.PID, s); err != nil {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}

// Stopped reports whether the process is stopped by SIGSTOP.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Kill ends the process and its group, and waits until it is gone.
func (p *Process) Kill() {
	select {
	case <-p.done:
		return
	default:
	}
	syscall.Kill(-p.PID, syscall.SIGKILL)
	<-p.done
}

// Wait waits for the end of the process or of ctx; it reports whether the
// process is gone.
func (p *Process) Wait(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
		return false
	}
}

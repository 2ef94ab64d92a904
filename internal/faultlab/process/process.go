// Package process starts and stops the programs under test. Each runs in a process group
// of its own, and the kernel kills it if the lab ends in any way. An exit is reported with
// its cause. The package does not decide when to signal a process.
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

// starter returns a channel of functions that run on one thread, which lives as long as
// the lab. Every process is started there: the kernel sends a child its parent-death
// signal when the thread that started it ends, and Go's runtime may end any other thread.
var starter = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() { // never returns: the runtime would end the thread that is locked to it, and so kill the children
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

const outputGrace = 2 * time.Second // time to read output after the exit, while children of the process keep it open

// Process is a started process. It is safe for concurrent use. The caller of Start must
// end it.
type Process struct {
	Name string
	PID  int

	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
	err  error         // result of cmd.Wait; valid once done is closed

	mu      sync.Mutex
	stopped bool // SIGSTOP was sent, and no SIGCONT after it
}

// Start runs a program with env added to the lab's environment, and writes its output to
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

// Done returns a channel that is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit returns the exit code and its description, or -1 and the name of the signal that
// killed the process. It must be called after Done is closed.
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

// Signal sends a signal to the process, not to its group. It returns os.ErrProcessDone if
// the process has ended.
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

// Stopped reports whether Signal has stopped the process by SIGSTOP.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Kill kills the process and its group, and waits until the process has ended. It does
// nothing if the process has ended already.
func (p *Process) Kill() {
	select {
	case <-p.done:
		return
	default:
	}
	syscall.Kill(-p.PID, syscall.SIGKILL)
	<-p.done
}

// Wait waits until the process or ctx ends, and reports whether the process has ended.
func (p *Process) Wait(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
		return false
	}
}

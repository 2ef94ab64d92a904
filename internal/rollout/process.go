package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Errors of LocalProcess.Restart.
var (
	ErrNoCommand   = errors.New("runner: no command")
	ErrExitedEarly = errors.New("runner: the next process ended at once; the one before serves on")
)

// LocalProcess is a Program that runs a relay as a process on this machine. A restart starts
// the next process while the present one still runs, and terminates the present one after
// TakeoverTime. The exported fields must be set before the first call of Restart. A
// LocalProcess is safe for concurrent use; Stop ends its process.
type LocalProcess struct {
	Command           []string      // program and arguments
	Env               []string      // variables added to this process's environment
	TakeoverTime      time.Duration // from the start of the next process to SIGTERM for the present one
	TerminationTime   time.Duration // from SIGTERM to SIGKILL
	OperatorAddresses [2]string     // values of ROUTER_OPERATOR that successive processes get in turn

	mu           sync.Mutex
	current      *childProcess
	addressIndex atomic.Int32 // index in OperatorAddresses of the present process's address
}

// childProcess is a process and a channel that is closed once the process has exited.
type childProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func startChild(cmd *exec.Cmd) (*childProcess, error) {
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("runner: %w", err)
	}
	child := &childProcess{cmd: cmd, exited: make(chan struct{})}
	go func() {
		defer close(child.exited)
		child.cmd.Wait() // the exit status is ignored: the process logs why it ends
	}()
	return child, nil
}

// terminate sends SIGTERM to the process, then SIGKILL if it has not exited after the
// timeout, and waits for its exit.
func (c *childProcess) terminate(timeout time.Duration) {
	c.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.exited:
	case <-timer.C:
		c.cmd.Process.Kill()
		<-c.exited
	}
}

// Operator returns the operator address of the present process.
func (p *LocalProcess) Operator() string { return p.OperatorAddresses[p.addressIndex.Load()] }

// Restart starts the next process, waits for TakeoverTime or the end of ctx, and terminates
// the previous process. If the next process exits while Restart waits, Restart keeps the
// previous one and returns ErrExitedEarly. The first call only starts a process.
func (p *LocalProcess) Restart(ctx context.Context) (pid int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.Command) == 0 {
		return 0, ErrNoCommand
	}
	previous, previousIndex := p.current, p.addressIndex.Load()
	nextIndex := 1 - previousIndex
	next, err := startChild(p.newCommand(p.OperatorAddresses[nextIndex]))
	if err != nil {
		return 0, err
	}
	p.current = next
	p.addressIndex.Store(nextIndex)
	if previous == nil {
		return next.cmd.Process.Pid, nil
	}
	takeover := time.NewTimer(p.TakeoverTime)
	defer takeover.Stop()
	select {
	case <-takeover.C:
	case <-next.exited:
		p.current = previous
		p.addressIndex.Store(previousIndex)
		return 0, ErrExitedEarly
	case <-ctx.Done():
	}
	previous.terminate(p.TerminationTime)
	return next.cmd.Process.Pid, nil
}

func (p *LocalProcess) newCommand(operatorAddress string) *exec.Cmd {
	cmd := exec.Command(p.Command[0], p.Command[1:]...)
	cmd.Env = append(append(os.Environ(), p.Env...), "ROUTER_OPERATOR="+operatorAddress)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd
}

// Stop terminates the present process and waits for its exit.
func (p *LocalProcess) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.terminate(p.TerminationTime)
	}
}

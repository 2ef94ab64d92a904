// Package process starts the programs under test and ends them: each in a
// process group of its own, known by its id, and none outlives the lab, however
// the lab ends. It promises that an exit is noticed once and told with its
// cause; why a process is signalled is left to the schedule.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// starter starts every process from one thread that lives as long as the lab:
// the kernel ends a child whose parent-death signal is set when the thread that
// started it ends, so that must not be one of the runtime's choosing.
var starter = sync.OnceValue(func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// Process is a running process.
type Process struct {
	Name string
	PID  int
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu      sync.Mutex
	stopped bool // by SIGSTOP
}

// Start runs a program with the given environment added to the lab's own. Its
// output goes to out.
func Start(name, program string, args, env []string, out io.Writer) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.WaitDelay = 2 * time.Second
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

// Exit tells how the process ended: its code, or -1 with the signal's name.
// It must be called after Done is closed.
func (p *Process) Exit() (code int, text string) {
	st := p.cmd.ProcessState
	if st == nil {
		return -1, fmt.Sprint(p.err)
	}
	if ws, ok := st.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
		return -1, ws.Signal().String()
	}
	return st.ExitCode(), st.String()
}

// Signal sends a signal to the process itself.
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

// Stopped tells whether the process stands still by SIGSTOP.
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

// Usage is what a process holds at one moment.
type Usage struct {
	RSS  int64         // bytes
	FDs  int           // open descriptors
	CPU  time.Duration // user and system, since it began
	Disk int64         // bytes of its folder, each file in whole 512
}

// Measure reads what the process holds from the kernel's process files.
func (p *Process) Measure(folder string) (Usage, error) {
	u, err := Measure(p.PID)
	if err != nil {
		return u, err
	}
	u.Disk = DiskUse(folder)
	return u, nil
}

const clockTick = 100 // of the kernel's process files, in a second

// Measure reads what any process holds.
func Measure(pid int) (Usage, error) {
	var u Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	text, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, fmt.Errorf("measure: %w", err)
	}
	// The name stands in brackets and may hold spaces: fields count from behind it.
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 22 {
		return u, errors.New("measure: stat is short")
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	sys, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	u.CPU = time.Duration(user+sys) * time.Second / clockTick
	u.RSS = pages * int64(os.Getpagesize())
	fds, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return u, fmt.Errorf("measure: %w", err)
	}
	u.FDs = len(fds)
	return u, nil
}

// DiskUse adds up a folder's files, each in whole 512 bytes.
func DiskUse(folder string) (n int64) {
	if folder == "" {
		return 0
	}
	filepath.WalkDir(folder, func(_ string, d os.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return nil // renamed or removed meanwhile
		}
		if info, err := d.Info(); err == nil {
			n += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return n
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

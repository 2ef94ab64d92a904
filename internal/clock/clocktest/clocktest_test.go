package clocktest

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"
	"time"
)

const childEnv = "CLOCKTEST_CHILD"

// The child process prints its clocks for each byte that it reads: the wall clock
// in Unix ms, and the monotonic time since its start in ms.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	start := time.Now()
	for input := make([]byte, 1); ; {
		if _, err := os.Stdin.Read(input); err != nil {
			os.Exit(0)
		}
		now := time.Now()
		fmt.Println(now.UnixMilli(), now.Sub(start).Milliseconds())
	}
}

// A step of the wall clock in either direction is visible to a running process at
// once, and does not affect its monotonic clock.
func TestStepMovesOnlyTheWallClockOfARunningProcess(t *testing.T) {
	w := New(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1")
	for name, value := range w.Env() {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer stdin.Close()
	lines := bufio.NewReader(stdout)
	start, shift := time.Now(), time.Duration(0)
	for _, by := range []time.Duration{0, 400 * time.Second, -time.Hour, 3 * time.Second} {
		w.Step(t, by)
		shift += by
		before := time.Now()
		if _, err := io.WriteString(stdin, "x"); err != nil {
			t.Fatal(err)
		}
		var wallMS, monoMS int64
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		after := time.Now()
		if _, err := fmt.Sscan(line, &wallMS, &monoMS); err != nil {
			t.Fatal(err)
		}
		if wallMS < before.Add(shift).UnixMilli() || wallMS > after.Add(shift).UnixMilli() {
			t.Errorf("shifted by %v: the child's wall clock shows %v, the machine's %v to %v", shift, time.UnixMilli(wallMS), before, after)
		}
		if maxMono := time.Since(start).Milliseconds(); monoMS < 0 || monoMS > maxMono {
			t.Errorf("shifted by %v: the child's monotonic clock shows %d ms since its start, want 0 to %d", shift, monoMS, maxMono)
		}
	}
}

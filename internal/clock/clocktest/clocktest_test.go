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

const childName = "CLOCKTEST_CHILD"

// The child process prints its clocks for each byte that it reads: the wall clock
// in Unix ms, and the monotonic time since its start in ms.
func TestMain(m *testing.M) {
	if os.Getenv(childName) == "" {
		os.Exit(m.Run())
	}
	began := time.Now()
	for b := make([]byte, 1); ; {
		if _, err := os.Stdin.Read(b); err != nil {
			os.Exit(0)
		}
		now := time.Now()
		fmt.Println(now.UnixMilli(), now.Sub(began).Milliseconds())
	}
}

// A step of the wall clock in either direction is visible to a running process at
// once, and does not affect its monotonic clock.
func TestStep(t *testing.T) {
	w := New(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childName+"=1")
	for name, value := range w.Env() {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer in.Close()
	lines := bufio.NewReader(out)
	began, shift := time.Now(), time.Duration(0)
	for _, by := range []time.Duration{0, 400 * time.Second, -time.Hour, 3 * time.Second} {
		w.Step(t, by)
		shift += by
		before := time.Now()
		if _, err := io.WriteString(in, "x"); err != nil {
			t.Fatal(err)
		}
		var wall, mono int64
		text, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		after := time.Now()
		if _, err := fmt.Sscan(text, &wall, &mono); err != nil {
			t.Fatal(err)
		}
		if wall < before.Add(shift).UnixMilli() || wall > after.Add(shift).UnixMilli() {
			t.Errorf("shifted by %v: the child's wall clock shows %v, the machine's %v to %v", shift, time.UnixMilli(wall), before, after)
		}
		if most := time.Since(began).Milliseconds(); mono < 0 || mono > most {
			t.Errorf("shifted by %v: the child's monotonic clock shows %d ms since its start, want 0 to %d", shift, mono, most)
		}
	}
}

package relay

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
)

// connectFaultEnv names a file to a child relay: while the file exists, connects to
// endpoints fail with the error whose number it holds.
const connectFaultEnv = "RELAY_TEST_CONNECT_FAULT"

func faultyConnect(path string) ConnectHook {
	fault := faultFromFile(path)
	return func(string, string, syscall.RawConn) error {
		if err := fault(); err != nil {
			return os.NewSyscallError("connect", err)
		}
		return nil
	}
}

// While this machine can open no connection, no message uses up its attempts and no
// endpoint is blamed; all are sent soon after it can again.
func TestLocalConnectFailureUsesNoAttempts(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.ENOBUFS, syscall.ENETUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, nil)
			disc := discoverytest.New(t, ep.member("s-1", 1))
			env := writeTestConfig(t, disc, 3)
			connects := newFaultSwitch(t, env, connectFaultEnv)
			connects.set(fault)
			c := spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			var ids []string
			for i := range 6 {
				ids = append(ids, fmt.Sprint("m", i))
				if s := cl.put(ids[i], putFields([]string{"plain", "once", "keyed"}[i%3], 20000, 1), nil); s != "+OK" {
					t.Fatalf("%s: %s", ids[i], s)
				}
			}
			time.Sleep(1500 * time.Millisecond) // the machine is without for that long
			connects.clear()
			cleared := time.Now()
			for _, id := range ids {
				for time.Since(cleared) < 2*time.Second && !ep.answeredOK(id) {
					time.Sleep(2 * time.Millisecond)
				}
				if n, ended := disc.Notice(id); ep.callCount(id) != 1 || ended {
					t.Errorf("%s: %d calls, notice %q", id, ep.callCount(id), n.Outcome)
				}
			}
		})
	}
}

// A start waits a little for listen addresses that are taken, and is ready once they
// are free.
func TestStartWaitsForListenAddresses(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 3)
	env["ROUTER_OPERATOR"] = loopback.Free()
	var taken []net.Listener
	for _, name := range []string{"ROUTER_LISTEN", "ROUTER_OPERATOR"} {
		ln, err := net.Listen("tcp", env[name])
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, ln)
	}
	c := spawnWithLog(t, env, io.Discard)
	for _, ln := range taken {
		time.Sleep(400 * time.Millisecond)
		ln.Close()
	}
	if c.hasExited() {
		t.Fatal("it ended")
	}
	c.waitReady(t)
	waitFor(t, "a yes", func() bool { return c.readyzIs(true) })
}

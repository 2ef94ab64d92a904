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

// connectFaultEnv is the environment variable with the path of a fault file. While that file
// exists, a child relay's connects to endpoints fail with the error number in the file.
const connectFaultEnv = "RELAY_TEST_CONNECT_FAULT"

// faultyConnect returns a hook that fails while the fault file at path exists.
func faultyConnect(path string) ConnectHook {
	fault := faultFromFile(path)
	return func(string, string, syscall.RawConn) error {
		if err := fault(); err != nil {
			return os.NewSyscallError("connect", err)
		}
		return nil
	}
}

// While the machine itself cannot open connections, messages must not use up their attempts
// and endpoints must not count as failing. All messages must be sent within 2 s after
// connecting works again.
func TestLocalConnectFailureUsesNoAttempts(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.ENOBUFS, syscall.ENETUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, nil)
			disc := discoverytest.New(t, ep.member("s-1", 1))
			env := writeTestConfig(t, disc, 3)
			connectFault := newFaultSwitch(t, env, connectFaultEnv)
			connectFault.set(fault)
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
			time.Sleep(1500 * time.Millisecond) // how long connecting fails
			connectFault.clear()
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

// A relay that starts while its listen addresses are in use waits for them for a short time,
// and becomes ready once they are free.
func TestStartWaitsForListenAddresses(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 3)
	env["ROUTER_OPERATOR"] = loopback.Free()
	var listeners []net.Listener
	for _, name := range []string{"ROUTER_LISTEN", "ROUTER_OPERATOR"} {
		ln, err := net.Listen("tcp", env[name])
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
	}
	c := spawnWithLog(t, env, io.Discard)
	for _, ln := range listeners {
		time.Sleep(400 * time.Millisecond)
		ln.Close()
	}
	if c.hasExited() {
		t.Fatal("the relay ended while its addresses were in use")
	}
	c.waitReady(t)
	waitFor(t, "readiness", func() bool { return c.readyzIs(true) })
}

package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
	"plovershore/internal/wal"
)

// tcpProxy forwards the connections to its own address to a server, and refuses them while
// it is closed.
type tcpProxy struct {
	addr, target string
	mu           sync.Mutex
	listener     net.Listener
	conns        map[net.Conn]bool
}

func newTCPProxy(t *testing.T, to string) *tcpProxy {
	g := &tcpProxy{addr: loopback.Free(), target: to, conns: map[net.Conn]bool{}}
	g.listen(t)
	t.Cleanup(g.close)
	return g
}

func (p *tcpProxy) listen(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
}

// forward copies the data of one connection in both directions until it ends.
func (p *tcpProxy) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	go func() {
		io.Copy(to, from)
		to.Close()
	}()
	io.Copy(from, to)
}

// close stops listening and closes the open connections.
func (p *tcpProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for conn := range p.conns {
		conn.Close()
	}
	clear(p.conns)
}

// reconnectingClients is a set of idle clients that connect again as soon as they are
// disconnected.
type reconnectingClients struct {
	stopping atomic.Bool
	connects atomic.Int64 // number of connections that were made
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  sync.WaitGroup
}

// startReconnectingClients starts count clients. Each holds one connection at a time and opens
// another as soon as the relay closes it. On each connection, a fourth of the clients send
// nothing, a fourth send PING and a fourth send the beginning of a command. The others submit
// a message on the first of every 32 connections, and send PING on the rest.
func startReconnectingClients(addr string, count int) *reconnectingClients {
	c := &reconnectingClients{conns: map[net.Conn]bool{}}
	texts := []string{"", "*1\r\n$4\r\nPING\r\n", "put", "*5\r\n$7\r\nMSG"}
	for i := range count {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for round := 0; !c.stopping.Load(); round++ {
				text := texts[i%len(texts)]
				if text == "put" && round%32 > 0 { // PING in place of the message, on 31 of 32 connections
					text = texts[1]
				} else if text == "put" {
					text = putCommand(fmt.Sprintf("crowd-%d-%d", i, round), putFields("plain", 20000, 7), nil)
				}
				c.holdConnection(addr, text)
			}
		}()
	}
	return c
}

// holdConnection opens a connection, sends text and waits until the relay closes the
// connection.
func (c *reconnectingClients) holdConnection(addr, text string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	c.connects.Add(1)
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	if !c.stopping.Load() {
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
	}
	conn.Close()
	c.mu.Lock()
	delete(c.conns, conn)
	c.mu.Unlock()
}

// close disconnects all clients and waits for their goroutines.
func (c *reconnectingClients) close() {
	c.stopping.Store(true)
	c.mu.Lock()
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.running.Wait()
}

// lockedBuffer stores the log output of a process; it is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // not embedded: io.Copy would call its ReadFrom without the lock
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// content returns the output so far.
func (b *lockedBuffer) content() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (b *lockedBuffer) occurrences(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// spawnLimited starts a relay with a limit on its number of file descriptors.
func spawnLimited(t *testing.T, env map[string]string, w io.Writer, descriptors int) *child {
	t.Helper()
	c := &child{cmd: exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors), os.Args[0]), env: env}
	startProcess(t, c, w)
	return c
}

// descriptorCount returns the number of open file descriptors of a relay.
func (c *child) descriptorCount() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// logFileNames returns the names of the files of a relay's log, separated by spaces.
func logFileNames(t *testing.T, env map[string]string) string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(env["ROUTER_STATE"], wal.FolderName))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range entries {
		names = append(names, f.Name())
	}
	return strings.Join(names, " ")
}

// Idle clients that open as many connections as the descriptor limit allows, while
// discovery is down, must not stop the relay: it makes calls, adds files to its log and
// answers at the operator address, and once discovery is back it sends notices and watches
// the list again. The relay may close a new connection without reading from it.
func TestRelayWorksWhileIdleClientsExhaustDescriptors(t *testing.T) {
	const descriptorLimit = 96
	ep := newFakeEndpoint(t, nil)
	failing := newFakeEndpoint(t, answerStatus(http.StatusInternalServerError))
	disc := discoverytest.New(t, ep.member("s-1", 7), failing.member("s-2", 2))
	discoveryProxy := newTCPProxy(t, disc.Addr())
	env := writeTestConfig(t, disc, 3)
	env["ROUTER_DISCOVERY"], env["ROUTER_OPERATOR"] = discoveryProxy.addr, loopback.Free()
	editConfig(t, env, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptorLimit))
	log := &lockedBuffer{}
	c := spawnLimited(t, env, log, descriptorLimit)
	c.waitReady(t)
	waitFor(t, "the first watch of the list", func() bool { disc.Mu.Lock(); defer disc.Mu.Unlock(); return len(disc.Froms) == 1 })
	discoveryProxy.close()
	idleClients := startReconnectingClients(c.env["ROUTER_LISTEN"], 3*descriptorLimit)
	defer idleClients.close()
	maxDescriptors := atomic.Int64{}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				maxDescriptors.Store(max(maxDescriptors.Load(), int64(c.descriptorCount())))
			}
		}
	}()
	waitFor(t, "the connections of the idle clients", func() bool { return idleClients.connects.Load() > 10*descriptorLimit })
	filesBefore := logFileNames(t, env)
	body := bytes.Repeat([]byte("b"), 32<<10)
	accepted, attempts := 0, 0
	submit := func(id, fields string) bool { // the caller submits again after a connection that was closed unread, as a client does
		conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, putCommand(id, fields, body))
		reply := make([]byte, 3)
		io.ReadFull(conn, reply)
		return string(reply) == "+OK"
	}
	for accepted < 60 { // 2 MB in all, so that the log needs new files
		id := fmt.Sprintf("m%d", accepted)
		f := putFields("plain", 20000, 7)
		if accepted == 30 {
			id, f = "failed", putFields("once", 20000, 2)
		}
		waitFor(t, id+" to be accepted", func() bool { attempts++; return submit(id, f) })
		accepted++
		if id != "failed" {
			waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) >= 1 })
		}
	}
	waitFor(t, "a new log file", func() bool { return logFileNames(t, env) != filesBefore })
	waitFor(t, "readiness at the operator address", func() bool { return c.readyzIs(true) })
	disc.Mu.Lock()
	watchesBefore := len(disc.Froms)
	disc.Mu.Unlock()
	_, isNoticedEarly := disc.Notice("failed")
	discoveryProxy.listen(t)
	reopenedAt := time.Now()
	waitFor(t, "a new watch of the list", func() bool { disc.Mu.Lock(); defer disc.Mu.Unlock(); return len(disc.Froms) > watchesBefore })
	watchDelay := time.Since(reopenedAt)
	waitFor(t, "the notice", func() bool { n, ok := disc.Notice("failed"); return ok && n.Outcome == discovery.Failed })
	t.Logf("%d connections by idle clients; %d messages accepted in %d tries; up to %d of %d descriptors; after the return of discovery: watch after %v, notice after %v",
		idleClients.connects.Load(), accepted, attempts, maxDescriptors.Load(), descriptorLimit, watchDelay, time.Since(reopenedAt))
	if isNoticedEarly {
		t.Error("discovery received the notice while it was down, so the test proves nothing")
	}
	if n := log.occurrences("too many open files"); n > 0 {
		t.Errorf("the relay ran out of descriptors %d times", n)
	}
}

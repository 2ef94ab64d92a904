package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/discovery/discoverytest"
)

// processMemory returns the memory of a process in bytes, without the pages of its program.
func processMemory(t *testing.T, pid int) (n int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			n += kilobytes << 10
		}
	}
	return n
}

// stalledCommand returns a command of 16 arguments of the longest sizes without its last byte.
func stalledCommand() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", maxArguments)
	for range maxArguments - 1 {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", maxArgumentBytes, strings.Repeat("x", maxArgumentBytes))
	}
	fmt.Fprintf(&b, "$%d\r\n%s", maxBodyBytes, strings.Repeat("y", maxBodyBytes-1))
	return b.Bytes()
}

// unreadEchoes returns PING commands whose responses are longer than a socket's buffers.
func unreadEchoes() []byte {
	ping := fmt.Sprintf("*2\r\n$4\r\nPING\r\n$%d\r\n%s\r\n", maxBodyBytes, strings.Repeat("y", maxBodyBytes))
	return bytes.Repeat([]byte(ping), 100)
}

// Guards against a relay that is killed for its memory: peers that fill all connections and then
// stop within a command, or do not read their responses.
func TestPeersThatStopStayWithinMemoryLimit(t *testing.T) {
	program := buildRelay(t) // the race detector would multiply the memory of a relay in the test's own program
	const memoryMB, peers, playTime = 64, 700, 6 * time.Second
	for name, request := range map[string][]byte{"within a command": stalledCommand(), "without reading": unreadEchoes()} {
		t.Run(name, func(t *testing.T) {
			ep := newFakeEndpoint(t, nil)
			env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 7)), 3)
			editConfig(t, env, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB))
			c := &child{cmd: exec.Command(program), env: env}
			startProcess(t, c, stderrWriter{t})
			c.waitReady(t)
			end := time.Now().Add(playTime)
			var crowd errgroup.Group
			defer crowd.Wait()
			for range peers {
				crowd.Go(func() error { stallUntil(env["ROUTER_LISTEN"], request, end); return nil })
			}
			peak := 0
			for time.Now().Before(end) {
				peak = max(peak, processMemory(t, c.cmd.Process.Pid))
				time.Sleep(10 * time.Millisecond)
			}
			if peak > memoryMB<<20 {
				t.Errorf("peak of %d bytes, the limit is %d", peak, memoryMB<<20)
			}
			t.Logf("peak of %.1f MiB", float64(peak)/(1<<20))
		})
	}
}

// stallUntil connects, sends a request and waits for the end of the connection, again and again.
func stallUntil(addr string, request []byte, end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn.SetDeadline(end)
		if _, err := conn.Write(request); err == nil { // peers that do not read get no further than this
			io.Copy(io.Discard, conn)
		}
		conn.Close()
	}
}

// Guards against clients that starve behind peers that stop within a command: their memory is
// given to a complete command, and their own commands are answered with BUSY once they are
// complete, wherever in the command the memory was taken.
func TestStalledCommandsGiveUpMemory(t *testing.T) {
	const stalledCount = 24
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	c := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	c.commandTimeout, c.clientTimeout = time.Minute, time.Minute // a slow machine must not end the commands
	c.commandMemory.setLimit(4 * maxBodyBytes)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	addr := ln.Addr().String()
	body := bytes.Repeat([]byte("b"), maxBodyBytes)
	type stalledPeer struct {
		*testClient
		rest string
	}
	var stalled []stalledPeer
	for i := range stalledCount {
		command := putCommand(fmt.Sprint("stalled", i), putFields("plain", 8000, 1), body)
		cut := unreservedCommandBytes + rng.IntN(len(command)-unreservedCommandBytes)
		if i%3 == 0 {
			cut = len(command) - 1 - rng.IntN(3) // within the end of the line
		}
		cl := dialClient(t, addr)
		io.WriteString(cl, command[:cut])
		stalled = append(stalled, stalledPeer{cl, command[cut:]})
	}
	waitFor(t, "the use of all memory", func() bool {
		c.commandMemory.mu.Lock()
		defer c.commandMemory.mu.Unlock()
		return c.commandMemory.limit-c.commandMemory.used < maxBodyBytes
	})
	cl := dialClient(t, addr)
	if s := cl.put("small", putFields("plain", 8000, 1), body[:100]); s != "+OK" {
		t.Errorf("small message: response %q", s)
	}
	waitFor(t, "a large message that is accepted", func() bool { return cl.put("large", putFields("plain", 8000, 1), body) == "+OK" })
	busy := 0
	for i, peer := range stalled {
		io.WriteString(peer, peer.rest+"*1\r\n$4\r\nPING\r\n")
		response := peer.readLine()
		if response != "+OK" && response != "-BUSY" {
			t.Errorf("stalled command %d: response %q", i, response)
		}
		if response == "-BUSY" {
			busy++
		}
		if s := peer.readLine(); s != "+PONG" {
			t.Errorf("stalled command %d: next response %q", i, s)
		}
	}
	if busy == 0 {
		t.Error("no stalled command was dropped")
	}
	waitFor(t, "the release of all memory", func() bool {
		c.commandMemory.mu.Lock()
		defer c.commandMemory.mu.Unlock()
		return c.commandMemory.used == 0 && len(c.commandMemory.reading) == 0 && len(c.commandMemory.waiting) == 0
	})
}

// Guards against a budget that is exceeded or leaks: commands reserve, stall, end and are revoked.
func TestRandomReservationsStayWithinBudget(t *testing.T) {
	const limit, workers, commands = 100 << 10, 16, 30
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	m := newCommandMemory(limit)
	var all errgroup.Group
	for worker := range uint64(workers) {
		rng := rand.New(rand.NewPCG(seed, worker))
		all.Go(func() error {
			for range commands {
				interrupted := make(chan struct{})
				r := m.begin(func() { close(interrupted) })
				for range 1 + rng.IntN(4) {
					if r.reserve(rng.IntN(40<<10)) != nil {
						break
					}
					select {
					case <-interrupted:
					case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
					}
				}
				m.mu.Lock()
				if m.used > limit || m.used < 0 {
					t.Errorf("%d bytes are reserved of %d", m.used, limit)
				}
				m.mu.Unlock()
				if rng.IntN(2) == 0 {
					r.finishReading()
				}
				r.release()
				r.release()
			}
			return nil
		})
	}
	all.Wait()
	if m.used != 0 || len(m.reading) != 0 || len(m.waiting) != 0 {
		t.Errorf("after the end: %d bytes reserved, %d commands reading, %d waiting", m.used, len(m.reading), len(m.waiting))
	}
}

// A command that needs more than the whole budget is dropped, and the next one is read.
func TestCommandLargerThanBudgetIsDropped(t *testing.T) {
	m := newCommandMemory(maxArgumentBytes)
	large := m.begin(func() {})
	if err := large.reserve(maxBodyBytes); err == nil {
		t.Error("memory beyond the budget was reserved")
	}
	large.release()
	small := m.begin(func() {})
	if err := small.reserve(maxArgumentBytes); err != nil {
		t.Error(err)
	}
	var in bytes.Buffer
	in.WriteString(putCommand("m", "c=plain", make([]byte, maxBodyBytes)) + "*1\r\n$4\r\nPING\r\n")
	reader := bufio.NewReader(&in)
	if _, err := readCommand(reader, m.begin(func() {}), func() {}); err != errNoCommandMemory {
		t.Errorf("got %v", err)
	}
	if args, err := readCommand(reader, m.begin(func() {}), func() {}); err != nil || len(args) != 1 {
		t.Errorf("the next command: %q, %v", args, err)
	}
}

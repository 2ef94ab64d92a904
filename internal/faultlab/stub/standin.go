// Package stub is a small relay that keeps the protocol's promises, unless
// it is told to break one: the judge's tests run it as a process of its own and
// want each defect caught by the checker that is meant for it. It keeps no log,
// so it promises nothing over a restart, and throttles nothing.
package stub

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// DefectEnv names the variable that tells the defect; empty for none.
const DefectEnv = "FAULTLAB_DEFECT"

// The defects.
const (
	Drop        = "drop"         // now and then a message is forgotten
	Late        = "late"         // now and then an end comes after the message's time
	Repeat      = "repeat"       // a copy-order is sent again after it was delivered
	HandBack    = "hand-back"    // a copy-order that may have run is handed back
	SecondCopy  = "second-copy"  // two attempts are out at once
	Thirteen    = "thirteen"     // no bound on attempts
	IgnoreWait  = "ignore-wait"  // a told wait is passed over
	IgnoreDrain = "ignore-drain" // so is word of a drain
	AfterEnd    = "after-end"    // a message is sent on after its end was told
	BusySent    = "busy-sent"    // a message is refused and sent on
	AnswerTwice = "answer-twice"
	WrongPlace  = "wrong-place" // a message goes to another destination
	Altered     = "altered"     // its body is changed
	Leak        = "leak"        // memory
	LeakFiles   = "leak-files"  // descriptors
	FillDisk    = "fill-disk"
	SlowTerm    = "slow-term" // SIGTERM is passed over
	HangUpExit  = "hang-up-exit"
	KeepPeers   = "keep-peers" // bad peers get neither an error nor a close
	Topple      = "topple"     // a destination that comes back is sent all there is
)

type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
}

type list struct {
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
	Revision int64    `json:"revision"`
}

type relay struct {
	defect string
	state  string
	disc   atomic.Pointer[string]
	client *http.Client
	n      atomic.Int64
	hoard  [][]byte
	files  []*os.File

	mu      sync.Mutex
	members []member
	waits   map[int]time.Time
	wg      sync.WaitGroup
}

type message struct {
	id, class string
	dest      int
	until     time.Time
	body      []byte
	number    int64
}

// Main runs a stand-in until SIGTERM and gives its exit code.
func Main(getenv func(string) string) int {
	if err := serve(getenv); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

// config is what it reads of a relay's configuration.
type config struct {
	Listen, Discovery, State string
	Known                    list
}

func read(path string) (c config, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	return c, err
}

func serve(getenv func(string) string) error {
	c, err := read(getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	r := &relay{defect: getenv(DefectEnv), state: c.State, members: c.Known.Members, waits: map[int]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: 1500 * time.Millisecond}).DialContext}}}
	r.disc.Store(&c.Discovery)
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM)
	ln, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			if r.defect == HangUpExit {
				os.Exit(0)
			}
			if c, err := read(getenv("ROUTER_CONFIG")); err == nil {
				r.disc.Store(&c.Discovery)
			}
		}
	}()
	go r.watch(c.Known.Revision)
	go func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go r.converse(conn)
			}
		}
	}()
	<-term
	for r.defect == SlowTerm {
		time.Sleep(time.Second)
	}
	ln.Close()
	done := make(chan struct{})
	go func() { r.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
	}
	return nil
}

// watch follows the list.
func (r *relay) watch(from int64) {
	for ; ; time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", *r.disc.Load(), from))
		if err != nil {
			continue
		}
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
			var l list
			if json.Unmarshal(in.Bytes(), &l) == nil {
				r.take(l)
				from = l.Revision
			}
		}
		resp.Body.Close()
	}
}

func (r *relay) take(l list) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Complete {
		r.members = l.Members
		return
	}
	for _, m := range l.Members {
		r.members = slices.DeleteFunc(r.members, func(x member) bool { return x.ID == m.ID })
		if m.Phase != "removed" || r.defect == IgnoreDrain {
			r.members = append(r.members, m)
		}
	}
}

// converse serves one client.
func (r *relay) converse(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for fresh := true; ; fresh = false {
		wait := 30 * time.Second
		if fresh && r.defect != KeepPeers {
			wait = 2 * time.Second
		}
		conn.SetReadDeadline(time.Now().Add(wait))
		args, err := command(in)
		if err != nil && r.defect == KeepPeers {
			io.Copy(io.Discard, in)
			return
		}
		var bad badRequest
		if errors.As(err, &bad) {
			fmt.Fprintf(conn, "-ERR %v\r\n", err)
		}
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, r.answer(args)); err != nil {
			return
		}
	}
}

type badRequest string

func (b badRequest) Error() string { return string(b) }

// command reads an array of bulk strings.
func command(in *bufio.Reader) ([]string, error) {
	n, err := length(in, '*', 16)
	if err != nil {
		return nil, err
	}
	args := make([]string, n)
	for i := range args {
		size, err := length(in, '$', 64<<10)
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		args[i] = string(text[:size])
	}
	return args, nil
}

func length(in *bufio.Reader, mark byte, most int) (int, error) {
	b, err := in.ReadByte()
	if err != nil {
		return 0, err
	}
	if b != mark {
		return 0, badRequest("no proper request")
	}
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil || n < 0 || n > most {
		return 0, badRequest("bad length")
	}
	return n, nil
}

func (r *relay) answer(args []string) string {
	if len(args) == 1 && args[0] == "PING" {
		return "+PONG\r\n"
	}
	if len(args) != 5 || args[0] != "MSG.PUT" {
		return "-ERR unknown command\r\n"
	}
	m := message{id: args[2], body: []byte(args[4]), number: r.n.Add(1)}
	for _, f := range strings.Split(args[3], ",") {
		k, v, _ := strings.Cut(f, "=")
		switch k {
		case "c":
			m.class = v
		case "d":
			ms, _ := strconv.Atoi(v)
			m.until = time.Now().Add(time.Duration(ms) * time.Millisecond)
		case "dest":
			m.dest, _ = strconv.Atoi(v)
		}
	}
	r.misbehave(m.number)
	if r.defect == Drop && m.number%10 == 0 {
		return "+OK\r\n"
	}
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.deliver(m) }()
	switch {
	case r.defect == BusySent && m.number%10 == 0:
		return "-BUSY 100\r\n"
	case r.defect == AnswerTwice && m.number%10 == 0:
		return "+OK\r\n+OK\r\n"
	}
	return "+OK\r\n"
}

// misbehave uses up what the machine has.
func (r *relay) misbehave(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.defect {
	case Leak:
		b := make([]byte, 1<<20)
		for i := 0; i < len(b); i += 4096 {
			b[i] = 1
		}
		r.hoard = append(r.hoard, b)
	case LeakFiles:
		for range 10 {
			if f, err := os.Open(os.DevNull); err == nil {
				r.files = append(r.files, f)
			}
		}
	case FillDisk:
		os.WriteFile(filepath.Join(r.state, strconv.FormatInt(n, 10)), make([]byte, 64<<10), 0o600)
	}
}

// place picks an endpoint for a message, or says how long none may be called.
func (r *relay) place(m message) (string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := time.Until(r.waits[m.dest]); w > 0 && r.defect != IgnoreWait {
		return "", w
	}
	var can []member
	for _, x := range r.members {
		if (x.Cell == m.dest) != (r.defect == WrongPlace && m.number%10 == 0) && (x.Phase == "up" || r.defect == IgnoreDrain) {
			can = append(can, x)
		}
	}
	if len(can) == 0 {
		return "", 100 * time.Millisecond
	}
	return can[rand.IntN(len(can))].HostPort, 0
}

const attemptsMost = 12

// deliver takes a message to its end.
func (r *relay) deliver(m message) {
	defectNow := m.number%10 == 0
	if r.defect == AfterEnd && defectNow {
		r.notice(m, "handed_back")
		time.Sleep(200 * time.Millisecond)
	}
	unsafe, ran := m.class == "copy-order", false
	for tries := 0; time.Until(m.until) > 150*time.Millisecond; {
		addr, wait := r.place(m)
		if addr == "" {
			time.Sleep(min(wait+time.Millisecond, max(0, time.Until(m.until)-140*time.Millisecond)))
			continue
		}
		if tries++; tries > attemptsMost && r.defect != Thirteen {
			break
		}
		if r.defect == SecondCopy && defectNow && !unsafe {
			go r.send(m, addr)
		}
		o := r.send(m, addr)
		if o.over {
			if r.defect == Repeat && unsafe && defectNow {
				r.send(m, addr)
			}
			return
		}
		if o.wait > 0 {
			r.mu.Lock()
			if over := time.Now().Add(o.wait); over.After(r.waits[m.dest]) {
				r.waits[m.dest] = over
			}
			r.mu.Unlock()
		}
		if o.ran && unsafe {
			ran = true
			break
		}
		if r.defect != Topple {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if r.defect == Late && !ran {
		time.Sleep(time.Until(m.until) + time.Second)
	}
	if ran && r.defect != HandBack {
		r.notice(m, "given_up")
	} else {
		r.notice(m, "handed_back")
	}
}

type outcome struct {
	over, ran bool
	wait      time.Duration
}

func (r *relay) send(m message, addr string) outcome {
	body := m.body
	if r.defect == Altered && m.number%10 == 0 {
		body = append(bytes.Clone(body), '!')
	}
	ctx, cancel := context.WithDeadline(context.Background(), m.until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/messages", bytes.NewReader(body))
	if err != nil {
		return outcome{}
	}
	req.Header.Set("X-Request-ID", m.id)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, time.Until(m.until).Milliseconds()), 10))
	resp, err := r.client.Do(req)
	if err != nil {
		var op *net.OpError
		return outcome{ran: !(errors.As(err, &op) && op.Op == "dial")}
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	secs, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return outcome{over: resp.StatusCode == 200 || resp.StatusCode == 410, ran: resp.StatusCode == 500, wait: time.Duration(secs * float64(time.Second))}
}

func (r *relay) notice(m message, outcome string) {
	text := fmt.Sprintf("{\"message\":%q,\"outcome\":%q}\n", m.id, outcome)
	for range 50 {
		resp, err := http.Post("http://"+*r.disc.Load()+"/reports", "application/json", strings.NewReader(text))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

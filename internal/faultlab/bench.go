package faultlab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/registry"
	"plovershore/internal/registry/agent"
	"plovershore/internal/registry/client"
)

// RegistryBenchOptions say what of the list service is measured.
type RegistryBenchOptions struct {
	Registry        string // its program
	Out             string
	Watchers        []int
	Members         []int
	Kills           int
	Writes          int           // whose way to the last watcher is timed
	LoadTime        time.Duration // of each measurement of writes
	ReturningAgents int           // that come back beside the most watchers after an outage
	Outage          time.Duration
	Seed            uint64
	Printf          func(format string, args ...any)
}

// Spread is a figure over several takes, in milliseconds unless it says otherwise.
type Spread struct {
	Name               string
	N                  int
	P50, P90, P99, Max float64
}

func newSpread(name string, v []float64) Spread {
	slices.Sort(v)
	at := func(q float64) float64 {
		if len(v) == 0 {
			return 0
		}
		return v[min(len(v)-1, int(q*float64(len(v))))]
	}
	return Spread{name, len(v), at(0.5), at(0.9), at(0.99), at(1)}
}

// benchGroup is a group of processes with nothing between them.
type benchGroup struct {
	ip        string
	dir       string
	program   string
	port      int
	processes []*process.Process
	configs   []string
	http      []string
	logs      *os.File
}

func (b *benchGroup) start(size, members int) error {
	b.processes, b.configs, b.http = make([]*process.Process, size), nil, nil
	var peers strings.Builder
	var raft []string
	for i := range size {
		b.port += 2
		b.http = append(b.http, fmt.Sprintf("%s:%d", b.ip, b.port))
		raft = append(raft, fmt.Sprintf("%s:%d", b.ip, b.port+1))
		fmt.Fprintf(&peers, "[[peers]]\nid = \"r%d\"\nraft = %q\nhttp = %q\n", i, raft[i], b.http[i])
	}
	for i := range size {
		data := filepath.Join(b.dir, fmt.Sprintf("data-%d-%d", b.port, i))
		path := data + ".toml"
		text := fmt.Sprintf("id = \"r%d\"\ndata = %q\nlisten = %q\nraft = %q\n%s", i, data, b.http[i], raft[i], peers.String())
		for k := range members {
			text += fmt.Sprintf("[[members]]\nid = \"s-%d\"\naddress = \"10.0.%d.%d:6379\"\nzone = \"a\"\nflavor = \"agent\"\ncell = %d\n", k, k/250, k%250+1, k)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		b.configs = append(b.configs, path)
		if err := b.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

func (b *benchGroup) startNode(i int) error {
	p, err := process.Start(fmt.Sprint("r", i), b.program, []string{"serve", "--config", b.configs[i]}, nil, b.logs)
	if err != nil {
		return err
	}
	b.processes[i] = p
	return nil
}

func (b *benchGroup) stop() {
	for _, p := range b.processes {
		if p != nil {
			p.Kill()
		}
	}
}

func (b *benchGroup) client() (*client.Client, error) {
	return client.New(b.http, 1, slog.New(slog.DiscardHandler))
}

// leader is the place of the node that leads; -1 for none.
func (b *benchGroup) leader() int {
	c := http.Client{Timeout: 300 * time.Millisecond}
	for i, addr := range b.http {
		resp, err := c.Get("http://" + addr + registry.StatusPath)
		if err != nil {
			continue
		}
		var s registry.Status
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil && s.RaftRole == "Leader" {
			return i
		}
	}
	return -1
}

// startReady starts a group and gives a client of it, once a write is taken. Its
// user stops the one and closes the other.
func (b *benchGroup) startReady(ctx context.Context, size, members int) (*client.Client, error) {
	if err := b.start(size, members); err != nil {
		return nil, err
	}
	c, err := b.client()
	if err == nil {
		first, cancel := context.WithTimeout(ctx, groupTimeout)
		defer cancel()
		if err = benchWrite(first, c, 0); err != nil {
			c.Close()
		}
	}
	if err != nil {
		b.stop()
		return nil, fmt.Errorf("bench: %w", err)
	}
	return c, nil
}

func benchWrite(ctx context.Context, c *client.Client, n int) error {
	_, err := c.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: "bench", Address: "10.9.9.9:1", Zone: fmt.Sprint("z", n), Flavor: "bench"}, nil)
	return err
}

// benchWatcher is one watcher: it reads lines and tells when it heard a revision.
type benchWatcher struct {
	addr       string
	revision   int64 // revision; -1 before the first
	onRevision func(int64, time.Time)
	polls      bool
}

func (w *benchWatcher) run(ctx context.Context, first func()) {
	for n := 0; ctx.Err() == nil; n++ {
		err := w.watchOnce(ctx, func() { first(); n = 0 })
		if ctx.Err() != nil || err == nil && !w.polls {
			return
		}
		if w.polls && err == nil {
			model.Sleep(ctx, time.Second)
			continue
		}
		// As the client does: longer with each try, spread over the fleet.
		model.Sleep(ctx, time.Duration(rand.Float64()*float64(min(50*time.Millisecond<<min(n, 6), 2*time.Second)+500*time.Millisecond)))
	}
}

func (w *benchWatcher) watchOnce(ctx context.Context, open func()) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp4", w.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	query := fmt.Sprintf("?watch=1&from=%d", w.revision)
	if w.polls {
		query = ""
	}
	fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", discovery.ListPath, query)
	in := bufio.NewReaderSize(conn, 512)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		text, err := in.ReadSlice('\n')
		now := time.Now()
		if errors.Is(err, bufio.ErrBufferFull) {
			text = bytes.Clone(text) // the revision stands at the front; the rest is passed over
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = in.ReadSlice('\n')
			}
		}
		if !w.polls && bytes.HasPrefix(text, []byte("HTTP/1.1 200")) {
			open()
		}
		if bytes.HasPrefix(text, []byte(`{"revision":`)) {
			var revision int64
			fmt.Sscanf(string(text[12:min(len(text), 32)]), "%d", &revision)
			if w.revision < 0 && w.polls {
				open()
			}
			w.revision = revision
			w.onRevision(revision, now)
		}
		if w.polls && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// watcherSet is many watchers of a group.
type watcherSet struct {
	mu         sync.Mutex
	awaited    int64
	arrived    int
	last       time.Time
	allArrived chan struct{}
	size       int
	opened     atomic.Int64
	wg         sync.WaitGroup
}

func (c *watcherSet) expect(revision int64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.arrived, c.allArrived = revision, 0, make(chan struct{})
	return c.allArrived
}

// start opens the watchers; each tells of revision r once.
func (c *watcherSet) start(ctx context.Context, nodes []string, size int, poll bool) {
	c.size = size
	for i := range size {
		w := &benchWatcher{addr: nodes[i%len(nodes)], revision: -1, polls: poll}
		done := int64(-1)
		w.onRevision = func(r int64, t time.Time) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.awaited > 0 && r >= c.awaited && done < c.awaited {
				done = c.awaited
				c.arrived++
				c.last = t
				if c.arrived == c.size {
					close(c.allArrived)
				}
			}
		}
		c.wg.Add(1)
		go func() { defer c.wg.Done(); w.run(ctx, func() { c.opened.Add(1) }) }()
	}
}

// awaitOpen waits until so many watches have opened since the count was taken.
func (c *watcherSet) awaitOpen(ctx context.Context, from int64) error {
	for c.opened.Load()-from < int64(c.size) {
		if !model.Sleep(ctx, 2*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

// BenchRegistry measures the list service beside a poll every second and beside
// a single node.
func BenchRegistry(ctx context.Context, o RegistryBenchOptions) ([]Spread, error) {
	ip, lock, err := claimAddress()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	dir, err := filepath.Abs(o.Out)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	logs, err := os.Create(filepath.Join(dir, "nodes.log"))
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer logs.Close()
	var most syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most) == nil && most.Cur < most.Max {
		most.Cur = most.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &most)
	}
	b := &benchGroup{ip: ip, dir: dir, program: o.Registry, port: firstPort, logs: logs}
	defer b.stop()
	var out []Spread
	add := func(s Spread) {
		out = append(out, s)
		o.Printf("%-64s n=%-5d p50 %.1f  p90 %.1f  p99 %.1f  max %.1f", s.Name, s.N, s.P50, s.P90, s.P99, s.Max)
	}
	if err := b.measureWrites(ctx, 1, 0, o, add); err != nil {
		return out, err
	}
	for _, members := range append([]int{0}, o.Members...) {
		if err := b.measureWrites(ctx, 3, members, o, add); err != nil {
			return out, err
		}
	}
	for _, watchers := range o.Watchers {
		for _, poll := range []bool{true, false} {
			if poll && watchers > 1000 {
				continue // as many polls a second would measure the poll's own load
			}
			if err := b.measureFanOut(ctx, watchers, 30, poll, o, add); err != nil {
				return out, err
			}
		}
	}
	for _, members := range o.Members {
		if err := b.measureFanOut(ctx, 300, members, false, o, add); err != nil {
			return out, err
		}
	}
	if o.Kills > 0 {
		if err := b.measureKills(ctx, 30, o.Kills, o, add); err != nil {
			return out, err
		}
		for _, members := range o.Members {
			if err := b.measureKills(ctx, members, max(o.Kills/5, 1), o, add); err != nil {
				return out, err
			}
		}
	}
	if o.ReturningAgents > 0 && len(o.Watchers) > 0 {
		if err := b.measureComeback(ctx, slices.Max(o.Watchers), o, add); err != nil {
			return out, err
		}
	}
	return out, nil
}

// measureWrites measures how many writes a second a group takes, and how long each is.
func (b *benchGroup) measureWrites(ctx context.Context, nodes, members int, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, nodes, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	var mu sync.Mutex
	var took, rates []float64
	for range 3 { // plays
		var wg sync.WaitGroup
		var n atomic.Int64
		end := time.Now().Add(o.LoadTime)
		for i := range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				own, err := b.client()
				if err != nil {
					return
				}
				defer own.Close()
				for k := 0; time.Now().Before(end) && ctx.Err() == nil; k++ {
					began := time.Now()
					id := fmt.Sprint("w", i)
					_, err := own.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: id, Address: fmt.Sprintf("10.8.8.%d:1", i), Zone: fmt.Sprint(k), Flavor: "x"}, nil)
					if err == nil {
						n.Add(1)
						mu.Lock()
						took = append(took, time.Since(began).Seconds()*1e3)
						mu.Unlock()
					}
				}
			}()
		}
		wg.Wait()
		rates = append(rates, float64(n.Load())/o.LoadTime.Seconds())
	}
	add(newSpread(fmt.Sprintf("writes, %d nodes, %d members, 16 writers: ms each", nodes, members), took))
	add(newSpread(fmt.Sprintf("writes, %d nodes, %d members, 16 writers: a second, over plays", nodes, members), rates))
	return nil
}

// measureFanOut measures the way of a write to the last of many watchers, what a
// watcher costs in memory, and how soon all are back after the group was gone.
func (b *benchGroup) measureFanOut(ctx context.Context, watchers, members int, poll bool, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, 3, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	name := fmt.Sprintf("%d watchers, %d members", watchers, members)
	if poll {
		name = fmt.Sprintf("%d polls every second, %d members", watchers, members)
	}
	rss := func() (all float64) {
		for _, p := range b.processes {
			if u, err := p.Measure(""); err == nil {
				all += float64(u.RSS)
			}
		}
		return all
	}
	before := rss()
	crowdCtx, cancel := context.WithCancel(ctx)
	w := &watcherSet{}
	defer func() { cancel(); w.wg.Wait() }()
	w.start(crowdCtx, b.http, watchers, poll)
	if err := w.awaitOpen(ctx, 0); err != nil {
		return err
	}
	model.Sleep(ctx, 500*time.Millisecond)
	if !poll {
		add(newSpread(name+": KB of all three nodes, a watcher", []float64{(rss() - before) / 1024 / float64(watchers)}))
	}
	var took []float64
	for n := range o.Writes {
		var a registry.Result
		// The revision that the write will have is not known before: the next one is waited for.
		var list discovery.List
		if _, err := c.Do(ctx, http.MethodGet, discovery.ListPath+"?consistent=1", nil, &list); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		all := w.expect(list.Revision + 1)
		if _, err := c.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: "bench", Address: "10.9.9.9:1", Zone: fmt.Sprint("f", n), Flavor: "bench"}, &a); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		answered := time.Now()
		select {
		case <-all:
		case <-time.After(30 * time.Second):
			return errors.New("bench: a write never came to all watchers")
		case <-ctx.Done():
			return ctx.Err()
		}
		w.mu.Lock()
		took = append(took, max(0, w.last.Sub(answered).Seconds()*1e3))
		w.mu.Unlock()
	}
	add(newSpread(name+": ms from the write's answer to the last", took))
	if poll || members != 30 {
		return nil
	}
	var back []float64
	for range 3 {
		b.stop()
		from := w.opened.Load()
		model.Sleep(ctx, time.Second)
		began := time.Now()
		for i := range b.processes {
			if err := b.startNode(i); err != nil {
				return err
			}
		}
		if err := w.awaitOpen(ctx, from); err != nil {
			return err
		}
		back = append(back, time.Since(began).Seconds()*1e3)
	}
	add(newSpread(name+": ms from the group's start until all are back", back))
	return nil
}

// measureKills measures how long no write is taken after the leader was killed.
func (b *benchGroup) measureKills(ctx context.Context, members, kills int, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, 3, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	r := rand.New(rand.NewPCG(o.Seed, 1))
	var took []float64
	for n := range kills {
		at := b.leader()
		if at < 0 {
			model.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		model.Sleep(ctx, time.Duration(r.IntN(300))*time.Millisecond)
		b.processes[at].Kill()
		began := time.Now()
		for ctx.Err() == nil { // asked closely, so that the client's own pauses are not measured
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			err := benchWrite(short, c, n)
			cancel()
			if err == nil {
				break
			}
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		if err := b.startNode(at); err != nil {
			return err
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); model.Sleep(ctx, 20*time.Millisecond) { // until it follows
			if resp, err := http.Get("http://" + b.http[at] + registry.StatusPath); err == nil {
				var s registry.Status
				json.NewDecoder(resp.Body).Decode(&s)
				resp.Body.Close()
				if !s.Stale && s.Leader != "" {
					break
				}
			}
		}
	}
	add(newSpread(fmt.Sprintf("%d members: ms without a leader after its kill, until a write is taken", members), took))
	return nil
}

// term is the highest that a node tells of, with whether one leads.
func (b *benchGroup) term() (term uint64, led bool) {
	c := http.Client{Timeout: time.Second}
	for _, addr := range b.http {
		resp, err := c.Get("http://" + addr + registry.StatusPath)
		if err != nil {
			continue
		}
		var s registry.Status
		if json.NewDecoder(resp.Body).Decode(&s) == nil {
			term, led = max(term, s.Term), led || s.RaftRole == "Leader"
		}
		resp.Body.Close()
	}
	return term, led
}

// measureComeback measures the return of a whole fleet: agents and watchers whose
// group was gone for so long that each tries as seldom as it ever does. It
// counts the elections after the first leader, which the return would have
// caused, for as long again as the return took.
func (b *benchGroup) measureComeback(ctx context.Context, watchers int, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, 3, 300)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	var agents []*agent.Agent
	defer func() {
		for _, a := range agents {
			a.Close()
		}
	}()
	for i := range o.ReturningAgents {
		a, err := agent.Start(agent.Options{Listen: "127.0.0.1:0", Folder: filepath.Join(b.dir, "agents", fmt.Sprint(i)), Nodes: b.http, Fleet: o.ReturningAgents,
			Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		agents = append(agents, a)
	}
	up := func() bool {
		return !slices.ContainsFunc(agents, func(a *agent.Agent) bool { return !a.State().Up })
	}
	until := func(cond func() bool) error {
		for !cond() {
			if !model.Sleep(ctx, 5*time.Millisecond) {
				return ctx.Err()
			}
		}
		return nil
	}
	crowdCtx, cancel := context.WithCancel(ctx)
	w := &watcherSet{}
	defer func() { cancel(); w.wg.Wait() }()
	w.start(crowdCtx, b.http, watchers, false)
	if err := w.awaitOpen(ctx, 0); err != nil {
		return err
	}
	if err := until(up); err != nil {
		return err
	}
	var agentsBack, allBack, elections []float64
	for range 3 {
		b.stop()
		from := w.opened.Load()
		model.Sleep(ctx, o.Outage)
		began := time.Now()
		since := func() float64 { return time.Since(began).Seconds() * 1e3 }
		for i := range b.processes {
			if err := b.startNode(i); err != nil {
				return err
			}
		}
		var first uint64
		if err := until(func() (led bool) { first, led = b.term(); return led }); err != nil {
			return err
		}
		if err := until(up); err != nil {
			return err
		}
		agentsBack = append(agentsBack, since())
		if err := w.awaitOpen(ctx, from); err != nil {
			return err
		}
		allBack = append(allBack, since())
		model.Sleep(ctx, time.Since(began))
		last, _ := b.term()
		elections = append(elections, float64(last-first))
	}
	name := fmt.Sprintf("%d agents and %d watchers after %v without a group", o.ReturningAgents, watchers, o.Outage)
	add(newSpread(name+": ms from its start until all agents are back", agentsBack))
	add(newSpread(name+": ms until all watchers are back too", allBack))
	add(newSpread(name+": elections after the first leader", elections))
	return nil
}

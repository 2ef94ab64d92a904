package faultlab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"plovershore/internal/faultlab/process"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

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

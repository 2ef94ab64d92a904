// Package agent serves the list of endpoints to the relay on the same machine. It
// watches a group of the list service, and speaks package discovery's protocol to the
// relay.
//
// The last valid list is served while the group can't be reached and after a restart.
// The agent's own revision never decreases. A notice that was answered with 204 stays on
// disk until the group has accepted or rejected it.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"plovershore/internal/acceptretry"
	"plovershore/internal/discovery"
	"plovershore/internal/mailbox"
	"plovershore/internal/registry/client"
)

const readHeaderTimeout = 3 * time.Second

// Options configure an agent. All fields are required.
type Options struct {
	Listen string       // loopback host:port where the relay connects
	Folder string       // folder of the saved list and notices; has to be kept over restarts
	Nodes  []string     // host:port of the group's nodes
	Fleet  int          // number of agents of the group; retries are spread out in proportion to it
	Log    *slog.Logger // log of the agent's events
}

// Agent is a running agent. Start creates it, and the caller of Start closes it. It is
// safe for concurrent use.
type Agent struct {
	options  Options
	client   *client.Client
	spool    *spool
	server   *http.Server
	listener net.Listener
	updates  *mailbox.Mailbox[client.Update] // updates from the group that are yet to be saved and served

	ctx    context.Context // done once the agent is closed
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu               sync.Mutex
	list             savedList
	journal          journal          // changes since the complete list was last written
	saveErr          error            // error of the last save; nil if it succeeded
	watchersNotified bool             // watchers have been woken once since the start
	history          []discovery.List // the latest changes, oldest first
	changed          chan struct{}    // closed at the list's next change
	following        bool             // a watch on the group is open
	lastContact      time.Time        // when the group last sent an update, or a watch last opened or ended
}

// Start loads the list and the notices from the folder, and serves them.
func Start(options Options) (_ *Agent, err error) {
	group, err := client.New(options.Nodes, options.Fleet, options.Log)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		options: options,
		client:  group,
		updates: mailbox.New[client.Update](),
		list:    savedList{Members: map[string]discovery.Member{}},
		journal: journal{path: filepath.Join(options.Folder, journalName)},
		changed: make(chan struct{}),
	}
	defer func() {
		if err != nil {
			a.closeFiles()
		}
	}()
	if err := a.loadList(); err != nil {
		return nil, err
	}
	if a.spool, err = openSpool(filepath.Join(options.Folder, spoolName), options.Log); err != nil {
		return nil, err
	}
	if a.listener, err = net.Listen("tcp", options.Listen); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.server = &http.Server{
		Handler:           a.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
	}
	a.startTask(func() {
		_ = a.server.Serve(acceptretry.NewListener(a.listener)) // returns once the server is closed
	})
	position := a.list.At
	a.startTask(func() {
		_ = a.client.Follow(a.ctx, position, a.updates.Put, a.setFollowing) // returns once ctx is done
	})
	a.startTask(a.runUpdates)
	a.startTask(func() { a.spool.sendPending(a.ctx, a.client) })
	return a, nil
}

// startTask runs f on a goroutine that Close waits for.
func (a *Agent) startTask(f func()) {
	a.tasks.Add(1)
	go func() {
		defer a.tasks.Done()
		f()
	}()
}

// Addr returns the host:port where the agent serves.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent and waits for its goroutines. Spooled notices stay on disk.
func (a *Agent) Close() {
	a.cancel()
	a.server.Close()
	a.tasks.Wait()
	a.closeFiles()
	a.client.Close()
}

func (a *Agent) closeFiles() {
	if a.spool != nil {
		a.spool.close()
	}
	a.journal.close()
}

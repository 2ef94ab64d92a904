// Package agent is discovery on a relay's machine: it follows a group of the
// list service and speaks to the relay what the protocol says. It promises that
// the last good list is served while the group is gone and after a restart, that
// its own revision only grows, and that a notice which it answered 204 is kept
// on disk until the group has taken it.
package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"plovershore/internal/acceptretry"
	"plovershore/internal/discovery"
	"plovershore/internal/mailbox"
	"plovershore/internal/registry/client"
)

const (
	watchKeepAlive = 2 * time.Second
	maxHistory     = 8192 // changes that the relay's watch may go on from: more than a zone of the largest fleet has members
	maxNoticeBytes = 1 << 20

	maxBatchChanges = 1024 // that are booked with one sync
)

// Options say where an agent serves, keeps and asks.
type Options struct {
	Listen string   // loopback
	Folder string   // that lasts
	Nodes  []string // of the group
	Fleet  int      // agents of the group: their tries are spread over so many
	Log    *slog.Logger
}

// savedList is what the agent has, as it stands on disk.
type savedList struct {
	At       client.Position             `json:"at"`       // how far the group was followed
	Revision int64                       `json:"revision"` // the agent's own, which only grows
	Members  map[string]discovery.Member `json:"members"`
	Saved    time.Time                   `json:"saved"`
}

// Agent is one. Close ends it.
type Agent struct {
	options  Options
	client   *client.Client
	spool    *spool
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup

	updates *mailbox.Mailbox[client.Update]

	mu          sync.Mutex
	list        savedList
	journal     journal // of what has changed since the whole list was written
	announced   bool    // a list has been handed on since the start
	history     []discovery.List
	changed     chan struct{}
	following   bool
	lastContact time.Time // when the group last said anything
	saveErr     error
}

// Start takes up what the folder holds and serves at once.
func Start(o Options) (*Agent, error) {
	c, err := client.New(o.Nodes, o.Fleet, o.Log)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{options: o, client: c, updates: mailbox.New[client.Update](), changed: make(chan struct{}),
		list: savedList{Members: map[string]discovery.Member{}}, journal: journal{path: filepath.Join(o.Folder, journalName)}}
	if err := a.loadList(); err != nil {
		return nil, err
	}
	if a.spool, err = openSpool(filepath.Join(o.Folder, "notices"), o.Log); err != nil {
		return nil, err
	}
	if a.listener, err = net.Listen("tcp", o.Listen); err != nil {
		a.spool.close()
		return nil, fmt.Errorf("agent: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, a.getList)
	mux.HandleFunc("POST "+discovery.NoticePath, a.postNotices)
	mux.HandleFunc("GET /v1/status", a.getStatus)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.wg.Add(4)
	go func() { defer a.wg.Done(); a.server.Serve(acceptretry.NewListener(a.listener)) }()
	go func() {
		defer a.wg.Done()
		a.mu.Lock()
		from := a.list.At
		a.mu.Unlock()
		a.client.Follow(a.ctx, from, a.updates.Put, a.setFollowing)
	}()
	go func() { defer a.wg.Done(); a.runUpdates(a.ctx) }()
	go func() { defer a.wg.Done(); a.spool.sendPending(a.ctx, a.client) }()
	return a, nil
}

// Addr is where the agent listens.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent; what is spooled stays on disk.
func (a *Agent) Close() {
	a.cancel()
	a.server.Close()
	a.wg.Wait()
	a.spool.close()
	a.journal.close()
	a.client.Close()
}

func (a *Agent) setFollowing(up bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.following = up
	a.lastContact = time.Now()
}

// runUpdates books what the group has told and hands it on, until ctx ends. What
// came while the disk was busy is booked together.
func (a *Agent) runUpdates(ctx context.Context) {
	var news []client.Update
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.updates.Ready():
		}
		news = a.updates.TakeAll(news)
		for from := 0; from < len(news); {
			from += a.applyBatch(news[from:])
		}
	}
}

// applyBatch books the first of the news, as many as go together: on disk first,
// then for whoever watches. A whole list becomes what changed by it, so a watch
// goes on.
func (a *Agent) applyBatch(news []client.Update) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastContact = time.Now()
	var entries []journalEntry
	for changed := 0; n < len(news) && changed < maxBatchChanges; n++ {
		entry := journalEntry{At: client.Position{Epoch: news[n].Epoch, Revision: news[n].Revision}, Revision: a.list.Revision,
			Members: a.diff(&news[n]), Saved: a.lastContact}
		if len(entry.Members) > 0 {
			entry.Revision++
		}
		a.list.apply(&entry)
		entries = append(entries, entry)
		changed += len(entry.Members)
	}
	if a.saveErr = a.saveChanges(entries); a.saveErr != nil {
		a.options.Log.Error("the list could not be kept", "err", a.saveErr) // it is served all the same
	}
	a.notifyWatchers(entries)
	return n
}

// diff is what news changes in the list; a.mu is held.
func (a *Agent) diff(n *client.Update) []discovery.Member {
	if !n.Complete {
		return n.Members
	}
	var changes []discovery.Member
	listed := map[string]bool{}
	for _, m := range n.Members {
		listed[m.ID] = true
		if a.list.Members[m.ID] != m {
			changes = append(changes, m)
		}
	}
	for _, id := range sortedIDs(a.list.Members) {
		if !listed[id] {
			m := a.list.Members[id]
			m.Phase = discovery.Removed
			changes = append(changes, m)
		}
	}
	return changes
}

// notifyWatchers hands changes to whoever watches; a.mu is held.
func (a *Agent) notifyWatchers(entries []journalEntry) {
	told := false
	for _, e := range entries {
		if len(e.Members) > 0 {
			a.history = append(a.history, discovery.List{Revision: e.Revision, Members: e.Members})
			told = true
		}
	}
	if !told && a.announced {
		return
	}
	a.announced = true
	if len(a.history) > maxHistory {
		a.history = slices.Clone(a.history[len(a.history)-maxHistory:])
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func sortedIDs(m map[string]discovery.Member) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// completeList is the list as the agent has it; a.mu is held.
func (a *Agent) completeList() discovery.List {
	l := discovery.List{Revision: a.list.Revision, Complete: true, Members: []discovery.Member{}}
	for _, id := range sortedIDs(a.list.Members) {
		l.Members = append(l.Members, a.list.Members[id])
	}
	return l
}

// hasList tells whether the agent has any list: before its first it says nothing,
// as discovery that is down.
func (a *Agent) hasList() (bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.At.Epoch != "", a.changed
}

// since gives what changed after a revision.
func (a *Agent) since(revision int64) ([]discovery.List, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.list.Revision + 1
	if len(a.history) > 0 {
		first = a.history[0].Revision
	}
	if revision > a.list.Revision || revision < first-1 {
		return []discovery.List{a.completeList()}, a.changed
	}
	var out []discovery.List
	for _, l := range a.history {
		if l.Revision > revision {
			out = append(out, l)
		}
	}
	return out, a.changed
}

func (a *Agent) getList(w http.ResponseWriter, r *http.Request) {
	for {
		ok, news := a.hasList()
		if ok {
			break
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			return
		}
	}
	if r.URL.Query().Get("watch") != "1" {
		a.mu.Lock()
		l := a.completeList()
		a.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(l) // a relay that is gone asks again
		return
	}
	at, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: a revision is wanted", http.StatusBadRequest)
		return
	}
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if out.Flush() != nil {
		return
	}
	quiet := time.NewTicker(watchKeepAlive)
	defer quiet.Stop()
	for enc := json.NewEncoder(w); ; {
		lists, news := a.since(at)
		out.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for _, l := range lists {
			if enc.Encode(l) != nil || out.Flush() != nil {
				return
			}
			at = l.Revision
		}
		select {
		case <-news:
		case <-quiet.C:
			if _, err := io.WriteString(w, "\n"); err != nil || out.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *Agent) postNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxNoticeBytes+1))
	if err == nil && len(text) > maxNoticeBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var all []discovery.Notice
	if err == nil {
		all, err = discovery.ReadNotices(strings.NewReader(string(text)))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.spool.add(all); err != nil {
		a.options.Log.Error("notices not kept", "err", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Status is what an agent says of itself.
type Status struct {
	Up       bool            `json:"up"`              // a watch on the group is open
	At       client.Position `json:"at"`              // of the group
	Revision int64           `json:"revision"`        // the agent's own
	Members  int             `json:"members"`         //
	AgeMS    int64           `json:"age_ms"`          // since the group was last heard
	Spooled  int             `json:"spooled"`         // notices that the group has not taken
	Error    string          `json:"error,omitempty"` // why the list could not be kept on disk
}

// State tells how the agent stands.
func (a *Agent) State() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{Up: a.following, At: a.list.At, Revision: a.list.Revision, Members: len(a.list.Members), Spooled: a.spool.count()}
	at := a.lastContact
	if at.IsZero() {
		at = a.list.Saved
	}
	if !a.following && !at.IsZero() {
		s.AgeMS = time.Since(at).Milliseconds()
	}
	if a.saveErr != nil {
		s.Error = a.saveErr.Error()
	}
	return s
}

func (a *Agent) getStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.State())
}

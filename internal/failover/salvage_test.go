package failover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/leader"
	"plovershore/internal/loopback"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/wal"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// store is a list service behind a listener that sees the notices, and that can
// take some without an answer.
type store struct {
	t    *testing.T
	addr string

	mu      sync.Mutex
	ends    map[string]map[string]int // by message and outcome
	lose    int                       // answers to notices that are lost
	refuse  bool                      // notices are not taken at all
	batches int
}

func startStore(t *testing.T) *store {
	t.Helper()
	c := registry.DefaultConfig()
	c.DataDir, c.Listen, c.Raft = filepath.Join(t.TempDir(), "data"), loopback.Free(), loopback.Free()
	c.Peers = []registry.Peer{{ID: c.ID, Raft: c.Raft, HTTP: c.Listen}}
	n, err := registry.Start(&c, quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	s := &store{t: t, ends: map[string]map[string]int{}}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: c.Listen})
	forward.ErrorLog = slog.NewLogLogger(quiet().Handler(), slog.LevelDebug)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != discovery.NoticePath {
			forward.ServeHTTP(w, r)
			return
		}
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		all, err := discovery.ReadNotices(bytes.NewReader(text))
		if err != nil {
			t.Errorf("notices: %v", err)
		}
		s.batches++
		for _, x := range all {
			if s.ends[x.Message] == nil {
				s.ends[x.Message] = map[string]int{}
			}
			s.ends[x.Message][x.Outcome]++
		}
		if s.lose--; s.lose >= 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	web.Config.ErrorLog = slog.NewLogLogger(quiet().Handler(), slog.LevelDebug)
	t.Cleanup(web.Close)
	s.addr = strings.TrimPrefix(web.URL, "http://")
	return s
}

func (s *store) client() *client.Client {
	c, err := client.New([]string{s.addr}, 1, quiet())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

func (s *store) order() (o registry.Operation) {
	s.t.Helper()
	var all []registry.Operation
	if _, err := s.client().Do(context.Background(), http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
		s.t.Fatal(err)
	}
	if len(all) == 1 {
		o = all[0]
	}
	return o
}

func (s *store) give(folder string) {
	s.t.Helper()
	spec, err := json.Marshal(Spec{Folder: folder, DiskMB: 3})
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.client().Do(s.t.Context(), http.MethodPut, registry.OperationsPath+"/"+Role+"/n3", registry.Operation{Spec: spec, DesiredState: registry.DesiredRun}, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *store) warden(name string) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	c := s.client()
	go func() {
		defer close(done)
		if err := leader.Run(ctx, leader.Options{Client: c, Name: name, TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: Work(c, c)}, Log: quiet()}); err != nil {
			s.t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	s.t.Cleanup(stop)
	return stop
}

// lost makes the folder of a relay that was killed: of every five messages two
// were never sent, one was sent and not heard of, one may have run, one is over
// but for its notice.
func lost(t *testing.T, n int) (folder string, want map[string]string) {
	t.Helper()
	folder, want = filepath.Join(t.TempDir(), "state"), map[string]string{}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	l, err := wal.Open(wal.Options{Dir: folder, Limit: 3 << 20})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go l.Run(stop)
	for i := range n {
		id := fmt.Sprint("message-", i)
		l.Submit(&wal.Record{Kind: wal.KindAccepted, ID: id, Class: "copy-order", Deadline: 1e15, Body: []byte("b")}, nil)
		want[id] = discovery.Failed
		switch i % 5 {
		case 0:
			l.Submit(&wal.Record{Kind: wal.KindAttempt, ID: id, At: 7, Process: l.Process}, nil)
		case 1:
			l.Submit(&wal.Record{Kind: wal.KindAttempt, ID: id, At: 7, Process: l.Process}, nil)
			l.Submit(&wal.Record{Kind: wal.KindOutcome, ID: id, MayHaveRun: true}, nil)
		case 2:
			l.Submit(&wal.Record{Kind: wal.KindCompleting, ID: id, Notice: discovery.Failed}, nil)
		default:
			want[id] = discovery.Returned
		}
	}
	close(stop)
	<-l.Done()
	return folder, want
}

func (s *store) ended(want map[string]string) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, outcome := range want {
		if len(s.ends[id]) != 1 || s.ends[id][outcome] == 0 {
			s.t.Errorf("%s: want %s, got %v", id, outcome, s.ends[id])
		}
	}
	if len(s.ends) != len(want) {
		s.t.Errorf("%d messages ended, %d were owed", len(s.ends), len(want))
	}
}

// Each message gets one end, though answers are lost and the holder leaves in the
// middle; the relay that comes back late begins empty.
func TestEveryMessageEndsOnce(t *testing.T) {
	s := startStore(t)
	folder, want := lost(t, 500)
	s.lose = 2
	s.give(folder)
	stop := s.warden("a")
	waitFor(t, "a part of the ends", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.batches >= 3 })
	stop()
	s.warden("b")
	waitFor(t, "the order's end", func() bool { return s.order().Done })
	s.ended(want)
	var p Progress
	if err := json.Unmarshal(s.order().Progress, &p); err != nil || p.Pending != 500 || p.Notified != 500 || p.Returned != 200 || p.Failed != 300 {
		t.Errorf("%+v, %v", p, err)
	}
	if _, err := os.Stat(folder + ".salvage"); !os.IsNotExist(err) {
		t.Errorf("the moved log is still there: %v", err)
	}
	f, err := wal.ClearFence(folder)
	if err != nil || f == nil {
		t.Fatalf("the late relay: fence %v, %v", f, err)
	}
	l, err := wal.Open(wal.Options{Dir: folder, Limit: 3 << 20})
	if err != nil || l.PendingUnread() != 0 {
		t.Fatalf("the late relay: %v", err)
	}
	quit := make(chan struct{})
	close(quit)
	l.Run(quit)
}

// Of a class that may run again, what may have run is handed back; what was told
// already, and what damage took, is not.
func TestSafeClassesAreHandedBack(t *testing.T) {
	for _, x := range []struct {
		r    wal.Record
		want string
	}{
		{wal.Record{Class: "alert-update", UnknownOutcomeAt: 7}, discovery.Returned},
		{wal.Record{Class: "copy-order", UnknownOutcomeAt: 7}, discovery.Failed},
		{wal.Record{Class: "copy-order"}, discovery.Returned},
		{wal.Record{Class: "alert-update", UnknownOutcomeAt: 7, Notice: discovery.Failed}, discovery.Failed},
		{wal.Record{Corrupted: true}, discovery.Failed},
	} {
		if n := FinalNotice(&x.r, []string{"alert-update"}); n.Outcome != x.want {
			t.Errorf("%+v: %s", x.r, n.Outcome)
		}
	}
}

// A relay that runs keeps its folder: the order waits and says why. Once it has
// died, the order goes on.
func TestARunningRelayKeepsItsFolder(t *testing.T) {
	s := startStore(t)
	folder, want := lost(t, 20)
	lock, err := wal.OpenLock(folder, wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := lock.TryLock(); !got {
		t.Fatal(err)
	}
	s.give(folder)
	s.warden("a")
	waitFor(t, "word of why it waits", func() bool { return strings.Contains(s.order().Message, "in use") })
	s.mu.Lock()
	if len(s.ends) > 0 {
		t.Errorf("ended while the relay runs: %v", s.ends)
	}
	s.mu.Unlock()
	lock.Close()
	waitFor(t, "the order's end", func() bool { return s.order().Done })
	s.ended(want)
}

// A holder before, whose token is older, does not move the folder any more.
func TestAnOlderTokenMovesNothing(t *testing.T) {
	folder, _ := lost(t, 5)
	if err := leader.Fence(folder, Role, 9); err != nil {
		t.Fatal(err)
	}
	if _, err := move(&leader.Grant{Token: 8}, Spec{Folder: folder}, folder+".salvage"); err == nil {
		t.Fatal("moved")
	}
	if report, err := wal.Inspect(nil, folder); err != nil || report.Pending != 5 {
		t.Errorf("%+v, %v", report, err)
	}
}

// An order that cannot be used is told, and ended.
func TestAnOrderThatCannotBeUsed(t *testing.T) {
	s := startStore(t)
	s.give("relative")
	s.warden("a")
	waitFor(t, "the order's end", func() bool { return s.order().Done })
	if says := s.order().Message; !strings.Contains(says, "absolute path") {
		t.Errorf("says %q", says)
	}
}

// The holder dies between moving the log and telling of it, and the relay comes
// back and runs: what was moved is seen to its end all the same.
func TestMovedAndNotTold(t *testing.T) {
	s := startStore(t)
	folder, want := lost(t, 30)
	if _, err := wal.Export(folder, folder+".salvage", 3<<20); err != nil {
		t.Fatal(err)
	}
	if _, err := wal.ClearFence(folder); err != nil {
		t.Fatal(err)
	}
	lock, err := wal.OpenLock(folder, wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if got, err := lock.TryLock(); !got {
		t.Fatal(err)
	}
	s.give(folder)
	s.warden("b")
	waitFor(t, "the order's end", func() bool { return s.order().Done })
	s.ended(want)
}

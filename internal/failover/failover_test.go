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
	t.Fatalf("timed out waiting for: %s", what)
}

// listService is a list service behind a proxy that records final notices. The proxy can
// reject notices, or drop the responses to them.
type store struct {
	t    *testing.T
	addr string

	mu            sync.Mutex
	notices       map[string]map[string]int // number of notices by message id and outcome
	lostResponses int                       // number of further responses to notices to drop
	rejecting     bool                      // whether the proxy rejects notices
	batches       int
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
	s := &store{t: t, notices: map[string]map[string]int{}}
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
		if s.rejecting {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		all, err := discovery.ReadNotices(bytes.NewReader(text))
		if err != nil {
			t.Errorf("decoding notices: %v", err)
		}
		s.batches++
		for _, x := range all {
			if s.notices[x.Message] == nil {
				s.notices[x.Message] = map[string]int{}
			}
			s.notices[x.Message][x.Outcome]++
		}
		if s.lostResponses--; s.lostResponses >= 0 {
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

func (s *store) operation() (o registry.Operation) {
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

func (s *store) create(folder string) {
	s.t.Helper()
	spec, err := json.Marshal(Spec{Folder: folder, DiskMB: 3})
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.client().Do(s.t.Context(), http.MethodPut, registry.OperationsPath+"/"+Role+"/n3", registry.Operation{Spec: spec, DesiredState: registry.DesiredRun}, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *store) startController(name string) (stop func()) {
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

// createLostRelayFolder creates the state folder of a relay that was killed with n pending
// messages, and returns the outcome that each message's notice must have. Of every five
// messages, two were never attempted, one has an attempt without an outcome, one has an
// attempt that may have run, and one is complete except for its notice.
func lostRelay(t *testing.T, n int) (folder string, want map[string]string) {
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

func (s *store) checkNotices(want map[string]string) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, outcome := range want {
		if len(s.notices[id]) != 1 || s.notices[id][outcome] == 0 {
			s.t.Errorf("%s: want a notice with outcome %s alone, got %v", id, outcome, s.notices[id])
		}
	}
	if len(s.notices) != len(want) {
		s.t.Errorf("%d messages got notices, %d were pending", len(s.notices), len(want))
	}
}

// Every pending message gets the same final notice, even though two responses to notices
// are lost and the leader changes before all are sent. A relay that starts in the folder
// afterwards finds it fenced and has no pending messages.
func TestEveryMessageGetsOneFinalNotice(t *testing.T) {
	s := startStore(t)
	folder, want := lostRelay(t, 500)
	s.lostResponses = 2
	s.create(folder)
	stop := s.startController("a")
	waitFor(t, "three batches of notices", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.batches >= 3 })
	stop()
	s.startController("b")
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	s.checkNotices(want)
	var p Progress
	if err := json.Unmarshal(s.operation().Progress, &p); err != nil || p.Pending != 500 || p.Notified != 500 || p.Returned != 200 || p.Failed != 300 {
		t.Errorf("progress %+v, error %v; want 500 notified, 200 of them returned", p, err)
	}
	if _, err := os.Stat(folder + ".salvage"); !os.IsNotExist(err) {
		t.Errorf("the exported log is still there: %v", err)
	}
	f, err := wal.ClearFence(folder)
	if err != nil || f == nil {
		t.Fatalf("start of the relay in its old folder: fence %v, error %v", f, err)
	}
	l, err := wal.Open(wal.Options{Dir: folder, Limit: 3 << 20})
	if err != nil || l.PendingUnread() != 0 {
		t.Fatalf("start of the relay in its old folder: error %v, or pending messages", err)
	}
	quit := make(chan struct{})
	close(quit)
	l.Run(quit)
}

// A message that never ran, or that may have run but is of an idempotent class, is
// returned. One whose record has a notice already keeps that notice, and one with a corrupt
// record fails.
func TestFinalNotice(t *testing.T) {
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
			t.Errorf("record %+v: unexpected outcome %s", x.r, n.Outcome)
		}
	}
}

// While the relay still runs and locks its folder, the operation waits, reports the
// reason and sends no notices. It continues once the lock is free.
func TestRunningRelayKeepsItsFolder(t *testing.T) {
	s := startStore(t)
	folder, want := lostRelay(t, 20)
	lock, err := wal.OpenLock(folder, wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := lock.TryLock(); !got {
		t.Fatal(err)
	}
	s.create(folder)
	s.startController("a")
	waitFor(t, "the message that the folder is in use", func() bool { return strings.Contains(s.operation().Message, "in use") })
	s.mu.Lock()
	if len(s.notices) > 0 {
		t.Errorf("notices were sent while the relay runs: %v", s.notices)
	}
	s.mu.Unlock()
	lock.Close()
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	s.checkNotices(want)
}

// A former leader, whose token is older than the one recorded in the folder, cannot export
// the log.
func TestOlderTokenExportsNothing(t *testing.T) {
	folder, _ := lostRelay(t, 5)
	if err := leader.Fence(folder, Role, 9); err != nil {
		t.Fatal(err)
	}
	if _, err := exportLog(&leader.Grant{Token: 8}, Spec{Folder: folder}); err == nil {
		t.Fatal("the log was exported with an older token")
	}
	if report, err := wal.Inspect(nil, folder); err != nil || report.Pending != 5 {
		t.Errorf("log after the rejected export: %+v, error %v; want 5 pending messages", report, err)
	}
}

// An operation with an invalid spec is done at once, with the error as its message.
func TestInvalidOperation(t *testing.T) {
	s := startStore(t)
	s.create("relative")
	s.startController("a")
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	if message := s.operation().Message; !strings.Contains(message, "absolute path") {
		t.Errorf("message %q, want one that asks for an absolute path", message)
	}
}

// A leader dies after it has exported the log and before it has reported that, and then
// the relay restarts in the folder. The next leader still sends the notices of the exported
// messages.
func TestExportedWithoutReport(t *testing.T) {
	s := startStore(t)
	folder, want := lostRelay(t, 30)
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
	s.create(folder)
	s.startController("b")
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	s.checkNotices(want)
}

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

func newDiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(90 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// listService is a list service behind a proxy that records final notices. The proxy can
// reject notices, or drop the responses to them.
type listService struct {
	t    *testing.T
	addr string

	mu            sync.Mutex
	notices       map[string]map[string]int // number of notices by message id and outcome
	lostResponses int                       // number of further responses to notices to drop
	rejecting     bool                      // whether the proxy rejects notices
	batches       int
}

func startListService(t *testing.T) *listService {
	t.Helper()
	config := registry.DefaultConfig()
	config.DataDir, config.Listen, config.Raft = filepath.Join(t.TempDir(), "data"), loopback.Free(), loopback.Free()
	config.Peers = []registry.Peer{{ID: config.ID, Raft: config.Raft, HTTP: config.Listen}}
	node, err := registry.Start(&config, newDiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	s := &listService{t: t, notices: map[string]map[string]int{}}
	reverseProxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: config.Listen})
	reverseProxy.ErrorLog = slog.NewLogLogger(newDiscardLogger().Handler(), slog.LevelDebug)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != discovery.NoticePath {
			reverseProxy.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.rejecting {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		notices, err := discovery.ReadNotices(bytes.NewReader(body))
		if err != nil {
			t.Errorf("decoding notices: %v", err)
		}
		s.batches++
		for _, notice := range notices {
			if s.notices[notice.Message] == nil {
				s.notices[notice.Message] = map[string]int{}
			}
			s.notices[notice.Message][notice.Outcome]++
		}
		if s.lostResponses--; s.lostResponses >= 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	server.Config.ErrorLog = slog.NewLogLogger(newDiscardLogger().Handler(), slog.LevelDebug)
	t.Cleanup(server.Close)
	s.addr = strings.TrimPrefix(server.URL, "http://")
	return s
}

func (s *listService) client() *client.Client {
	c, err := client.New([]string{s.addr}, 1, newDiscardLogger())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

func (s *listService) operation() (op registry.Operation) {
	s.t.Helper()
	var operations []registry.Operation
	if _, err := s.client().Do(context.Background(), http.MethodGet, registry.OperationsPath, nil, &operations); err != nil {
		s.t.Fatal(err)
	}
	if len(operations) == 1 {
		op = operations[0]
	}
	return op
}

func (s *listService) createOperation(folder string) {
	s.t.Helper()
	spec, err := json.Marshal(Spec{Folder: folder, DiskMB: 3})
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.client().Do(s.t.Context(), http.MethodPut, registry.OperationsPath+"/"+Role+"/n3", registry.Operation{Spec: spec, DesiredState: registry.DesiredRun}, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *listService) startController(name string) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	c := s.client()
	go func() {
		defer close(done)
		if err := leader.Run(ctx, leader.Options{Client: c, Name: name, TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: Work(c, c)}, Log: newDiscardLogger()}); err != nil {
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
func createLostRelayFolder(t *testing.T, n int) (folder string, wantOutcomes map[string]string) {
	t.Helper()
	folder, wantOutcomes = filepath.Join(t.TempDir(), "state"), map[string]string{}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	log, err := wal.Open(wal.Options{Dir: folder, Limit: 3 << 20})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go log.Run(stop)
	for i := range n {
		id := fmt.Sprint("message-", i)
		log.Submit(&wal.Record{Kind: wal.KindAccepted, ID: id, Class: "copy-order", Deadline: 1e15, Body: []byte("b")}, nil)
		wantOutcomes[id] = discovery.Failed
		switch i % 5 {
		case 0:
			log.Submit(&wal.Record{Kind: wal.KindAttempt, ID: id, At: 7, Process: log.Process}, nil)
		case 1:
			log.Submit(&wal.Record{Kind: wal.KindAttempt, ID: id, At: 7, Process: log.Process}, nil)
			log.Submit(&wal.Record{Kind: wal.KindOutcome, ID: id, MayHaveRun: true}, nil)
		case 2:
			log.Submit(&wal.Record{Kind: wal.KindCompleting, ID: id, Notice: discovery.Failed}, nil)
		default:
			wantOutcomes[id] = discovery.Returned
		}
	}
	close(stop)
	<-log.Done()
	return folder, wantOutcomes
}

func (s *listService) checkNotices(want map[string]string) {
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

// All notices of a pending message have the same outcome, even though two responses to
// notices are lost and the leader changes before all are sent. A relay that starts in the folder
// afterwards finds it fenced and has no pending messages.
func TestEveryMessageGetsOneFinalOutcomeAcrossLeaderChange(t *testing.T) {
	s := startListService(t)
	folder, want := createLostRelayFolder(t, 500)
	s.lostResponses = 2
	s.createOperation(folder)
	stop := s.startController("a")
	waitFor(t, "three batches of notices", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.batches >= 3 })
	stop()
	s.startController("b")
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	s.checkNotices(want)
	var progress Progress
	if err := json.Unmarshal(s.operation().Progress, &progress); err != nil || progress.Pending != 500 || progress.Notified != 500 || progress.Returned != 200 || progress.Failed != 300 {
		t.Errorf("progress %+v, error %v; want 500 notified, 200 of them returned", progress, err)
	}
	if _, err := os.Stat(folder + ".salvage"); !os.IsNotExist(err) {
		t.Errorf("the exported log is still there: %v", err)
	}
	fence, err := wal.ClearFence(folder)
	if err != nil || fence == nil {
		t.Fatalf("start of the relay in its old folder: fence %v, error %v", fence, err)
	}
	log, err := wal.Open(wal.Options{Dir: folder, Limit: 3 << 20})
	if err != nil || log.PendingUnread() != 0 {
		t.Fatalf("start of the relay in its old folder: error %v, or pending messages", err)
	}
	stopLog := make(chan struct{})
	close(stopLog)
	log.Run(stopLog)
}

// A message that never ran, or that may have run but is of an idempotent class, is
// returned. One whose record has a notice already keeps that notice, and one with a corrupt
// record fails.
func TestFinalNoticeReturnsOnlyRepeatableMessages(t *testing.T) {
	for _, test := range []struct {
		record wal.Record
		want   string
	}{
		{wal.Record{Class: "alert-update", UnknownOutcomeAt: 7}, discovery.Returned},
		{wal.Record{Class: "copy-order", UnknownOutcomeAt: 7}, discovery.Failed},
		{wal.Record{Class: "copy-order"}, discovery.Returned},
		{wal.Record{Class: "alert-update", UnknownOutcomeAt: 7, Notice: discovery.Failed}, discovery.Failed},
		{wal.Record{Corrupted: true}, discovery.Failed},
	} {
		if notice := FinalNotice(&test.record, []string{"alert-update"}); notice.Outcome != test.want {
			t.Errorf("record %+v: unexpected outcome %s", test.record, notice.Outcome)
		}
	}
}

// While the relay still runs and locks its folder, the operation waits, reports the
// reason and sends no notices. It continues once the lock is free.
func TestOperationWaitsWhileRelayRuns(t *testing.T) {
	s := startListService(t)
	folder, want := createLostRelayFolder(t, 20)
	lock, err := wal.OpenLock(folder, wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	if locked, err := lock.TryLock(); !locked {
		t.Fatal(err)
	}
	s.createOperation(folder)
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
func TestExportRejectsOlderToken(t *testing.T) {
	folder, _ := createLostRelayFolder(t, 5)
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
func TestOperationWithInvalidSpecIsDoneWithError(t *testing.T) {
	s := startListService(t)
	s.createOperation("relative")
	s.startController("a")
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	if message := s.operation().Message; !strings.Contains(message, "absolute path") {
		t.Errorf("message %q, want one that asks for an absolute path", message)
	}
}

// A leader dies after it has exported the log and before it has reported that, and then
// the relay restarts in the folder. The next leader still sends the notices of the exported
// messages.
func TestNextLeaderCompletesUnreportedExport(t *testing.T) {
	s := startListService(t)
	folder, want := createLostRelayFolder(t, 30)
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
	if locked, err := lock.TryLock(); !locked {
		t.Fatal(err)
	}
	s.createOperation(folder)
	s.startController("b")
	waitFor(t, "the end of the operation", func() bool { return s.operation().Done })
	s.checkNotices(want)
}

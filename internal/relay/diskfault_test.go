package relay

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/wal"
)

// diskFaultEnv is the environment variable with the path of a fault file. While that file
// exists, all writes of a child relay's log fail with the error number in the file.
const diskFaultEnv = "RELAY_TEST_DISK_FAULT"

// faultyDisk is the file system of the machine, on which writing operations fail while fault
// returns an error.
type faultyDisk struct {
	wal.OS
	fault func() error
}

// newFaultyDisk returns a file system that fails while the fault file at path exists.
func newFaultyDisk(path string) faultyDisk { return faultyDisk{fault: faultFromFile(path)} }

// faultFromFile returns a function that returns the error whose number is in the fault file
// at path, or nil if there is no file.
func faultFromFile(path string) func() error {
	return func() error {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil
		}
		var number int
		if _, err := fmt.Sscan(string(text), &number); err != nil {
			return nil // the test is just writing the file
		}
		return syscall.Errno(number)
	}
}

func (d faultyDisk) Open(name string, mode wal.Mode) (wal.File, error) {
	if mode == wal.ModeCreate {
		if err := d.fault(); err != nil {
			return nil, &os.PathError{Op: "open", Path: name, Err: err}
		}
	}
	f, err := d.OS.Open(name, mode)
	if err != nil {
		return nil, err
	}
	return faultyFile{f, d, name}, nil
}

func (d faultyDisk) Rename(from, to string) error {
	if err := d.fault(); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return d.OS.Rename(from, to)
}

func (d faultyDisk) MakeDir(name string) error {
	if err := d.fault(); err != nil {
		if _, isDir, statErr := d.Stat(name); statErr == nil && isDir {
			return nil
		}
		return &os.PathError{Op: "mkdir", Path: name, Err: err}
	}
	return d.OS.MakeDir(name)
}

func (d faultyDisk) SyncDir(name string) error {
	if err := d.fault(); err != nil {
		return &os.PathError{Op: "sync", Path: name, Err: err}
	}
	return d.OS.SyncDir(name)
}

type faultyFile struct {
	wal.File
	disk faultyDisk
	name string
}

// WriteAt writes only the first half of b when it fails, as a full disk may do.
func (f faultyFile) WriteAt(b []byte, off int64) (int, error) {
	if err := f.disk.fault(); err != nil {
		n, _ := f.File.WriteAt(b[:len(b)/2], off)
		return n, &os.PathError{Op: "write", Path: f.name, Err: err}
	}
	return f.File.WriteAt(b, off)
}

func (f faultyFile) Truncate(size int64) error {
	if err := f.disk.fault(); err != nil {
		return &os.PathError{Op: "truncate", Path: f.name, Err: err}
	}
	return f.File.Truncate(size)
}

func (f faultyFile) Sync() error {
	if err := f.disk.fault(); err != nil {
		return &os.PathError{Op: "fdatasync", Path: f.name, Err: err}
	}
	return f.File.Sync()
}

// faultSwitch writes and removes the fault file of a child relay.
type faultSwitch struct {
	t    *testing.T
	path string
}

// newFaultSwitch returns a switch whose fault file is in the environment variable name of
// env.
func newFaultSwitch(t *testing.T, env map[string]string, name string) *faultSwitch {
	s := &faultSwitch{t, filepath.Join(t.TempDir(), "fault")}
	env[name] = s.path
	return s
}

func (s *faultSwitch) set(fault syscall.Errno) {
	if err := os.WriteFile(s.path, []byte(fmt.Sprintln(int(fault))), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *faultSwitch) clear() {
	if err := os.Remove(s.path); err != nil {
		s.t.Fatal(err)
	}
}

var diskFaults = []syscall.Errno{syscall.ENOSPC, syscall.EIO}

// While the disk fails, accepted messages stay pending: an untried message must use up no
// attempts and be sent once the disk works again, and a running call must end as usual. New
// messages must be refused, and accepted again afterwards. A kill after that must cause no
// second calls.
func TestMessagesSurviveTemporaryDiskFailure(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			slow := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, _ int) {
				select {
				case <-release:
				case <-r.Context().Done():
				}
			})
			quick, listedLater := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
			disc := discoverytest.New(t, quick.member("s-1", 1), slow.member("s-2", 2))
			env := writeTestConfig(t, disc, 3)
			diskFault := newFaultSwitch(t, env, diskFaultEnv)
			c := spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			submit := func(id, f string) {
				t.Helper()
				if s := cl.put(id, f, nil); s != "+OK" {
					t.Fatalf("%s: %s", id, s)
				}
			}
			for i := range 5 {
				submit(fmt.Sprint("held-", i), putFields([]string{"plain", "once", "keyed"}[i%3], 20000, 5))
			}
			submit("out", putFields("once", 20000, 2))
			waitFor(t, "the call", func() bool { return slow.callCount("out") == 1 })
			diskFault.set(fault)
			submittedAt := time.Now()
			if s := cl.put("new", putFields("plain", 8000, 1), nil); s != "-BUSY" {
				t.Errorf("new message while the disk fails: response %s", s)
			}
			if took := time.Since(submittedAt); took > clientTimeout {
				t.Errorf("the refusal took %v, longer than the client timeout", took)
			}
			disc.Send(t, discoverytest.Change(2, listedLater.member("s-5", 5)))
			close(release)
			waitFor(t, "the end of the call", func() bool { return slow.answeredOK("out") })
			time.Sleep(1500 * time.Millisecond) // how long the disk fails
			for i := range 5 {
				if n, ended := disc.Notice(fmt.Sprint("held-", i)); ended {
					t.Errorf("held-%d got the notice %s while the disk failed", i, n.Outcome)
				}
			}
			diskFault.clear()
			for i := range 5 {
				id := fmt.Sprint("held-", i)
				for end := time.Now().Add(5 * time.Second); !listedLater.answeredOK(id) && time.Now().Before(end); {
					time.Sleep(2 * time.Millisecond)
				}
				if n, ended := disc.Notice(id); listedLater.callCount(id) != 1 || ended {
					t.Errorf("%s: %d calls, notice %q", id, listedLater.callCount(id), n.Outcome)
				}
			}
			submit("after", putFields("once", 20000, 1))
			waitFor(t, "the delivery of the message after the fault", func() bool { return quick.answeredOK("after") })
			waitFor(t, "all completions in the log", func() bool {
				r, err := wal.Inspect(nil, env["ROUTER_STATE"])
				return err == nil && r.Pending == 0
			})
			c.kill()
			c = spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			if n := slow.callCount("out") + quick.callCount("after"); n != 2 {
				t.Errorf("%d calls for the two delivered messages, want 2", n)
			}
			if n, ended := disc.Notice("out"); ended {
				t.Errorf("the delivered message \"out\" got the notice %s", n.Outcome)
			}
		})
	}
}

// hasExited reports whether the process has ended. It must be called before Wait.
func (c *child) hasExited() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	_, state, _ := strings.Cut(string(text), ") ")
	return err != nil || strings.HasPrefix(state, "Z")
}

// A relay that starts while its disk fails must wait, and become ready once the disk works.
// This holds for a new state folder and for one with pending messages.
func TestStartWaitsForDisk(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run("new state folder/"+fault.Error(), func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, nil)
			env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 1)), 3)
			diskFault := newFaultSwitch(t, env, diskFaultEnv)
			diskFault.set(fault)
			c := spawnWithLog(t, env, io.Discard)
			for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				if c.hasExited() {
					t.Fatal("the relay ended while the disk failed")
				}
			}
			diskFault.clear()
			c.waitReady(t)
		})
		t.Run("pending messages/"+fault.Error(), func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, nil)
			env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 1)), 3)
			diskFault := newFaultSwitch(t, env, diskFaultEnv)
			c := spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			if s := cl.put("held", putFields("once", 20000, 5), nil); s != "+OK" {
				t.Fatal(s)
			}
			c.kill()
			diskFault.set(fault)
			log := &lockedBuffer{}
			c = spawnWithLog(t, env, log)
			for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				if c.hasExited() {
					t.Fatalf("the relay ended while the disk failed:\n%s", log.content())
				}
			}
			diskFault.clear()
			c.waitReady(t)
			cl = dialClient(t, env["ROUTER_LISTEN"])
			if s := cl.put("new", putFields("once", 20000, 1), nil); s != "+OK" {
				t.Fatal(s)
			}
			waitFor(t, "the delivery of the new message", func() bool { return ep.answeredOK("new") })
			if r, err := wal.Inspect(nil, env["ROUTER_STATE"]); err != nil || r.Pending < 1 || !r.Sound() {
				t.Errorf("log state %+v, error %v, want a sound log with a pending message", r, err)
			}
		})
	}
}

// A message ends before its deadline while the disk fails. If its notice were sent without
// the end being in the log, the next process would send a message of which the client was
// told that it is over. So the notice must wait for the log, but only until the deadline.
func TestNoticeWaitsForLogUntilDeadline(t *testing.T) {
	var failing atomic.Bool
	r := newTestRelayWithFS(t, faultyDisk{fault: func() error {
		if failing.Load() {
			return syscall.EIO
		}
		return nil
	}})
	disc := discoverytest.New(t)
	r.notices = discovery.NewNotices(disc.Addr(), discardLog(), func(string) {})
	go r.notices.Run(t.Context())
	messages := map[string]*message{}
	for _, id := range []string{"early", "timely"} {
		timeLeft := 20 * time.Second
		if id == "timely" {
			timeLeft = time.Second
		}
		request := &putRequest{class: 0, tenant: 0, record: &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: timeLeft, responses: make(chan response, 1)}
		r.admit(request)
		messages[id] = r.messages.byID[id]
		r.stepPolicy()
		if s := <-request.responses; s != responseOK {
			t.Fatal(s)
		}
		r.handleResponseDone(request, true)
	}
	failing.Store(true)
	deadline := messages["timely"].record.Deadline
	for _, m := range messages {
		m.isCompleted = true
		r.logCompletion(m, discovery.Returned, 5)
	}
	for r.clock.logTime(r.clock.now()) < deadline-50e3 {
		r.sendDueNotices()
		for id := range messages {
			if _, hasNotice := disc.Notice(id); hasNotice {
				t.Fatalf("notice of %s was sent before its deadline with no record in the log", id)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	waitFor(t, "the notice of the message whose deadline passed", func() bool { r.sendDueNotices(); _, hasNotice := disc.Notice("timely"); return hasNotice })
	if _, hasNotice := disc.Notice("early"); hasNotice {
		t.Error("the notice of \"early\" was sent before its deadline with no record in the log")
	}
	failing.Store(false)
	waitFor(t, "the notice of the other message", func() bool { r.sendDueNotices(); _, hasNotice := disc.Notice("early"); return hasNotice })
}

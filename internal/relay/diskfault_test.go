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

// diskFaultEnv names a file to a child relay: as long as that is there, all that the
// log writes fails with the error whose number stands in it.
const diskFaultEnv = "RELAY_TEST_DISK_FAULT"

// faultyDisk is the machine's file system, with failures of what writes.
type faultyDisk struct {
	wal.OS
	fault func() error
}

// newFaultyDisk fails as a file says.
func newFaultyDisk(path string) faultyDisk { return faultyDisk{fault: faultFromFile(path)} }

// faultFromFile gives the error whose number stands in a file, as long as that is there.
func faultFromFile(path string) func() error {
	return func() error {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil
		}
		var number int
		if _, err := fmt.Sscan(string(text), &number); err != nil {
			return nil // it is just being written
		}
		return syscall.Errno(number)
	}
}

func (d faultyDisk) Open(name string, how wal.Mode) (wal.File, error) {
	if how == wal.ModeCreate {
		if err := d.fault(); err != nil {
			return nil, &os.PathError{Op: "open", Path: name, Err: err}
		}
	}
	f, err := d.OS.Open(name, how)
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
		if _, dir, there := d.Stat(name); there == nil && dir {
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

// WriteAt leaves the first half behind where it fails, as a disk does that is full.
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

// faultSwitch makes calls of a child fail, and work again.
type faultSwitch struct {
	t    *testing.T
	path string
}

// newFaultSwitch makes one that the environment variable names to a child.
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

// Guards what was taken on while the disk takes nothing for a while: it is still owed. A
// message that has not been tried waits, uses up none of its tries and is sent once the
// disk is back; one whose call is out gets its end in time. What comes new is refused,
// and after the disk is back taken on again. All of it holds over a kill behind that.
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
			quick, later := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
			disc := discoverytest.New(t, quick.member("s-1", 1), slow.member("s-2", 2))
			env := writeTestConfig(t, disc, 3)
			disk := newFaultSwitch(t, env, diskFaultEnv)
			c := spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			take := func(id, f string) {
				t.Helper()
				if s := cl.put(id, f, nil); s != "+OK" {
					t.Fatalf("%s: %s", id, s)
				}
			}
			for i := range 5 {
				take(fmt.Sprint("held-", i), putFields([]string{"plain", "once", "keyed"}[i%3], 20000, 5))
			}
			take("out", putFields("once", 20000, 2))
			waitFor(t, "the call", func() bool { return slow.callCount("out") == 1 })
			disk.set(fault)
			refused := time.Now()
			if s := cl.put("new", putFields("plain", 8000, 1), nil); s != "-BUSY" {
				t.Errorf("new, while the disk fails: %s", s)
			}
			if took := time.Since(refused); took > clientTimeout {
				t.Errorf("refused after %v", took)
			}
			disc.Send(t, discoverytest.Change(2, later.member("s-5", 5)))
			close(release)
			waitFor(t, "the end of the call", func() bool { return slow.answeredOK("out") })
			time.Sleep(1500 * time.Millisecond) // the disk is away for that long
			for i := range 5 {
				if n, ended := disc.Notice(fmt.Sprint("held-", i)); ended {
					t.Errorf("held-%d was %s while the disk failed", i, n.Outcome)
				}
			}
			disk.clear()
			for i := range 5 {
				id := fmt.Sprint("held-", i)
				for end := time.Now().Add(5 * time.Second); !later.answeredOK(id) && time.Now().Before(end); {
					time.Sleep(2 * time.Millisecond)
				}
				if n, ended := disc.Notice(id); later.callCount(id) != 1 || ended {
					t.Errorf("%s: %d calls, notice %q", id, later.callCount(id), n.Outcome)
				}
			}
			take("after", putFields("once", 20000, 1))
			waitFor(t, "after", func() bool { return quick.answeredOK("after") })
			waitFor(t, "the log is up to date", func() bool {
				r, err := wal.Inspect(nil, env["ROUTER_STATE"])
				return err == nil && r.Pending == 0
			})
			c.kill()
			c = spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			if n := slow.callCount("out") + quick.callCount("after"); n != 2 {
				t.Errorf("%d calls for two messages that were delivered", n)
			}
			if n, ended := disc.Notice("out"); ended {
				t.Errorf("out, which was delivered, was %s", n.Outcome)
			}
		})
	}
}

// exited reports whether the process has ended; nobody has waited for it yet.
func (c *child) hasExited() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	_, state, _ := strings.Cut(string(text), ") ")
	return err != nil || strings.HasPrefix(state, "Z")
}

// Guards the start of a relay whose disk takes nothing yet: it waits and says so, and is
// ready once it does.
func TestStartWaitsForDisk(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run("new folder/"+fault.Error(), func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, nil)
			env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 1)), 3)
			disk := newFaultSwitch(t, env, diskFaultEnv)
			disk.set(fault)
			c := spawnWithLog(t, env, io.Discard)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if c.hasExited() {
					t.Fatal("it ended")
				}
			}
			disk.clear()
			c.waitReady(t)
		})
		t.Run("owing/"+fault.Error(), func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, nil)
			env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 1)), 3)
			disk := newFaultSwitch(t, env, diskFaultEnv)
			c := spawnWithLog(t, env, io.Discard)
			c.waitReady(t)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			if s := cl.put("held", putFields("once", 20000, 5), nil); s != "+OK" {
				t.Fatal(s)
			}
			c.kill()
			disk.set(fault)
			log := &lockedBuffer{}
			c = spawnWithLog(t, env, log)
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if c.hasExited() {
					t.Fatalf("it ended:\n%s", log.content())
				}
			}
			disk.clear()
			c.waitReady(t)
			cl = dialClient(t, env["ROUTER_LISTEN"])
			if s := cl.put("new", putFields("once", 20000, 1), nil); s != "+OK" {
				t.Fatal(s)
			}
			waitFor(t, "new", func() bool { return ep.answeredOK("new") })
			if r, err := wal.Inspect(nil, env["ROUTER_STATE"]); err != nil || r.Pending < 1 || !r.Sound() {
				t.Errorf("%+v, %v", r, err)
			}
		})
	}
}

// Guards a message that is ended before its time while the disk takes nothing: if its end
// is not in the log, the next process would send what its client was told is over. So its
// notice waits for the log, though no longer than the message's time.
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
	taken := map[string]*message{}
	for _, id := range []string{"early", "timely"} {
		left := 20 * time.Second
		if id == "timely" {
			left = time.Second
		}
		q := &putRequest{class: 0, tenant: 0, record: &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: left, responses: make(chan response, 1)}
		r.admit(q)
		taken[id] = r.messages.byID[id]
		r.stepPolicy()
		if s := <-q.responses; s != responseOK {
			t.Fatal(s)
		}
		r.handleResponseDone(q, true)
	}
	failing.Store(true)
	due := taken["timely"].record.Deadline
	for _, m := range taken {
		m.isCompleted = true
		r.logCompletion(m, discovery.Returned, 5)
	}
	for r.clock.logTime(r.clock.now()) < due-50e3 {
		r.sendDueNotices()
		for id := range taken {
			if _, told := disc.Notice(id); told {
				t.Fatalf("%s was told with no record in the log", id)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	waitFor(t, "the notice whose time is up", func() bool { r.sendDueNotices(); _, told := disc.Notice("timely"); return told })
	if _, told := disc.Notice("early"); told {
		t.Error("early was told with no record in the log")
	}
	failing.Store(false)
	waitFor(t, "the other", func() bool { r.sendDueNotices(); _, told := disc.Notice("early"); return told })
}

package wal_test

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/wal"
)

// machineClock simulates the clocks of a machine that reboots and whose wall clock is changed.
type machineClock struct {
	boot    byte
	shift   time.Duration // offset of the wall clock
	mono    time.Duration // offset of the monotonic clock, which starts at the boot
	elapsed time.Duration // simulated time that passed on both clocks while no process ran
}

func (m *machineClock) read() clock.Reading {
	r := clock.Read()
	r.Wall += (m.shift + m.elapsed).Microseconds()
	r.Mono += (m.mono + m.elapsed).Microseconds()
	r.Boot = clock.Boot{m.boot}
	return r
}

// recordOneMessage opens a log and records one message. It returns the log time at the start and at
// the end, and ClockSetBack.
func recordOneMessage(t *testing.T, dir, id string, m *machineClock) (start, end int64, setBack time.Duration) {
	t.Helper()
	l, err := wal.Open(wal.Options{Dir: dir, Limit: 3 << 20, Clock: m.read})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	start = l.Time()
	if err := l.AppendNow(&wal.Record{Kind: wal.KindAccepted, ID: id, Class: "plain", Deadline: start + 20e6}); err != nil {
		t.Fatal(err)
	}
	return start, l.Time(), l.ClockSetBack
}

// Log time advances with real time between processes and over reboots, however the wall clock
// is changed. The exception is a reboot during which the wall clock is set back: it is not
// known then how long no process ran, and log time does not advance for that period.
func TestLogTimeFollowsRealTimeAcrossRestarts(t *testing.T) {
	const pause, slack = time.Minute, int64(5e6)
	for _, test := range []struct {
		name        string
		change      func(m *machineClock)
		wantElapsed time.Duration
		wantSetBack time.Duration
	}{
		{"clocks unchanged", func(m *machineClock) {}, pause, 0},
		{"wall clock set forward", func(m *machineClock) { m.shift = time.Hour }, pause, 0},
		{"wall clock set back", func(m *machineClock) { m.shift = -time.Hour }, pause, 0},
		{"wall clock set back by less than has passed", func(m *machineClock) { m.shift = -pause / 2 }, pause, 0},
		{"rebooted", func(m *machineClock) { m.boot, m.mono = 2, -time.Hour }, pause, 0},
		{"rebooted and wall clock set back", func(m *machineClock) { m.boot, m.shift = 2, -time.Hour }, 0, time.Hour - pause},
	} {
		for _, earlierShift := range []time.Duration{0, time.Hour, -time.Hour} {
			dir, m := t.TempDir(), &machineClock{boot: 1}
			recordOneMessage(t, dir, "first", m)
			m.shift += earlierShift
			_, end, _ := recordOneMessage(t, dir, "second", m)
			shiftSoFar := m.shift
			m.shift = 0
			test.change(m)
			m.shift += shiftSoFar
			m.elapsed += pause
			start, _, setBack := recordOneMessage(t, dir, "third", m)
			if deviation := start - end - test.wantElapsed.Microseconds(); deviation < 0 || deviation > slack {
				t.Errorf("%s, wall clock changed by %v before: %d µs of log time passed, want %d", test.name, earlierShift, start-end, test.wantElapsed.Microseconds())
			}
			if deviation := (setBack - test.wantSetBack).Abs(); deviation > time.Duration(slack)*time.Microsecond || (setBack > 0) != (test.wantSetBack > 0) {
				t.Errorf("%s, wall clock changed by %v before: the clock was set back by %v, want %v", test.name, earlierShift, setBack, test.wantSetBack)
			}
		}
	}
}

// A log whose time differs from the wall clock is moved to another machine. The time until
// its messages' deadlines stays the same.
func TestMigrationKeepsTimeUntilDeadline(t *testing.T) {
	for _, shift := range []time.Duration{0, time.Hour, -time.Hour} {
		exportDir, importDir, file := t.TempDir(), t.TempDir(), filepath.Join(t.TempDir(), "moved")
		m := &machineClock{shift: shift}
		l, err := wal.Open(wal.Options{Dir: exportDir, Limit: 3 << 20, Clock: func() clock.Reading {
			r := clock.Read() // with the real boot id, which Export reads too
			r.Wall += m.shift.Microseconds()
			return r
		}})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.AppendNow(&wal.Record{Kind: wal.KindAccepted, ID: "m", Class: "plain", Deadline: l.Time() + 20e6}); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if _, err := wal.Export(exportDir, file, 3<<20); err != nil {
			t.Fatal(err)
		}
		if _, err := wal.Import(file, importDir); err != nil {
			t.Fatal(err)
		}
		l, err = wal.Open(wal.Options{Dir: importDir, Limit: 3 << 20, Clock: (&machineClock{boot: 9}).read})
		if err != nil {
			t.Fatal(err)
		}
		records := l.Next(1)
		if len(records) != 1 {
			t.Fatalf("recovered %d messages, want 1", len(records))
		}
		if remaining := records[0].Deadline - l.Time(); remaining < 15e6 || remaining > 20e6 {
			t.Errorf("wall clock off by %v: %d µs of 20 s are left until the deadline", shift, remaining)
		}
		l.Close()
	}
}

// The stamp of a legacy program has no clock readings. If a legacy program overwrote a
// stamp, the old clock readings in it are invalid. In both cases log time continues with
// the wall clock, as it did in legacy programs.
func TestLogTimeAfterLegacyStampFollowsWallClock(t *testing.T) {
	for _, shortened := range []bool{true, false} {
		dir, m := t.TempDir(), &machineClock{boot: 1}
		_, end, _ := recordOneMessage(t, dir, "first", m)
		path := filepath.Join(dir, wal.FolderName, "mark")
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if shortened {
			content = content[:24]
		} else { // the legacy program ran for another second of wall-clock time
			binary.NativeEndian.PutUint64(content[16:], uint64(end+time.Second.Microseconds()))
		}
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		m.shift = time.Hour
		start, _, setBack := recordOneMessage(t, dir, "second", m)
		if deviation := start - end - time.Hour.Microseconds(); deviation < 0 || deviation > 5e6 || setBack != 0 {
			t.Errorf("stamp shortened %v: %d µs of log time passed, the clock was set back by %v", shortened, start-end, setBack)
		}
	}
}

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
	boot  byte
	shift time.Duration // offset of the wall clock
	mono  time.Duration // offset of the monotonic clock, which starts at the boot
	slept time.Duration // simulated time that passed on both clocks while no process ran
}

func (m *machineClock) read() clock.Reading {
	r := clock.Read()
	r.Wall += (m.shift + m.slept).Microseconds()
	r.Mono += (m.mono + m.slept).Microseconds()
	r.Boot = clock.Boot{m.boot}
	return r
}

// runOnce opens a log and records one message. It returns the log time at the start and at
// the end, and ClockSetBack.
func runOnce(t *testing.T, dir, id string, m *machineClock) (began, ended int64, behind time.Duration) {
	t.Helper()
	l, err := wal.Open(wal.Options{Dir: dir, Limit: 3 << 20, Clock: m.read})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	began = l.Time()
	if err := l.AppendNow(&wal.Record{Kind: wal.KindAccepted, ID: id, Class: "plain", Deadline: began + 20e6}); err != nil {
		t.Fatal(err)
	}
	return began, l.Time(), l.ClockSetBack
}

// Log time advances with real time between processes and over reboots, however the wall clock
// is changed. The exception is a reboot during which the wall clock is set back: it is not
// known then how long no process ran, and log time does not advance for that period.
func TestLogTime(t *testing.T) {
	const gap, slack = time.Minute, int64(5e6)
	for _, x := range []struct {
		what   string
		then   func(m *machineClock)
		passed time.Duration
		behind time.Duration
	}{
		{"clocks unchanged", func(m *machineClock) {}, gap, 0},
		{"wall clock set forward", func(m *machineClock) { m.shift = time.Hour }, gap, 0},
		{"wall clock set back", func(m *machineClock) { m.shift = -time.Hour }, gap, 0},
		{"wall clock set back by less than has passed", func(m *machineClock) { m.shift = -gap / 2 }, gap, 0},
		{"rebooted", func(m *machineClock) { m.boot, m.mono = 2, -time.Hour }, gap, 0},
		{"rebooted and wall clock set back", func(m *machineClock) { m.boot, m.shift = 2, -time.Hour }, 0, time.Hour - gap},
	} {
		for _, running := range []time.Duration{0, time.Hour, -time.Hour} {
			dir, m := t.TempDir(), &machineClock{boot: 1}
			runOnce(t, dir, "first", m)
			m.shift += running
			_, ended, _ := runOnce(t, dir, "second", m)
			before := m.shift
			m.shift = 0
			x.then(m)
			m.shift += before
			m.slept += gap
			began, _, behind := runOnce(t, dir, "third", m)
			if off := began - ended - x.passed.Microseconds(); off < 0 || off > slack {
				t.Errorf("%s, wall clock changed by %v before: %d µs of log time passed, want %d", x.what, running, began-ended, x.passed.Microseconds())
			}
			if off := (behind - x.behind).Abs(); off > time.Duration(slack)*time.Microsecond || (behind > 0) != (x.behind > 0) {
				t.Errorf("%s, wall clock changed by %v before: the clock was set back by %v, want %v", x.what, running, behind, x.behind)
			}
		}
	}
}

// A log whose time differs from the wall clock is moved to another machine. The time until
// its messages' deadlines stays the same.
func TestLogTimeAfterMigration(t *testing.T) {
	for _, shift := range []time.Duration{0, time.Hour, -time.Hour} {
		from, to, file := t.TempDir(), t.TempDir(), filepath.Join(t.TempDir(), "moved")
		m := &machineClock{shift: shift}
		l, err := wal.Open(wal.Options{Dir: from, Limit: 3 << 20, Clock: func() clock.Reading {
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
		if _, err := wal.Export(from, file, 3<<20); err != nil {
			t.Fatal(err)
		}
		if _, err := wal.Import(file, to); err != nil {
			t.Fatal(err)
		}
		l, err = wal.Open(wal.Options{Dir: to, Limit: 3 << 20, Clock: (&machineClock{boot: 9}).read})
		if err != nil {
			t.Fatal(err)
		}
		recs := l.Next(1)
		if len(recs) != 1 {
			t.Fatalf("recovered %d messages, want 1", len(recs))
		}
		if left := recs[0].Deadline - l.Time(); left < 15e6 || left > 20e6 {
			t.Errorf("wall clock off by %v: %d µs of 20 s are left until the deadline", shift, left)
		}
		l.Close()
	}
}

// The stamp of a legacy program has no clock readings. If a legacy program overwrote a
// stamp, the old clock readings in it are invalid. In both cases log time continues with
// the wall clock, as it did in legacy programs.
func TestLogTimeOfLegacyStamp(t *testing.T) {
	for _, cut := range []bool{true, false} {
		dir, m := t.TempDir(), &machineClock{boot: 1}
		_, ended, _ := runOnce(t, dir, "first", m)
		path := filepath.Join(dir, wal.FolderName, "mark")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if cut {
			text = text[:24]
		} else { // the legacy program ran for another second of wall-clock time
			binary.NativeEndian.PutUint64(text[16:], uint64(ended+time.Second.Microseconds()))
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		m.shift = time.Hour
		began, _, behind := runOnce(t, dir, "second", m)
		if off := began - ended - time.Hour.Microseconds(); off < 0 || off > 5e6 || behind != 0 {
			t.Errorf("stamp shortened %v: %d µs of log time passed, the clock was set back by %v", cut, began-ended, behind)
		}
	}
}

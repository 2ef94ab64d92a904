package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plovershore/internal/discovery"
)

func endpoint(id, addr string) Member {
	return Member{Member: discovery.Member{ID: id, HostPort: addr, Locality: "a", Flavor: "agent", Cell: 1, Phase: discovery.Up, Size: 1}, Holder: "h-" + id, TTL: time.Second}
}

// drawCommand draws a command over few ids and addresses, so that they meet.
func drawCommand(t *rapid.T, n int) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	c := Command{Request: fmt.Sprint(n), Op: rapid.SampledFrom([]Op{OpAdd, OpAdd, OpPhase, OpRemove, OpExpire, OpEpoch}).Draw(t, "op"), ID: id, At: int64(n)}
	switch c.Op {
	case OpAdd:
		c.Member = endpoint(id, fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 3).Draw(t, "port")))
	case OpPhase:
		c.Phase = rapid.SampledFrom([]string{discovery.Up, discovery.Draining}).Draw(t, "phase")
	case OpExpire:
		c.Expired = map[string]int64{id: int64(rapid.IntRange(0, n).Draw(t, "since"))}
	case OpEpoch:
		c.Epoch = fmt.Sprint("e", n)
	}
	return c
}

// watcher is what a client holds that hears lines and nothing else.
type watcher struct {
	epoch    string
	revision int64
	members  map[string]discovery.Member
}

func (w *watcher) hear(t *rapid.T, s *store) {
	lines, revision, epoch, _ := s.changesSince(w.epoch, w.revision)
	for _, text := range lines {
		var l watchLine
		if err := json.Unmarshal(text, &l); err != nil {
			t.Fatal(err)
		}
		if l.Complete {
			w.members = map[string]discovery.Member{}
		} else if l.Revision <= w.revision || l.Epoch != w.epoch {
			t.Fatalf("revision %d of %s after %d of %s", l.Revision, l.Epoch, w.revision, w.epoch)
		}
		for _, m := range l.Members {
			if m.Phase == discovery.Removed {
				delete(w.members, m.ID)
			} else {
				w.members[m.ID] = m
			}
		}
		w.revision, w.epoch = l.Revision, l.Epoch
	}
	w.revision, w.epoch = revision, epoch
}

// TestWatchersHaveNoGapNoRepeatNoInversion: hard case 4. Watchers come from
// anywhere, in any interleaving with changes, restores and new epochs, and each
// ends up with exactly the group's list.
func TestWatchersHaveNoGapNoRepeatNoInversion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		s.state.Epoch = "e"
		watchers := []*watcher{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0: // from a revision that may be old, new, or of another group
				watchers = append(watchers, &watcher{epoch: rapid.SampledFrom([]string{"e", "other"}).Draw(t, "epoch"),
					revision: int64(rapid.IntRange(-1, 100).Draw(t, "from")), members: nil})
			case 1:
				if len(watchers) > 0 {
					w := watchers[rapid.IntRange(0, len(watchers)-1).Draw(t, "who")]
					if w.members != nil || w.revision > s.state.Revision || w.epoch != s.state.Epoch || w.revision < 0 {
						w.hear(t, s)
					}
				}
			case 2: // a backup of before, as a group is restored from one
				var b bytes.Buffer
				if err := s.state.Write(&b); err != nil {
					t.Fatal(err)
				}
				if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
					back, err := ReadState(&b)
					if err != nil {
						t.Fatal(err)
					}
					s.state = back
					s.wakeWatchers()
				}
			default:
				text, _ := json.Marshal(drawCommand(t, n))
				var c Command
				json.Unmarshal(text, &c)
				s.state.Apply(c)
				s.wakeWatchers()
			}
		}
		for _, w := range append(watchers, &watcher{epoch: "none", revision: -1}) {
			if w.members == nil && w.epoch == s.state.Epoch { // it claims a list that this test never gave it
				continue
			}
			w.hear(t, s)
			want := map[string]discovery.Member{}
			for id, m := range s.state.Members {
				want[id] = m.Member
			}
			if !maps.Equal(w.members, want) || w.revision != s.state.Revision {
				t.Fatalf("has %v at %d, want %v at %d", w.members, w.revision, want, s.state.Revision)
			}
		}
	})
}

// TestARequestChangesNothingTwice: hard case 1, on the state: a retry of any
// earlier command gets the first answer, and changes nothing.
func TestARequestChangesNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		var done []Command
		var answers []Result
		for n := range rapid.IntRange(1, 40).Draw(t, "commands") {
			c := drawCommand(t, n)
			done, answers = append(done, c), append(answers, s.Apply(c))
			i := rapid.IntRange(0, n).Draw(t, "retry")
			before, _ := json.Marshal(s)
			if a := s.Apply(done[i]); a != answers[i] {
				t.Fatalf("first %+v, then %+v", answers[i], a)
			}
			if after, _ := json.Marshal(s); !bytes.Equal(before, after) {
				t.Fatal("a retry changed the state")
			}
		}
	})
}

// TestAddressesAndIDsThatComeAgain: hard case 7.
func TestAddressesAndIDsThatComeAgain(t *testing.T) {
	s := NewState()
	n := 0
	do := func(c Command) Result { n++; c.Request = fmt.Sprint(n); return s.Apply(c) }
	do(Command{Op: OpAdd, Member: endpoint("a", "127.0.0.1:1")})
	if do(Command{Op: OpAdd, Member: endpoint("b", "127.0.0.1:1")}); len(s.Members) != 1 || s.Members["b"].HostPort != "127.0.0.1:1" {
		t.Errorf("an address belongs to the id that took it last: %v", s.Members)
	}
	if a := do(Command{Op: OpAdd, Member: endpoint("b", "127.0.0.1:2")}); a.Status != 200 || s.Members["b"].HostPort != "127.0.0.1:2" {
		t.Errorf("an id may move: %+v", a)
	}
	thief := endpoint("b", "127.0.0.1:3")
	thief.Holder = "another"
	if a := do(Command{Op: OpAdd, Member: thief}); a.Status != 409 || s.Members["b"].HostPort != "127.0.0.1:2" {
		t.Errorf("a second registrant of one id at another place: %+v", a)
	}
	if a := do(Command{Op: OpRemove, ID: "b", Holder: "another"}); a.Status != 409 {
		t.Errorf("removed by another: %+v", a)
	}
	before := s.Revision
	if do(Command{Op: OpAdd, Member: endpoint("b", "127.0.0.1:2")}); s.Revision != before {
		t.Error("one that registers as it stands is a change")
	}
	if a := do(Command{Op: OpPhase, ID: "b", Phase: discovery.Draining, IfChanged: 1}); a.Status != 409 || a.Changed != s.Members["b"].Changed {
		t.Errorf("a stale compare-and-set: %+v", a)
	}
	if a := do(Command{Op: OpPhase, ID: "x", Phase: discovery.Draining}); a.Status != 404 {
		t.Errorf("an unknown id: %+v", a)
	}
}

func TestZonesAreKeptOverASnapshot(t *testing.T) {
	s := NewState()
	s.Apply(Command{Op: OpZone, Zone: "a", Region: "north"})
	s.Apply(Command{Op: OpZone, Zone: "b", Region: "north"})
	s.Apply(Command{Op: OpZone, Zone: "b"})
	s.Apply(Command{Op: OpAdd, Member: endpoint("s-1", "10.0.0.1:1")})
	var text bytes.Buffer
	if err := s.Write(&text); err != nil {
		t.Fatal(err)
	}
	back, err := ReadState(&text)
	if err != nil || len(back.Zones) != 1 || back.Zones["a"] != "north" {
		t.Fatalf("%v, %v", back, err)
	}
	// The index of addresses is not in the snapshot: it has to be there all the same.
	if back.Apply(Command{Op: OpAdd, Member: endpoint("s-2", "10.0.0.1:1")}); len(back.Members) != 1 {
		t.Errorf("two members at one address: %v", back.Members)
	}
	if _, err := ReadState(strings.NewReader(`{"epoch":"e","revision":1,"members":{},"answers":{}}`)); err != nil {
		t.Errorf("a snapshot without zones: %v", err)
	}
}

// TestALapseThatComesTooLateTakesNothing: one that registered anew since is not ended.
func TestALapseThatComesTooLateTakesNothing(t *testing.T) {
	s := NewState()
	s.Apply(Command{Request: "1", Op: OpAdd, Member: endpoint("a", "127.0.0.1:1")})
	since := s.Members["a"].Since
	s.Apply(Command{Request: "2", Op: OpRemove, ID: "a"})
	s.Apply(Command{Request: "3", Op: OpAdd, Member: endpoint("a", "127.0.0.1:1")})
	if s.Apply(Command{Request: "4", Op: OpExpire, Expired: map[string]int64{"a": since}}); len(s.Members) != 1 {
		t.Error("ended")
	}
}

// TestManyThatFallSilentAtOnceAreHeldBack: hard case 6.
func TestManyThatFallSilentAtOnceAreHeldBack(t *testing.T) {
	cfg := DefaultConfig()
	for name, x := range map[string]struct {
		silent int // of 100, from one moment on
		held   bool
	}{"a tenth": {10, false}, "a quarter": {25, false}, "half": {50, true}, "all": {100, true}} {
		n := &Node{cfg: &cfg, log: quiet(), store: newStore()}
		h := newHeartbeatMonitor(n)
		var members []Member
		for i := range 100 {
			m := endpoint(fmt.Sprint(i), fmt.Sprintf("127.0.0.1:%d", i+1))
			m.TTL = 3 * time.Second
			members = append(members, m)
		}
		start := time.Now()
		h.dueMembers(slices.Values(members), start)
		lapsed := map[string]int64{}
		at := start
		// Heartbeats come each second, at a phase of their own.
		for ms := 0; ms < 20000; ms += 50 {
			at = start.Add(time.Duration(ms) * time.Millisecond)
			for _, m := range members {
				var i int
				fmt.Sscan(m.ID, &i)
				if (ms-i*10)%1000 < 50 && (ms-i*10)%1000 >= 0 && (ms < 5000 || i >= x.silent) {
					h.mu.Lock()
					h.lastHeartbeat[m.ID] = at
					h.mu.Unlock()
				}
			}
			for id := range h.dueMembers(slices.Values(members), at) {
				lapsed[id] = 1
				h.guard.recordExpiry(at)
				for i, m := range members {
					if m.ID == id {
						members = append(members[:i:i], members[i+1:]...)
						break
					}
				}
			}
		}
		held, _ := h.suspension()
		if x.held != (held > 0) || x.held && len(lapsed) > 0 || !x.held && len(lapsed) != x.silent {
			t.Errorf("%s: %d lapsed, %d held back", name, len(lapsed), held)
		}
		if !x.held {
			continue
		}
		if h.confirmSuspended(); len(h.dueMembers(slices.Values(members), at)) != x.silent {
			t.Errorf("%s: not lapsed once confirmed", name)
		}
		h.guard.confirmed = false
		if len(h.dueMembers(slices.Values(members), at.Add(time.Duration(cfg.ExpiryGuard.SuspendFor)))) == 0 {
			t.Errorf("%s: held back for ever", name)
		}
	}
}

// TestANewLeaderWaitsAWholeTimeToLive before it ends anything.
func TestANewLeaderWaitsAWholeTimeToLive(t *testing.T) {
	cfg := DefaultConfig()
	h := newHeartbeatMonitor(&Node{cfg: &cfg, log: quiet(), store: newStore()})
	m := endpoint("a", "127.0.0.1:1")
	now := time.Now()
	h.dueMembers(slices.Values([]Member{m}), now)
	h.dueMembers(slices.Values([]Member{m}), now.Add(m.TTL-time.Millisecond))
	h.reset() // another leads, then this one again
	for _, after := range []time.Duration{m.TTL + time.Millisecond, 2*m.TTL - time.Millisecond} {
		if due := h.dueMembers(slices.Values([]Member{m}), now.Add(after)); len(due) > 0 {
			t.Errorf("ended %v after the first election", after)
		}
	}
	if due := h.dueMembers(slices.Values([]Member{m}), now.Add(3*m.TTL)); len(due) != 1 {
		t.Error("never ended")
	}
}

func FuzzReadState(f *testing.F) {
	s := NewState()
	s.Apply(Command{Request: "1", Op: OpAdd, Member: endpoint("a", "127.0.0.1:1")})
	var b bytes.Buffer
	s.Write(&b)
	f.Add(b.Bytes())
	f.Add([]byte(`{"members":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ReadState(bytes.NewReader(text))
		if err != nil {
			return
		}
		s.Apply(Command{Request: "x", Op: OpAdd, Member: endpoint("b", "127.0.0.1:2")}) // it can be used
		if _, ok := s.Since(s.Revision); !ok {
			t.Fatal("a watch at the present revision is not known")
		}
	})
}

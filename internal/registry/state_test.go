package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plovershore/internal/discovery"
)

func testMember(id, addr string) Member {
	return Member{Member: discovery.Member{ID: id, HostPort: addr, Locality: "a", Flavor: "agent", Cell: 1, Phase: discovery.Up, Size: 1}, Holder: "h-" + id, TTL: time.Second}
}

// drawCommand draws a command over few ids and addresses, so that commands conflict.
func drawCommand(t *rapid.T, n int) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	c := Command{Request: fmt.Sprint(n), Op: rapid.SampledFrom([]Op{OpAdd, OpAdd, OpPhase, OpRemove, OpExpire, OpEpoch}).Draw(t, "op"), ID: id, At: int64(n)}
	switch c.Op {
	case OpAdd:
		c.Member = testMember(id, fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 3).Draw(t, "port")))
	case OpPhase:
		c.Phase = rapid.SampledFrom([]string{discovery.Up, discovery.Draining}).Draw(t, "phase")
	case OpExpire:
		c.Expired = map[string]int64{id: int64(rapid.IntRange(0, n).Draw(t, "since"))}
	case OpEpoch:
		c.Epoch = fmt.Sprint("e", n)
	}
	return c
}

// TestRetriedRequestChangesNothing checks that a retry of any earlier command has the
// first result, and doesn't change the state.
func TestRetriedRequestChangesNothing(t *testing.T) {
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

// TestReusedAddressesAndIDs checks registrations at another member's address, and with
// another registrant's id.
func TestReusedAddressesAndIDs(t *testing.T) {
	s := NewState()
	n := 0
	do := func(c Command) Result { n++; c.Request = fmt.Sprint(n); return s.Apply(c) }
	do(Command{Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	if do(Command{Op: OpAdd, Member: testMember("b", "127.0.0.1:1")}); len(s.Members) != 1 || s.Members["b"].HostPort != "127.0.0.1:1" {
		t.Errorf("an address belongs to the id that took it last: %v", s.Members)
	}
	if a := do(Command{Op: OpAdd, Member: testMember("b", "127.0.0.1:2")}); a.Status != 200 || s.Members["b"].HostPort != "127.0.0.1:2" {
		t.Errorf("an id may move: %+v", a)
	}
	thief := testMember("b", "127.0.0.1:3")
	thief.Holder = "another"
	if a := do(Command{Op: OpAdd, Member: thief}); a.Status != 409 || s.Members["b"].HostPort != "127.0.0.1:2" {
		t.Errorf("a second registrant of one id at another place: %+v", a)
	}
	if a := do(Command{Op: OpRemove, ID: "b", Holder: "another"}); a.Status != 409 {
		t.Errorf("removed by another: %+v", a)
	}
	before := s.Revision
	if do(Command{Op: OpAdd, Member: testMember("b", "127.0.0.1:2")}); s.Revision != before {
		t.Error("one that registers as it stands is a change")
	}
	if a := do(Command{Op: OpPhase, ID: "b", Phase: discovery.Draining, IfChanged: 1}); a.Status != 409 || a.Changed != s.Members["b"].Changed {
		t.Errorf("a stale compare-and-set: %+v", a)
	}
	if a := do(Command{Op: OpPhase, ID: "x", Phase: discovery.Draining}); a.Status != 404 {
		t.Errorf("an unknown id: %+v", a)
	}
}

func TestZonesSurviveSnapshot(t *testing.T) {
	s := NewState()
	s.Apply(Command{Op: OpZone, Zone: "a", Region: "north"})
	s.Apply(Command{Op: OpZone, Zone: "b", Region: "north"})
	s.Apply(Command{Op: OpZone, Zone: "b"})
	s.Apply(Command{Op: OpAdd, Member: testMember("s-1", "10.0.0.1:1")})
	var text bytes.Buffer
	if err := s.Write(&text); err != nil {
		t.Fatal(err)
	}
	back, err := ReadState(&text)
	if err != nil || len(back.Zones) != 1 || back.Zones["a"] != "north" {
		t.Fatalf("%v, %v", back, err)
	}
	// The index of addresses is not in the snapshot: it has to be there all the same.
	if back.Apply(Command{Op: OpAdd, Member: testMember("s-2", "10.0.0.1:1")}); len(back.Members) != 1 {
		t.Errorf("two members at one address: %v", back.Members)
	}
	if _, err := ReadState(strings.NewReader(`{"epoch":"e","revision":1,"members":{},"answers":{}}`)); err != nil {
		t.Errorf("a snapshot without zones: %v", err)
	}
}

// TestLateExpiryKeepsRenewedMember checks that an expiry skips a member that has
// registered anew since it was found overdue.
func TestLateExpiryKeepsRenewedMember(t *testing.T) {
	s := NewState()
	s.Apply(Command{Request: "1", Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	since := s.Members["a"].Since
	s.Apply(Command{Request: "2", Op: OpRemove, ID: "a"})
	s.Apply(Command{Request: "3", Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	if s.Apply(Command{Request: "4", Op: OpExpire, Expired: map[string]int64{"a": since}}); len(s.Members) != 1 {
		t.Error("ended")
	}
}

func FuzzReadState(f *testing.F) {
	s := NewState()
	s.Apply(Command{Request: "1", Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	var b bytes.Buffer
	s.Write(&b)
	f.Add(b.Bytes())
	f.Add([]byte(`{"members":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ReadState(bytes.NewReader(text))
		if err != nil {
			return
		}
		s.Apply(Command{Request: "x", Op: OpAdd, Member: testMember("b", "127.0.0.1:2")}) // it can be used
		if _, ok := s.Since(s.Revision); !ok {
			t.Fatal("a watch at the present revision is not known")
		}
	})
}

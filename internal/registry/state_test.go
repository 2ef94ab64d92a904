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

// drawCommand draws command number n from a few ids and addresses, so that commands
// conflict.
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
// result of the first one, and doesn't change the state.
func TestRetriedRequestChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		var applied []Command
		var results []Result
		for n := range rapid.IntRange(1, 40).Draw(t, "commands") {
			c := drawCommand(t, n)
			applied, results = append(applied, c), append(results, s.Apply(c))
			i := rapid.IntRange(0, n).Draw(t, "retry")
			before, _ := json.Marshal(s)
			if result := s.Apply(applied[i]); result != results[i] {
				t.Fatalf("first result %+v, result of the retry %+v", results[i], result)
			}
			if after, _ := json.Marshal(s); !bytes.Equal(before, after) {
				t.Fatal("a retry changed the state")
			}
		}
	})
}

// TestReusedAddressMovesAndIDOfOtherHolderIsRejected checks registrations with an address
// of another member, which remove that member, and with an id of another holder, which
// are rejected.
func TestReusedAddressMovesAndIDOfOtherHolderIsRejected(t *testing.T) {
	s := NewState()
	requests := 0
	apply := func(c Command) Result { requests++; c.Request = fmt.Sprint(requests); return s.Apply(c) }
	apply(Command{Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	if apply(Command{Op: OpAdd, Member: testMember("b", "127.0.0.1:1")}); len(s.Members) != 1 || s.Members["b"].HostPort != "127.0.0.1:1" {
		t.Errorf("members %v, want only b, which registered the address last", s.Members)
	}
	if result := apply(Command{Op: OpAdd, Member: testMember("b", "127.0.0.1:2")}); result.Status != 200 || s.Members["b"].HostPort != "127.0.0.1:2" {
		t.Errorf("result %+v of the same holder registering another address, want 200", result)
	}
	otherHolder := testMember("b", "127.0.0.1:3")
	otherHolder.Holder = "another"
	if result := apply(Command{Op: OpAdd, Member: otherHolder}); result.Status != 409 || s.Members["b"].HostPort != "127.0.0.1:2" {
		t.Errorf("result %+v of another holder registering the id at another address, want 409", result)
	}
	if result := apply(Command{Op: OpRemove, ID: "b", Holder: "another"}); result.Status != 409 {
		t.Errorf("result %+v of a removal by another holder, want 409", result)
	}
	before := s.Revision
	if apply(Command{Op: OpAdd, Member: testMember("b", "127.0.0.1:2")}); s.Revision != before {
		t.Error("registering again without a change raised the revision")
	}
	if result := apply(Command{Op: OpPhase, ID: "b", Phase: discovery.Draining, IfChanged: 1}); result.Status != 409 || result.Changed != s.Members["b"].Changed {
		t.Errorf("result %+v of a command with an outdated IfChanged, want 409", result)
	}
	if result := apply(Command{Op: OpPhase, ID: "x", Phase: discovery.Draining}); result.Status != 404 {
		t.Errorf("result %+v for an unknown id, want 404", result)
	}
}

func TestZonesAndAddressIndexSurviveSnapshot(t *testing.T) {
	s := NewState()
	s.Apply(Command{Op: OpZone, Zone: "a", Region: "north"})
	s.Apply(Command{Op: OpZone, Zone: "b", Region: "north"})
	s.Apply(Command{Op: OpZone, Zone: "b"})
	s.Apply(Command{Op: OpAdd, Member: testMember("s-1", "10.0.0.1:1")})
	var text bytes.Buffer
	if err := s.Write(&text); err != nil {
		t.Fatal(err)
	}
	restored, err := ReadState(&text)
	if err != nil || len(restored.Zones) != 1 || restored.Zones["a"] != "north" {
		t.Fatalf("restored state %v, error %v; want the region of zone a alone", restored, err)
	}
	// The index of addresses isn't part of the snapshot and has to be rebuilt.
	if restored.Apply(Command{Op: OpAdd, Member: testMember("s-2", "10.0.0.1:1")}); len(restored.Members) != 1 {
		t.Errorf("two members at one address: %v", restored.Members)
	}
	if _, err := ReadState(strings.NewReader(`{"epoch":"e","revision":1,"members":{},"answers":{}}`)); err != nil {
		t.Errorf("a snapshot without zones: error %v", err)
	}
}

// TestLateExpiryKeepsMemberThatRegisteredAgain checks that an expiry skips a member that
// was removed and has registered again since it was found overdue.
func TestLateExpiryKeepsMemberThatRegisteredAgain(t *testing.T) {
	s := NewState()
	s.Apply(Command{Request: "1", Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	since := s.Members["a"].Since
	s.Apply(Command{Request: "2", Op: OpRemove, ID: "a"})
	s.Apply(Command{Request: "3", Op: OpAdd, Member: testMember("a", "127.0.0.1:1")})
	if s.Apply(Command{Request: "4", Op: OpExpire, Expired: map[string]int64{"a": since}}); len(s.Members) != 1 {
		t.Error("the member that registered again has expired")
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
		s.Apply(Command{Request: "x", Op: OpAdd, Member: testMember("b", "127.0.0.1:2")}) // fails if a map of the state is nil
		if _, ok := s.Since(s.Revision); !ok {
			t.Fatal("the history doesn't reach the current revision")
		}
	})
}

package relays

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/simrelay"
)

const testMembers = 40

func testRelay(t *testing.T, d *discoverytest.Server, rate float64) *relay {
	t.Helper()
	text, err := json.Marshal(model.Settings(model.Fleet{Relays: 1, MaxCalls: 100, MaxMessages: 1000, Zones: []string{"a"}, MaxBatch: 1}, model.StandardRules()))
	if err != nil {
		t.Fatal(err)
	}
	c := &simrelay.Config{Folder: t.TempDir(), Discovery: []string{strings.TrimPrefix(d.URL, "http://")}, Fleet: 1, Seed: 5,
		Settings: []json.RawMessage{text}, Zones: []string{"a"}, Flavors: []string{model.Telco, model.Newsagent}, DiskMB: 16,
		Stream: simrelay.Stream{Rate: rate, Deadline: time.Second, Body: 50, ConnectTimeout: 100 * time.Millisecond, Destinations: testMembers,
			Down: simrelay.Down{Seed: 5, Fraction: 0.25, For: time.Minute, Origin: time.Now().UnixMicro()}}}
	for _, k := range model.Classes() {
		c.Stream.Classes = append(c.Stream.Classes, simrelay.StreamClass{Name: k.Name, Fraction: k.Fraction,
			ServiceTime: [2]time.Duration{5 * time.Millisecond, 50 * time.Millisecond}})
	}
	c.Stream.Down.Prepare(testMembers)
	r, err := newRelay(c, 0, slog.New(slog.DiscardHandler), func(time.Duration) {})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func testList() (all []discovery.Member) {
	for i := range testMembers {
		all = append(all, discovery.Member{ID: fmt.Sprint("s", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1000+i), Locality: "a",
			Flavor: model.Newsagent, Cell: i, Phase: discovery.Up, Size: 1})
	}
	return all
}

// TestEveryMessageHasOneEnd: those for destinations that are down as well, and the
// log owes nothing at the end.
func TestEveryMessageHasOneEnd(t *testing.T) {
	d := discoverytest.New(t, testList()...)
	r := testRelay(t, d, 200)
	over := make(chan struct{})
	go func() { defer close(over); r.run() }()
	now := func() (c simrelay.Counts) { r.mu.Lock(); defer r.mu.Unlock(); return r.counts }
	discoverytest.WaitFor(t, "the list", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.published.members == testMembers })
	r.inbox.Put(event{command: commandStartTraffic})
	discoverytest.WaitFor(t, "messages, and some that cannot be delivered", func() bool { c := now(); return c.Delivered >= 100 && c.Returned+c.Failed >= 10 })
	r.inbox.Put(event{command: commandStopTraffic})
	discoverytest.WaitFor(t, "the end of all, and word of it", func() bool { c := now(); return c.InFlight == 0 && c.Notices == c.Returned+c.Failed })
	r.inbox.Put(event{command: commandFinish})
	<-over
	got := r.result()
	c := got.Counts
	if c.Accepted != c.Delivered+c.Returned+c.Failed || c.DuplicateCompletions != 0 || got.Pending != 0 || got.LogErr != "" {
		t.Errorf("seed 5: %+v, the log owes %d, %s", c, got.Pending, got.LogErr)
	}
	if c.Offered != c.Accepted+c.Rejected {
		t.Errorf("seed 5: %d offered, %d taken on, %d refused", c.Offered, c.Accepted, c.Rejected)
	}
}

// TestChangesAreBookedOnceAndInOrder: those that a whole list brings, too.
func TestChangesAreBookedOnceAndInOrder(t *testing.T) {
	r := testRelay(t, discoverytest.New(t), 0)
	defer r.lock.Close()
	list := testList()
	take := func(l discovery.List) {
		r.events = append(r.events, r.list.update(&l))
		r.step()
	}
	take(discovery.List{Revision: 1, Complete: true, Members: list})
	if len(r.list.applied) != 0 || r.published.hash != simrelay.ListHash(list) {
		t.Fatalf("after the first list: %d changes, hash %x, want %x", len(r.list.applied), r.published.hash, simrelay.ListHash(list))
	}
	drained, heavier, gone := list[1], list[2], list[3]
	drained.Phase, heavier.Size, gone.Phase = discovery.Draining, 2, discovery.Removed
	take(discovery.List{Revision: 2, Members: []discovery.Member{drained}})
	take(discovery.List{Revision: 3, Members: []discovery.Member{heavier}})
	take(discovery.List{Revision: 4, Members: []discovery.Member{gone}})
	list[1], list[2] = drained, heavier
	left := append(append([]discovery.Member{}, list[:3]...), list[5:]...) // the whole list lacks one more
	take(discovery.List{Revision: 5, Complete: true, Members: left})
	want := []uint64{simrelay.ChangeKey("s1", discovery.Draining, 1), simrelay.ChangeKey("s2", discovery.Up, 2),
		simrelay.ChangeKey("s3", discovery.Removed, 0), simrelay.ChangeKey("s4", discovery.Removed, 0)}
	if len(r.list.applied) != len(want) {
		t.Fatalf("%d changes, want %d", len(r.list.applied), len(want))
	}
	for i, h := range r.list.applied {
		if h.Key != want[i] || h.At == 0 {
			t.Errorf("change %d: %+v, want key %x", i, h, want[i])
		}
	}
	if r.published.hash != simrelay.ListHash(left) || r.published.members != len(left) || len(r.list.outOfOrder) != 0 {
		t.Errorf("%+v, want hash %x of %d members; wrong: %v", r.published, simrelay.ListHash(left), len(left), r.list.outOfOrder)
	}
	take(discovery.List{Revision: 4, Members: []discovery.Member{drained}})
	if len(r.list.outOfOrder) != 1 {
		t.Errorf("a revision that goes back: %v", r.list.outOfOrder)
	}
}

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
	text, err := json.Marshal(model.Settings(model.Fleet{Relays: 1, Slots: 100, Held: 1000, Zones: []string{"a"}, Batch: 1}, model.StandardRules()))
	if err != nil {
		t.Fatal(err)
	}
	c := &simrelay.Config{Folder: t.TempDir(), Discovery: []string{strings.TrimPrefix(d.URL, "http://")}, Fleet: 1, Seed: 5,
		Settings: []json.RawMessage{text}, Zones: []string{"a"}, Flavors: []string{model.Telco, model.Newsagent}, DiskMB: 16,
		Stream: simrelay.Stream{Rate: rate, Deadline: time.Second, Body: 50, Connect: 100 * time.Millisecond, Destinations: testMembers,
			Down: simrelay.Down{Seed: 5, Share: 0.25, For: time.Minute, Origin: time.Now().UnixMicro()}}}
	for _, k := range model.Classes() {
		c.Stream.Classes = append(c.Stream.Classes, simrelay.StreamClass{Name: k.Name, Share: k.Share,
			Took: [2]time.Duration{5 * time.Millisecond, 50 * time.Millisecond}})
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
	discoverytest.WaitFor(t, "the list", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.shown.members == testMembers })
	r.in.Put(event{order: orderBegin})
	discoverytest.WaitFor(t, "messages, and some that cannot be delivered", func() bool { c := now(); return c.Delivered >= 100 && c.HandedBack+c.GivenUp >= 10 })
	r.in.Put(event{order: orderPause})
	discoverytest.WaitFor(t, "the end of all, and word of it", func() bool { c := now(); return c.Held == 0 && c.Notices == c.HandedBack+c.GivenUp })
	r.in.Put(event{order: orderEnd})
	<-over
	got := r.result()
	c := got.Counts
	if c.Taken != c.Delivered+c.HandedBack+c.GivenUp || c.Twice != 0 || got.Owed != 0 || got.LogErr != "" {
		t.Errorf("seed 5: %+v, the log owes %d, %s", c, got.Owed, got.LogErr)
	}
	if c.Offered != c.Taken+c.Refused {
		t.Errorf("seed 5: %d offered, %d taken on, %d refused", c.Offered, c.Taken, c.Refused)
	}
}

// TestChangesAreBookedOnceAndInOrder: those that a whole list brings, too.
func TestChangesAreBookedOnceAndInOrder(t *testing.T) {
	r := testRelay(t, discoverytest.New(t), 0)
	defer r.lock.Close()
	list := testList()
	take := func(l discovery.List) {
		r.events = append(r.events, r.list.take(&l))
		r.step()
	}
	take(discovery.List{Revision: 1, Complete: true, Members: list})
	if len(r.list.heard) != 0 || r.shown.hash != simrelay.ListHash(list) {
		t.Fatalf("after the first list: %d changes, hash %x, want %x", len(r.list.heard), r.shown.hash, simrelay.ListHash(list))
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
	if len(r.list.heard) != len(want) {
		t.Fatalf("%d changes, want %d", len(r.list.heard), len(want))
	}
	for i, h := range r.list.heard {
		if h.Key != want[i] || h.At == 0 {
			t.Errorf("change %d: %+v, want key %x", i, h, want[i])
		}
	}
	if r.shown.hash != simrelay.ListHash(left) || r.shown.members != len(left) || len(r.list.wrong) != 0 {
		t.Errorf("%+v, want hash %x of %d members; wrong: %v", r.shown, simrelay.ListHash(left), len(left), r.list.wrong)
	}
	take(discovery.List{Revision: 4, Members: []discovery.Member{drained}})
	if len(r.list.wrong) != 1 {
		t.Errorf("a revision that goes back: %v", r.list.wrong)
	}
}

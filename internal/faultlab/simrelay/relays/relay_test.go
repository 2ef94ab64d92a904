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

func newTestRelay(t *testing.T, d *discoverytest.Server, rate float64) *relay {
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

func testMemberList() (members []discovery.Member) {
	for i := range testMembers {
		members = append(members, discovery.Member{ID: fmt.Sprint("s", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1000+i), Locality: "a",
			Flavor: model.Newsagent, Cell: i, Phase: discovery.Up, Size: 1})
	}
	return members
}

// Also covers messages for destinations that are down. At the end, the message log must
// hold no message without a completion.
func TestEveryAcceptedMessageIsCompletedExactlyOnce(t *testing.T) {
	d := discoverytest.New(t, testMemberList()...)
	r := newTestRelay(t, d, 200)
	stopped := make(chan struct{})
	go func() { defer close(stopped); r.run() }()
	currentCounts := func() (counts simrelay.Counts) { r.mu.Lock(); defer r.mu.Unlock(); return r.counts }
	discoverytest.WaitFor(t, "the complete list", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.published.members == testMembers })
	r.inbox.Put(event{command: commandStartTraffic})
	discoverytest.WaitFor(t, "100 delivered messages and 10 others that are completed", func() bool {
		counts := currentCounts()
		return counts.Delivered >= 100 && counts.Returned+counts.Failed >= 10
	})
	r.inbox.Put(event{command: commandStopTraffic})
	discoverytest.WaitFor(t, "the completion of all messages and the acceptance of their notices", func() bool {
		counts := currentCounts()
		return counts.InFlight == 0 && counts.Notices == counts.Returned+counts.Failed
	})
	r.inbox.Put(event{command: commandFinish})
	<-stopped
	result := r.result()
	counts := result.Counts
	if counts.Accepted != counts.Delivered+counts.Returned+counts.Failed || counts.DuplicateCompletions != 0 || result.Pending != 0 || result.LogErr != "" {
		t.Errorf("seed 5: counts %+v, %d messages pending in the log, log error %q; want one completion of each accepted message", counts, result.Pending, result.LogErr)
	}
	if counts.Offered != counts.Accepted+counts.Rejected {
		t.Errorf("seed 5: %d messages offered, want the sum of %d accepted and %d rejected", counts.Offered, counts.Accepted, counts.Rejected)
	}
}

// Also covers the changes that a complete list implies: members that it leaves out are
// recorded as removed.
func TestListChangesAreRecordedOnceAndInOrder(t *testing.T) {
	r := newTestRelay(t, discoverytest.New(t), 0)
	defer r.lock.Close()
	list := testMemberList()
	applyUpdate := func(l discovery.List) {
		r.events = append(r.events, r.list.update(&l))
		r.step()
	}
	applyUpdate(discovery.List{Revision: 1, Complete: true, Members: list})
	if len(r.list.applied) != 0 || r.published.hash != simrelay.ListHash(list) {
		t.Fatalf("after the first list: %d changes recorded, want none; hash %x, want %x", len(r.list.applied), r.published.hash, simrelay.ListHash(list))
	}
	drained, heavier, removed := list[1], list[2], list[3]
	drained.Phase, heavier.Size, removed.Phase = discovery.Draining, 2, discovery.Removed
	applyUpdate(discovery.List{Revision: 2, Members: []discovery.Member{drained}})
	applyUpdate(discovery.List{Revision: 3, Members: []discovery.Member{heavier}})
	applyUpdate(discovery.List{Revision: 4, Members: []discovery.Member{removed}})
	list[1], list[2] = drained, heavier
	remaining := append(append([]discovery.Member{}, list[:3]...), list[5:]...) // the complete list also lacks s4, which no change has removed
	applyUpdate(discovery.List{Revision: 5, Complete: true, Members: remaining})
	want := []uint64{simrelay.ChangeKey("s1", discovery.Draining, 1), simrelay.ChangeKey("s2", discovery.Up, 2),
		simrelay.ChangeKey("s3", discovery.Removed, 0), simrelay.ChangeKey("s4", discovery.Removed, 0)}
	if len(r.list.applied) != len(want) {
		t.Fatalf("%d changes recorded, want %d", len(r.list.applied), len(want))
	}
	for i, change := range r.list.applied {
		if change.Key != want[i] || change.At == 0 {
			t.Errorf("change %d: %+v, want key %x and a time", i, change, want[i])
		}
	}
	if r.published.hash != simrelay.ListHash(remaining) || r.published.members != len(remaining) || len(r.list.outOfOrder) != 0 {
		t.Errorf("list %+v, want hash %x of %d members; updates out of order: %v, want none", r.published, simrelay.ListHash(remaining), len(remaining), r.list.outOfOrder)
	}
	applyUpdate(discovery.List{Revision: 4, Members: []discovery.Member{drained}})
	if len(r.list.outOfOrder) != 1 {
		t.Errorf("after an older revision: updates out of order: %v, want one", r.list.outOfOrder)
	}
}

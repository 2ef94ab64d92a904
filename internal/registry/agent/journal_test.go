package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/loopback"
	"plovershore/internal/registry/client"
)

// The size that the fleet is planned for.
const (
	targetMembers     = 31000
	targetZoneMembers = 3875
	targetInForce     = 16 * time.Second
)

func listMember(i int) discovery.Member {
	return discovery.Member{ID: fmt.Sprint("s-", i), HostPort: fmt.Sprintf("127.0.0.1:%d", i+1), Locality: "a", Flavor: "agent",
		Cell: i, Phase: discovery.Up, Size: 1}
}

func wholeList(members int) client.Update {
	n := client.Update{List: discovery.List{Revision: int64(members), Complete: true}, Epoch: "e"}
	for i := range members {
		n.Members = append(n.Members, listMember(i))
	}
	return n
}

// removal is the change by which the list loses member i.
func removal(i, revision int) client.Update {
	m := listMember(i)
	m.Phase = discovery.Removed
	return client.Update{List: discovery.List{Revision: int64(revision), Members: []discovery.Member{m}}, Epoch: "e"}
}

// startGroup is a list service that tells one watch some news, the rest of it
// once more is closed.
func startGroup(t *testing.T, first client.Update, more <-chan struct{}, rest []client.Update) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, flush := json.NewEncoder(w), http.NewResponseController(w)
		out.Encode(first)
		flush.Flush()
		for quiet := time.NewTicker(time.Second); ; {
			select {
			case <-quiet.C:
				fmt.Fprintln(w)
				flush.Flush()
			case <-r.Context().Done():
				return
			case <-more:
				for _, n := range rest {
					out.Encode(n)
				}
				flush.Flush()
				more = nil
			}
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

// A zone of the largest fleet that is planned for lapses at one moment, member
// by member. With the whole list on disk anew for each, its relay would hear of
// the last one minutes later.
func TestZoneLapseIsInForceInTime(t *testing.T) {
	var lapse []client.Update
	for i := range targetZoneMembers {
		lapse = append(lapse, removal(i, targetMembers+i+1))
	}
	more := make(chan struct{})
	a := startAgent(t, t.TempDir(), startGroup(t, wholeList(targetMembers), more, lapse))
	defer a.Close()
	r := watchAsRelay(t, a.Addr())
	waitFor(t, "the list at the relay", func() bool { return r.has("s-0") == discovery.Up })
	began := time.Now()
	close(more)
	last := fmt.Sprint("s-", targetZoneMembers-1)
	for r.has(last) != discovery.Removed {
		if time.Since(began) > targetInForce {
			t.Fatalf("the agent has %d of %d changes after %v", targetMembers-a.State().Members, targetZoneMembers, targetInForce)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d members gone from a list of %d: in force after %v", targetZoneMembers, targetMembers, time.Since(began))
}

// bookedAgent is an agent with no group that has booked a whole list and some
// removals; it gives its folder.
func bookedAgent(t *testing.T, members, removed int) string {
	t.Helper()
	folder := t.TempDir()
	a := startAgent(t, folder, loopback.Free())
	defer a.Close()
	a.applyBatch([]client.Update{wholeList(members)})
	for i := range removed {
		a.applyBatch([]client.Update{removal(i, members+i+1)})
	}
	if s := a.State(); s.Members != members-removed || s.Revision != int64(1+removed) || s.Error != "" {
		t.Fatalf("%+v", s)
	}
	return folder
}

// What a journal holds is found again, and of one that was cut at any byte all
// that is whole; the next change goes on from there.
func TestJournalCutAtEveryByte(t *testing.T) {
	folder := bookedAgent(t, 5, 3)
	path := filepath.Join(folder, journalName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(text) + 1 {
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		whole := max(bytes.Count(text[:cut], []byte{'\n'})-1, 0)
		a := startAgent(t, folder, loopback.Free())
		if s := a.State(); s.Members != 5-whole || s.Revision != int64(1+whole) || s.At.Revision != int64(5+whole) {
			t.Fatalf("cut at %d: %+v, want %d changes", cut, s, whole)
		}
		a.Close()
	}
}

// After a torn end, what is booked next is found again.
func TestJournalGoesOnAfterTornEnd(t *testing.T) {
	folder := bookedAgent(t, 5, 2)
	path := filepath.Join(folder, journalName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, folder, loopback.Free())
	a.applyBatch([]client.Update{removal(3, 9), removal(4, 10)})
	a.Close()
	a = startAgent(t, folder, loopback.Free())
	defer a.Close()
	if s := a.State(); s.Members != 2 || s.Revision != 4 || s.At.Revision != 10 {
		t.Errorf("%+v", s)
	}
}

// A flipped bit is noticed: nothing behind it is used.
func TestDamagedJournalIsNotUsed(t *testing.T) {
	folder := bookedAgent(t, 5, 3)
	list, err := os.ReadFile(filepath.Join(folder, listName))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, journalName))
	if err != nil {
		t.Fatal(err)
	}
	var base uint32
	if _, err := fmt.Sscanf(string(text), journalHeader, &base); err != nil || len(list) == 0 {
		t.Fatal(err)
	}
	whole, _ := decodeJournal(text, base)
	for at := range text {
		bad := bytes.Clone(text)
		bad[at] ^= 1
		entries, _ := decodeJournal(bad, base)
		if len(entries) >= len(whole) {
			t.Fatalf("byte %d: %d entries used", at, len(entries))
		}
		for i := range entries {
			if entries[i].Revision != whole[i].Revision {
				t.Fatalf("byte %d: entry %d is another", at, i)
			}
		}
	}
}

// An older program keeps no journal: once it has written a list of its own,
// what stands in the journal is of the past.
func TestJournalOfAnotherListIsNotUsed(t *testing.T) {
	folder := bookedAgent(t, 5, 3)
	older, err := encodeList(&savedList{At: client.Position{Epoch: "e", Revision: 6}, Revision: 2,
		Members: map[string]discovery.Member{"s-4": listMember(4)}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, listName), older, 0o600); err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, folder, loopback.Free())
	a.applyBatch([]client.Update{removal(4, 7)})
	a.Close()
	a = startAgent(t, folder, loopback.Free())
	defer a.Close()
	if s := a.State(); s.Members != 0 || s.Revision != 3 || s.At.Revision != 7 {
		t.Errorf("%+v", s)
	}
}

// The journal stays within the size of the list, or its least, and what a
// restart finds after it was begun anew is whole.
func TestJournalIsBegunAnew(t *testing.T) {
	folder := t.TempDir()
	a := startAgent(t, folder, loopback.Free())
	a.applyBatch([]client.Update{wholeList(3000)})
	revision := 3000
	for round := 0; round < 12; round++ {
		var news []client.Update
		for i := range 1000 {
			revision++
			n := removal(i, revision)
			if round%2 == 1 {
				n.Members[0].Phase = discovery.Up
			}
			news = append(news, n)
		}
		for from := 0; from < len(news); {
			from += a.applyBatch(news[from:])
		}
		size := a.journal.size
		if most := max(minJournalBytes, a.journal.listBytes) + 300*maxBatchChanges; size > most {
			t.Fatalf("the journal has %d bytes, %d at most", size, most)
		}
	}
	want := a.State()
	a.Close()
	a = startAgent(t, folder, loopback.Free())
	defer a.Close()
	if s := a.State(); s.Members != want.Members || s.Revision != want.Revision || s.At != want.At {
		t.Errorf("%+v, want %+v", s, want)
	}
}

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

// The largest planned fleet: its members, the members of one of its zones, and the time
// within which a change has to reach the relays.
const (
	targetMembers     = 31000
	targetZoneMembers = 3875
	targetDelay       = 16 * time.Second
)

func testMember(i int) discovery.Member {
	return discovery.Member{ID: fmt.Sprint("s-", i), HostPort: fmt.Sprintf("127.0.0.1:%d", i+1), Locality: "a", Flavor: "agent",
		Cell: i, Phase: discovery.Up, Size: 1}
}

func completeUpdate(members int) client.Update {
	update := client.Update{List: discovery.List{Revision: int64(members), Complete: true}, Epoch: "e"}
	for i := range members {
		update.Members = append(update.Members, testMember(i))
	}
	return update
}

// removalUpdate returns the update of a revision that removes member i.
func removalUpdate(i, revision int) client.Update {
	m := testMember(i)
	m.Phase = discovery.Removed
	return client.Update{List: discovery.List{Revision: int64(revision), Members: []discovery.Member{m}}, Epoch: "e"}
}

// startStubGroup starts a server in place of a group. It sends the first update of a watch
// at once, and the rest when the channel more is closed. It returns its host:port.
func startStubGroup(t *testing.T, first client.Update, more <-chan struct{}, rest []client.Update) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		encoder, response := json.NewEncoder(w), http.NewResponseController(w)
		encoder.Encode(first)
		response.Flush()
		for keepAlive := time.NewTicker(time.Second); ; {
			select {
			case <-keepAlive.C:
				fmt.Fprintln(w)
				response.Flush()
			case <-r.Context().Done():
				return
			case <-more:
				for _, update := range rest {
					encoder.Encode(update)
				}
				response.Flush()
				more = nil
			}
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestExpiryOfZoneReachesRelayInTime checks that the relay is sent all changes in time
// when all members of a zone of the largest planned fleet expire at once, each in a
// change of its own. If the agent wrote the complete list for each change, the last one
// would reach the relay minutes later.
func TestExpiryOfZoneReachesRelayInTime(t *testing.T) {
	var removals []client.Update
	for i := range targetZoneMembers {
		removals = append(removals, removalUpdate(i, targetMembers+i+1))
	}
	more := make(chan struct{})
	a := startAgent(t, t.TempDir(), startStubGroup(t, completeUpdate(targetMembers), more, removals))
	defer a.Close()
	r := watchAsRelay(t, a.Addr())
	waitFor(t, "the relay to have the list", func() bool { return r.phaseOf("s-0") == discovery.Up })
	start := time.Now()
	close(more)
	lastID := fmt.Sprint("s-", targetZoneMembers-1)
	for r.phaseOf(lastID) != discovery.Removed {
		if time.Since(start) > targetDelay {
			t.Fatalf("the relay lacks the last change: the agent has %d of %d changes after %v", targetMembers-a.State().Members, targetZoneMembers, targetDelay)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d members removed from a list of %d: at the relay after %v", targetZoneMembers, targetMembers, time.Since(start))
}

// saveListAndRemovals has an agent without a group save a complete list and some
// removals, and returns the agent's folder.
func saveListAndRemovals(t *testing.T, members, removed int) string {
	t.Helper()
	folder := t.TempDir()
	a := startAgent(t, folder, loopback.Free())
	defer a.Close()
	a.applyBatch([]client.Update{completeUpdate(members)})
	for i := range removed {
		a.applyBatch([]client.Update{removalUpdate(i, members+i+1)})
	}
	if s := a.State(); s.Members != members-removed || s.Revision != int64(1+removed) || s.Error != "" {
		t.Fatalf("state after saving: %+v", s)
	}
	return folder
}

// TestJournalCutAtAnyByteKeepsCompleteEntries checks that all complete entries are loaded
// of a journal that is cut at any byte.
func TestJournalCutAtAnyByteKeepsCompleteEntries(t *testing.T) {
	folder := saveListAndRemovals(t, 5, 3)
	path := filepath.Join(folder, journalName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(text) + 1 {
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		completeEntries := max(bytes.Count(text[:cut], []byte{'\n'})-1, 0)
		a := startAgent(t, folder, loopback.Free())
		if s := a.State(); s.Members != 5-completeEntries || s.Revision != int64(1+completeEntries) || s.At.Revision != int64(5+completeEntries) {
			t.Fatalf("journal cut at byte %d: state %+v, want %d changes loaded", cut, s, completeEntries)
		}
		a.Close()
	}
}

// TestEntriesAppendedAfterTornEndAreLoaded checks that entries are loaded that were
// appended to a journal whose last entry was torn.
func TestEntriesAppendedAfterTornEndAreLoaded(t *testing.T) {
	folder := saveListAndRemovals(t, 5, 2)
	path := filepath.Join(folder, journalName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, folder, loopback.Free())
	a.applyBatch([]client.Update{removalUpdate(3, 9), removalUpdate(4, 10)})
	a.Close()
	a = startAgent(t, folder, loopback.Free())
	defer a.Close()
	if s := a.State(); s.Members != 2 || s.Revision != 4 || s.At.Revision != 10 {
		t.Errorf("state after a restart: %+v", s)
	}
}

// TestJournalEntriesAfterFlippedBitAreRejected checks that only entries before a flipped
// bit are decoded.
func TestJournalEntriesAfterFlippedBitAreRejected(t *testing.T) {
	folder := saveListAndRemovals(t, 5, 3)
	list, err := os.ReadFile(filepath.Join(folder, listName))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, journalName))
	if err != nil {
		t.Fatal(err)
	}
	var listChecksum uint32
	if _, err := fmt.Sscanf(string(text), journalHeader, &listChecksum); err != nil || len(list) == 0 {
		t.Fatal(err)
	}
	allEntries, _ := decodeJournal(text, listChecksum)
	for offset := range text {
		corrupted := bytes.Clone(text)
		corrupted[offset] ^= 1
		entries, _ := decodeJournal(corrupted, listChecksum)
		if len(entries) >= len(allEntries) {
			t.Fatalf("a flipped bit in byte %d: %d entries were decoded, want fewer", offset, len(entries))
		}
		for i := range entries {
			if entries[i].Revision != allEntries[i].Revision {
				t.Fatalf("a flipped bit in byte %d changed entry %d", offset, i)
			}
		}
	}
}

// TestJournalOfAnotherListIsIgnored checks that a journal isn't applied to a list file that
// was written later by a version without a journal.
func TestJournalOfAnotherListIsIgnored(t *testing.T) {
	folder := saveListAndRemovals(t, 5, 3)
	older, err := encodeList(&savedList{At: client.Position{Epoch: "e", Revision: 6}, Revision: 2,
		Members: map[string]discovery.Member{"s-4": testMember(4)}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, listName), older, 0o600); err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, folder, loopback.Free())
	a.applyBatch([]client.Update{removalUpdate(4, 7)})
	a.Close()
	a = startAgent(t, folder, loopback.Free())
	defer a.Close()
	if s := a.State(); s.Members != 0 || s.Revision != 3 || s.At.Revision != 7 {
		t.Errorf("state after a restart: %+v", s)
	}
}

// TestJournalSizeIsBounded checks that the journal is at most one batch longer than the
// list file or minJournalBytes, and that a restart after a reset loads the complete list.
func TestJournalSizeIsBounded(t *testing.T) {
	folder := t.TempDir()
	a := startAgent(t, folder, loopback.Free())
	a.applyBatch([]client.Update{completeUpdate(3000)})
	revision := 3000
	for round := 0; round < 12; round++ {
		var updates []client.Update
		for i := range 1000 {
			revision++
			update := removalUpdate(i, revision)
			if round%2 == 1 {
				update.Members[0].Phase = discovery.Up
			}
			updates = append(updates, update)
		}
		for from := 0; from < len(updates); {
			from += a.applyBatch(updates[from:])
		}
		size := a.journal.size
		if maxSize := max(minJournalBytes, a.journal.listBytes) + 300*maxBatchChanges; size > maxSize {
			t.Fatalf("the journal has %d bytes, want at most %d", size, maxSize)
		}
	}
	want := a.State()
	a.Close()
	a = startAgent(t, folder, loopback.Free())
	defer a.Close()
	if s := a.State(); s.Members != want.Members || s.Revision != want.Revision || s.At != want.At {
		t.Errorf("state after a restart: %+v, want %+v", s, want)
	}
}

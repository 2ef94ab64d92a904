package agent

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/loopback"
	"plovershore/internal/registry/client"
)

// The files in testdata/before were written by the program as it was before its
// packages and types were renamed (commit dd19e87). folder is the folder of an
// agent, with a list, a journal of changes to it and a notice that is still
// pending. encodings.json has one value of each type that is sent or stored, with
// every field set. After an upgrade an agent is started with such a folder, so
// none of these texts may change.
const earlierFolder = "testdata/before"

// copyEarlierFolder copies the earlier program's folder to a temporary one, and returns
// its path.
func copyEarlierFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(earlierFolder, "folder"))); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{listName, journalName, "notices"} { // they may be read-only in the checkout
		if err := os.Chmod(filepath.Join(folder, name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// TestFolderOfEarlierProgramIsServedAndItsNoticeSent checks that an agent that is started
// with the earlier program's folder serves the list with all changes of the journal, and
// sends the spooled notice to the group.
func TestFolderOfEarlierProgramIsServedAndItsNoticeSent(t *testing.T) {
	folder := copyEarlierFolder(t)
	group := loopback.Free()
	a := startAgent(t, folder, group)
	s := a.State()
	if s.Members != 5 || s.Revision != 8 || s.At != (client.Position{Epoch: "be3a8c26da3160e4c0dbdee5", Revision: 12}) || s.Spooled != 1 || s.Error != "" {
		t.Errorf("state: %+v", s)
	}
	if _, err := os.Stat(filepath.Join(folder, listName+".damaged")); err == nil {
		t.Error("the list file was renamed as a corrupt one")
	}
	resp, err := http.Get("http://" + a.Addr() + discovery.ListPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list discovery.List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	phases := map[string]string{}
	for _, m := range list.Members {
		phases[m.ID] = m.Phase
	}
	if len(phases) != 5 || phases["s-1"] != discovery.Up || phases["s-3"] != discovery.Draining || phases["s-6"] != discovery.Up || phases["static-1"] != discovery.Up {
		t.Errorf("phases: %v", phases)
	}
	a.Close()

	notices := make(chan string, 10)
	listener, err := net.Listen("tcp", group)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != discovery.NoticePath {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var text bytes.Buffer
		text.ReadFrom(r.Body)
		notices <- text.String()
		w.WriteHeader(http.StatusNoContent)
	})}
	served := make(chan struct{})
	go func() { defer close(served); server.Serve(listener) }()
	defer func() { server.Close(); <-served }()
	a = startAgent(t, folder, group)
	defer a.Close()
	select {
	case got := <-notices:
		if got != "{\"message\":\"m-1\",\"outcome\":\"given_up\"}\n" {
			t.Errorf("the group was sent %s, want the spooled notice", got)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the spooled notice was not sent within 30 s")
	}
	waitFor(t, "the spool to be empty", func() bool { return a.State().Spooled == 0 })
}

// TestEncodingsOfEarlierProgramAreKept checks that every JSON key of every type that is sent
// or stored is the earlier program's.
func TestEncodingsOfEarlierProgramAreKept(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(earlierFolder, "encodings.json"))
	if err != nil {
		t.Fatal(err)
	}
	var earlier map[string]json.RawMessage
	if err := json.Unmarshal(text, &earlier); err != nil {
		t.Fatal(err)
	}
	values := map[string]any{"list": &savedList{}, "journalEntry": &journalEntry{}, "Status": &Status{}}
	if len(values) != len(earlier) {
		t.Errorf("%d types are compared, but the earlier program wrote %d", len(values), len(earlier))
	}
	for name, value := range values {
		decoder := json.NewDecoder(bytes.NewReader(earlier[name]))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(value); err != nil {
			t.Fatalf("decoding %s: %v", name, err)
		}
		if encoded, err := json.Marshal(value); err != nil || !bytes.Equal(encoded, earlier[name]) {
			t.Errorf("%s after decoding and encoding, error %v:\n%s\nwant\n%s", name, err, encoded, earlier[name])
		}
	}
}

// TestListAndJournalOfEarlierProgramAreReencodedUnchanged checks that the earlier
// program's list file and each line of its journal are the same after decoding and
// encoding.
func TestListAndJournalOfEarlierProgramAreReencodedUnchanged(t *testing.T) {
	folder := filepath.Join(earlierFolder, "folder")
	list, err := os.ReadFile(filepath.Join(folder, listName))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeList(list)
	if err != nil {
		t.Fatal(err)
	}
	if encoded, err := encodeList(decoded); err != nil || !bytes.Equal(encoded, list) {
		t.Errorf("list file after decoding and encoding, error %v:\n%s\nwant\n%s", err, encoded, list)
	}
	journal, err := os.ReadFile(filepath.Join(folder, journalName))
	if err != nil {
		t.Fatal(err)
	}
	header, lines, _ := bytes.Cut(journal, []byte{'\n'})
	if !bytes.HasPrefix(header, []byte("troutchanges 1 ")) || !bytes.HasPrefix(list, []byte("troutlist 1 ")) {
		t.Errorf("header of the journal %q, of the list %.20q", header, list)
	}
	var encoded []byte
	for _, line := range bytes.Split(bytes.TrimSuffix(lines, []byte{'\n'}), []byte{'\n'}) {
		entry, err := decodeEntry(line)
		if err != nil {
			t.Fatal(err)
		}
		text, err := entry.encode()
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, text...)
	}
	if !bytes.Equal(encoded, lines) {
		t.Errorf("journal after decoding and encoding:\n%s\nwant\n%s", encoded, lines)
	}
}

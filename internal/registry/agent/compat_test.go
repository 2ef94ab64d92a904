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
const beforeFolder = "testdata/before"

// copyBefore copies the earlier program's folder to a temporary one, and returns its path.
func copyBefore(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(beforeFolder, "folder"))); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{listName, journalName, "notices"} { // they may be read-only in the checkout
		if err := os.Chmod(filepath.Join(folder, name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// TestFolderOfTheEarlierProgram checks that an agent that is started with the earlier
// program's folder serves the list with all changes of the journal, and sends the spooled
// notice to the group.
func TestFolderOfTheEarlierProgram(t *testing.T) {
	folder := copyBefore(t)
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
	ln, err := net.Listen("tcp", group)
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
	go func() { defer close(served); server.Serve(ln) }()
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

// TestEncodingsOfTheEarlierProgram checks that every JSON key of every type that is sent
// or stored is the earlier program's.
func TestEncodingsOfTheEarlierProgram(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(beforeFolder, "encodings.json"))
	if err != nil {
		t.Fatal(err)
	}
	var before map[string]json.RawMessage
	if err := json.Unmarshal(text, &before); err != nil {
		t.Fatal(err)
	}
	values := map[string]any{"list": &savedList{}, "journalEntry": &journalEntry{}, "Status": &Status{}}
	if len(values) != len(before) {
		t.Errorf("%d types are compared, but the earlier program wrote %d", len(values), len(before))
	}
	for name, v := range values {
		in := json.NewDecoder(bytes.NewReader(before[name]))
		in.DisallowUnknownFields()
		if err := in.Decode(v); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if again, err := json.Marshal(v); err != nil || !bytes.Equal(again, before[name]) {
			t.Errorf("%s: %v\n%s\nwant\n%s", name, err, again, before[name])
		}
	}
}

// TestStoredFormOfTheEarlierProgram checks that the earlier program's list file and each
// line of its journal are the same after decoding and encoding.
func TestStoredFormOfTheEarlierProgram(t *testing.T) {
	folder := filepath.Join(beforeFolder, "folder")
	list, err := os.ReadFile(filepath.Join(folder, listName))
	if err != nil {
		t.Fatal(err)
	}
	k, err := decodeList(list)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := encodeList(k); err != nil || !bytes.Equal(again, list) {
		t.Errorf("%v\n%s\nwant\n%s", err, again, list)
	}
	journal, err := os.ReadFile(filepath.Join(folder, journalName))
	if err != nil {
		t.Fatal(err)
	}
	head, lines, _ := bytes.Cut(journal, []byte{'\n'})
	if !bytes.HasPrefix(head, []byte("troutchanges 1 ")) || !bytes.HasPrefix(list, []byte("troutlist 1 ")) {
		t.Errorf("header of the journal %q, of the list %.20q", head, list)
	}
	var again []byte
	for _, line := range bytes.Split(bytes.TrimSuffix(lines, []byte{'\n'}), []byte{'\n'}) {
		entry, err := decodeEntry(line)
		if err != nil {
			t.Fatal(err)
		}
		text, err := entry.encode()
		if err != nil {
			t.Fatal(err)
		}
		again = append(again, text...)
	}
	if !bytes.Equal(again, lines) {
		t.Errorf("%s\nwant\n%s", again, lines)
	}
}

package registry

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/loopback"
)

// The files in testdata/before were written by the program as it was before its
// packages and types were renamed (commit dd19e87):
//
//   - node.tar.gz: the data folder of a group of one, with a Raft snapshot and the
//     log entries after it
//   - members.json, duties.json, orders.json, zones.json, snapshot.json: the
//     responses of that node just before it was stopped
//   - commands.jsonl: the commands in the log of an earlier state of that folder
//     (each operation at least once)
//   - replayed.json: the earlier program's snapshot after these commands
//   - rejected_commands.jsonl and rejected_results.jsonl: further commands, which
//     the earlier program rejects after these, and its results
//   - encodings.json: one value of each type that is sent or stored, with every
//     field set
//
// The two programs share a data folder, a Raft log and, during a rolling upgrade, a
// group, so none of these texts may change.
const earlierFolder = "testdata/before"

func readEarlierFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(earlierFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// unpackEarlierDataFolder unpacks the earlier program's data folder into a temporary folder.
func unpackEarlierDataFolder(t *testing.T) (folder string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "data")
	archive, err := gzip.NewReader(bytes.NewReader(readEarlierFile(t, "node.tar.gz")))
	if err != nil {
		t.Fatal(err)
	}
	for entries := tar.NewReader(archive); ; {
		header, err := entries.Next()
		if errors.Is(err, io.EOF) {
			return folder
		}
		if err != nil {
			t.Fatal(err)
		}
		if header.Typeflag != tar.TypeReg {
			continue
		}
		text, err := io.ReadAll(entries)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, header.Name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func startNodeWithEarlierData(t *testing.T) *Node {
	t.Helper()
	c := DefaultConfig()
	c.DataDir, c.Listen, c.Raft = unpackEarlierDataFolder(t), loopback.Free(), loopback.Free()
	if err := c.validate(); err != nil {
		t.Fatal(err)
	}
	n, err := Start(&c, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	waitFor(t, "the node to lead", func() bool { _, self := n.leader(); return self })
	return n
}

// TestDataFolderOfEarlierProgramIsServedUnchanged checks that a node that is started with
// the earlier program's data folder answers each read with that program's text, and that
// retries, fencing tokens and new writes work as they did there.
func TestDataFolderOfEarlierProgramIsServedUnchanged(t *testing.T) {
	t.Parallel()
	n := startNodeWithEarlierData(t)
	waitFor(t, "the log to be applied", func() bool { _, revision, _ := n.store.position(); return revision == 12 })
	for path, name := range map[string]string{SnapshotPath: "snapshot.json", MembersPath: "members.json", RolesPath: "duties.json",
		OperationsPath: "orders.json", ZonesPath: "zones.json"} {
		status, _, text := sendRequest(t, n, "GET", path, "", "")
		if want := string(readEarlierFile(t, name)); status != 200 || strings.TrimSpace(text) != strings.TrimSpace(want) {
			t.Errorf("GET %s: response %d\n%s\nwant 200\n%s", path, status, text, want)
		}
	}
	// A retry of a request that the earlier program answered changes nothing.
	status, _, text := sendRequest(t, n, "POST", MembersPath, "q-24", registrationJSON)
	if status != 200 || strings.TrimSpace(text) != `{"revision":12,"status":200,"changed":12}` {
		t.Errorf("response to a retried request: %d %s", status, text)
	}
	// The role's holder may use its token, and any other token is rejected. The token of
	// the next grant follows the last token, which the epoch that began with a restore
	// had raised.
	const token, lastToken = 1839327831041, 1839327837184
	if status, _, text = sendRequest(t, n, "POST", RolesPath+"/rollout/note", "r-1", fmt.Sprintf(`{"token":%d,"note":"done"}`, token+1)); status != 412 {
		t.Errorf("response to a note with another token: %d %s, want 412", status, text)
	}
	if status, _, text = sendRequest(t, n, "POST", RolesPath+"/rollout/note", "r-2", fmt.Sprintf(`{"token":%d,"note":"done"}`, token)); status != 200 {
		t.Errorf("response to a note with the holder's token: %d %s, want 200", status, text)
	}
	status, _, text = sendRequest(t, n, "POST", RolesPath+"/salvage/grant", "r-3", `{"session":"session-1"}`)
	if want := fmt.Sprintf(`{"revision":12,"status":200,"token":%d,"note":"at relay 4","term":2}`, lastToken+1); status != 200 || strings.TrimSpace(text) != want {
		t.Errorf("response to the next grant: %d %s, want 200 %s", status, text, want)
	}
	if status, _, text = sendRequest(t, n, "POST", MembersPath+"/s-3/phase", "r-4", `{"phase":"up"}`); status != 200 {
		t.Errorf("response to the end of a drain: %d %s, want 200", status, text)
	}
}

// TestSnapshotOfEarlierProgramIsDecoded checks the decoded values, field by field, of the
// earlier program's snapshot.
func TestSnapshotOfEarlierProgramIsDecoded(t *testing.T) {
	t.Parallel()
	s, err := ReadState(bytes.NewReader(readEarlierFile(t, "snapshot.json")))
	if err != nil {
		t.Fatal(err)
	}
	if s.Epoch != "be3a8c26da3160e4c0dbdee5" || s.Revision != 12 || s.LastToken != 1839327837184 || len(s.Members) != 5 {
		t.Errorf("epoch %s, revision %d, last token %d, %d members", s.Epoch, s.Revision, s.LastToken, len(s.Members))
	}
	withTTL := Member{Member: discovery.Member{ID: "s-2", HostPort: "127.0.0.1:7002", Locality: "b", Flavor: "agent", Cell: 2,
		Phase: discovery.Up, Size: 1, UpSince: 1796218585841}, TTL: time.Hour, Holder: "h-2", Since: 4, Changed: 4}
	if s.Members["s-2"] != withTTL {
		t.Errorf("member with a time to live: %+v", s.Members["s-2"])
	}
	if m := s.Members["s-3"]; m.Phase != discovery.Draining || m.Changed != 6 {
		t.Errorf("draining member: %+v", m)
	}
	if m := s.Members["static-1"]; !m.Static || m.Cell != 3 {
		t.Errorf("static member: %+v", m)
	}
	if want := (Session{ID: "session-1", Controller: "w-1", TTL: 5 * time.Minute}); s.Sessions["session-1"] != want {
		t.Errorf("session: %+v", s.Sessions["session-1"])
	}
	rollout := Role{Name: "rollout", Holder: "session-1", Controller: "w-1", Token: 1839327831041, Term: 1, Note: "wave 3 of 3", GrantedAt: 1796218585962}
	if s.Roles["rollout"] != rollout {
		t.Errorf("held role: %+v", s.Roles["rollout"])
	}
	if released := s.Roles["salvage"]; released.Holder != "" || released.Controller != "w-2" || released.Successor != "w-1" || released.Failures != 1 || released.Note != "at relay 4" || released.ReleasedAt == 0 {
		t.Errorf("released role: %+v", released)
	}
	if !s.Roles["list-keeper"].Disabled {
		t.Errorf("disabled role: %+v", s.Roles["list-keeper"])
	}
	if s.Zones["a"] != "north" || s.Zones["b"] != "south" || len(s.Zones) != 2 {
		t.Errorf("zones: %v", s.Zones)
	}
	operation := s.Operations["rollout/spring"]
	if string(operation.Spec) != `{"pace":3}` || operation.DesiredState != DesiredPause || string(operation.Progress) != `{"wave":2}` || operation.Message != "wave 2 of 3" || operation.Done {
		t.Errorf("operation: %+v", operation)
	}
}

// TestCommandsOfEarlierProgramGiveSameStateAndResults checks that each command of the
// earlier program's log is decoded and encoded without loss, that applying all of them
// gives its snapshot byte for byte, and that rejected commands have its results.
func TestCommandsOfEarlierProgramGiveSameStateAndResults(t *testing.T) {
	s := NewState()
	seen := map[Op]bool{}
	for _, text := range bytes.Split(bytes.TrimSpace(readEarlierFile(t, "commands.jsonl")), []byte{'\n'}) {
		var c Command
		decodeStrictly(t, text, &c)
		if encoded, err := json.Marshal(c); err != nil || !bytes.Equal(encoded, text) {
			t.Errorf("command after decoding and encoding, error %v:\n%s\nwant\n%s", err, encoded, text)
		}
		seen[c.Op] = true
		s.Apply(c)
	}
	for _, op := range []Op{OpAdd, OpPhase, OpRemove, OpExpire, OpEpoch, OpZone, OpSession, OpSessionEnd, OpGrant, OpNote, OpRelease, OpDisable, OpOperation, OpProgress} {
		if !seen[op] {
			t.Errorf("no command with operation %s in commands.jsonl", op)
		}
	}
	text, err := json.Marshal(s)
	if want := bytes.TrimSpace(readEarlierFile(t, "replayed.json")); err != nil || !bytes.Equal(text, want) {
		t.Errorf("state after all commands, error %v:\n%s\nwant\n%s", err, text, want)
	}
	// Results are part of the replicated state. So the result of a rejected command, with
	// its text, has to be the same on each node of a group.
	commands := bytes.Split(bytes.TrimSpace(readEarlierFile(t, "rejected_commands.jsonl")), []byte{'\n'})
	results := bytes.Split(bytes.TrimSpace(readEarlierFile(t, "rejected_results.jsonl")), []byte{'\n'})
	for i, text := range commands {
		var c Command
		decodeStrictly(t, text, &c)
		if result, err := json.Marshal(s.Apply(c)); err != nil || !bytes.Equal(result, results[i]) {
			t.Errorf("result of the rejected command %s, error %v:\n%s\nwant\n%s", text, err, result, results[i])
		}
	}
}

// TestEncodingsOfEarlierProgramAreKept checks that every JSON key of every type that is sent
// or stored is the earlier program's.
func TestEncodingsOfEarlierProgramAreKept(t *testing.T) {
	var earlier map[string]json.RawMessage
	if err := json.Unmarshal(readEarlierFile(t, "encodings.json"), &earlier); err != nil {
		t.Fatal(err)
	}
	values := map[string]any{"Command": &Command{}, "Result": &Result{}, "State": &State{}, "line": &watchLine{}, "Registration": &Registration{},
		"ZoneStatus": &ZoneStatus{}, "Heartbeat": &Heartbeat{}, "Status": &Status{}, "problem": &errorResponse{},
		"SessionRequest": &SessionRequest{}, "RoleRequest": &RoleRequest{}, "RoleList": &RoleList{}}
	if len(values) != len(earlier) {
		t.Errorf("%d types are compared, but the earlier program wrote %d", len(values), len(earlier))
	}
	for name, value := range values {
		decodeStrictly(t, earlier[name], value)
		if field := emptyField(reflect.ValueOf(value).Elem(), name); field != "" {
			t.Errorf("%s: empty, since it is missing in the earlier program's text", field)
		}
		encoded, err := json.Marshal(value)
		if err != nil || !bytes.Equal(encoded, earlier[name]) {
			t.Errorf("%s after decoding and encoding, error %v:\n%s\nwant\n%s", name, err, encoded, earlier[name])
		}
	}
}

func decodeStrictly(t *testing.T, text []byte, v any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		t.Fatalf("decoding %s: %v", text, err)
	}
}

// emptyField returns the path of an exported field, at any depth, that has its zero
// value, or "" if there is none.
func emptyField(v reflect.Value, path string) string {
	if v.IsZero() {
		return path
	}
	switch v.Kind() {
	case reflect.Struct:
		if _, ok := v.Interface().(time.Time); ok {
			return ""
		}
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			if empty := emptyField(v.Field(i), path+"."+field.Name); empty != "" {
				return empty
			}
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			if empty := emptyField(v.MapIndex(key), path+"[]"); empty != "" {
				return empty
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if empty := emptyField(v.Index(i), path+"[]"); empty != "" {
				return empty
			}
		}
	}
	return ""
}

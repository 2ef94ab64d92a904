package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry/client"
)

// The list on disk is a whole list and a journal of what has changed since. A
// change costs its own bytes and one sync, whatever the length of the list; the
// whole is written anew only once the journal has grown as long as it.

const (
	journalName     = "list.changes"
	journalHeader   = "troutchanges 1 %08x\n" // version, and the checksum of the whole list that it goes on from
	journalRecord   = "%08x %s\n"             // CRC-32C of the JSON text, and the text
	minJournalBytes = 1 << 20                 // a shorter journal is not worth writing the whole list anew
)

// journalEntry is one change of the list: what the agent told as one revision.
type journalEntry struct {
	At       client.Position    `json:"at"`
	Revision int64              `json:"revision"`
	Members  []discovery.Member `json:"members"`
	Saved    time.Time          `json:"saved"`
}

func (e *journalEntry) encode() ([]byte, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return fmt.Appendf(nil, journalRecord, crc32.Checksum(text, castagnoli), text), nil
}

// decodeJournal reads the entries that go on from the list with the checksum
// base, up to the first that is torn or damaged, and the bytes up to there.
func decodeJournal(text []byte, base uint32) (entries []journalEntry, sound int) {
	head := fmt.Appendf(nil, journalHeader, base)
	if !bytes.HasPrefix(text, head) {
		return nil, 0
	}
	sound = len(head)
	for {
		line, _, whole := bytes.Cut(text[sound:], []byte{'\n'})
		if !whole {
			return entries, sound
		}
		entry, err := decodeEntry(line)
		if err != nil {
			return entries, sound
		}
		entries = append(entries, *entry)
		sound += len(line) + 1
	}
}

func decodeEntry(line []byte) (*journalEntry, error) {
	sum, text, ok := bytes.Cut(line, []byte{' '})
	if !ok || string(sum) != fmt.Sprintf("%08x", crc32.Checksum(text, castagnoli)) {
		return nil, errors.New("list: a change that is damaged")
	}
	entry := &journalEntry{}
	if err := json.Unmarshal(text, entry); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for i := range entry.Members {
		if err := entry.Members[i].Validate(); err != nil {
			return nil, fmt.Errorf("list: %w", err)
		}
	}
	return entry, nil
}

// journal is the file of changes, open at its end.
type journal struct {
	path string
	file *os.File
	size int64
	base int64 // bytes of the whole list that it goes on from
}

// load takes up the changes that go on from a list, and cuts off what is torn.
func (j *journal) load(k *savedList, base uint32) error {
	text, err := os.ReadFile(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	entries, sound := decodeJournal(text, base)
	if sound == 0 {
		return nil // of another list, such as one that an older program has written since
	}
	for i := range entries {
		k.apply(&entries[i])
	}
	if j.file, err = os.OpenFile(j.path, os.O_RDWR, 0o600); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if err := j.file.Truncate(int64(sound)); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	j.size = int64(sound)
	return nil
}

// isFull reports whether the next entry had better be a whole list.
func (j *journal) isFull() bool {
	return j.file == nil || j.size > max(minJournalBytes, j.base)
}

// reset begins the journal anew behind a whole list that is on disk.
func (j *journal) reset(base uint32, bytes int64) error {
	j.close()
	file, err := os.OpenFile(j.path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	head := fmt.Appendf(nil, journalHeader, base)
	_, err = file.Write(head)
	if err = errors.Join(err, file.Sync(), syncDir(filepath.Dir(j.path))); err != nil {
		return fmt.Errorf("list: %w", errors.Join(err, file.Close()))
	}
	j.file, j.size, j.base = file, int64(len(head)), bytes
	return nil
}

// append books entries; with no error they outlast the process and the power.
// After an error the whole list has to be written anew.
func (j *journal) append(entries []journalEntry) error {
	var text []byte
	for i := range entries {
		line, err := entries[i].encode()
		if err != nil {
			return err
		}
		text = append(text, line...)
	}
	_, err := j.file.WriteAt(text, j.size)
	if err = errors.Join(err, j.file.Sync()); err != nil {
		j.close()
		return fmt.Errorf("list: %w", err)
	}
	j.size += int64(len(text))
	return nil
}

func (j *journal) close() {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
}

// apply brings the list up to date with one change.
func (k *savedList) apply(e *journalEntry) {
	k.At, k.Revision, k.Saved = e.At, e.Revision, e.Saved
	for _, m := range e.Members {
		if m.Phase == discovery.Removed {
			delete(k.Members, m.ID)
		} else {
			k.Members[m.ID] = m
		}
	}
}

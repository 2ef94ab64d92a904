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
)

// The list on disk consists of the list file, a complete list (written here), and a
// journal of the changes since (journal.go). So the cost of saving a change is its own
// bytes and one sync, and doesn't depend on the length of the list. The complete list is
// written again once the journal is longer than it and than minJournalBytes.

const (
	listName        = "list"
	newListSuffix   = ".new"     // of the new list file until it is complete
	corruptedSuffix = ".damaged" // of a corrupt list file that was renamed

	// listHeader has the format's name and version, and the CRC-32C and the length of
	// the JSON text after it. The name is from before the program was renamed. It is
	// kept, since agents are started with folders of earlier versions.
	listHeader = "troutlist 1 %08x %d\n"
)

// ErrCorrupt means that the text of a file is not as an agent writes it.
var ErrCorrupt = errors.New("corrupt")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeList encodes a list as the text of the list file.
func encodeList(l *savedList) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return append(fmt.Appendf(nil, listHeader, crc32.Checksum(text, castagnoli), len(text)), text...), nil
}

// decodeList decodes the list file's text. An error wraps ErrCorrupt.
func decodeList(text []byte) (*savedList, error) {
	header, body, ok := bytes.Cut(text, []byte{'\n'})
	var checksum uint32
	var size int
	if _, err := fmt.Sscanf(string(header)+"\n", listHeader, &checksum, &size); !ok || err != nil {
		return nil, fmt.Errorf("list: %w header", ErrCorrupt)
	}
	if len(body) != size || crc32.Checksum(body, castagnoli) != checksum {
		return nil, fmt.Errorf("list: %w: %d bytes of %d, or a wrong checksum", ErrCorrupt, len(body), size)
	}
	l := &savedList{}
	if err := json.Unmarshal(body, l); err != nil {
		return nil, fmt.Errorf("list: %w: %w", ErrCorrupt, err)
	}
	for id, m := range l.Members {
		if err := m.Validate(); err != nil {
			return nil, fmt.Errorf("list: %w: member %q: %w", ErrCorrupt, id, err)
		}
		if id != m.ID {
			return nil, fmt.Errorf("list: %w: member %q has id %q", ErrCorrupt, id, m.ID)
		}
	}
	if l.Members == nil {
		l.Members = map[string]discovery.Member{}
	}
	return l, nil
}

// loadList loads the list from disk. It renames a corrupt list file and leaves the list
// empty, so that the group sends a complete one.
func (a *Agent) loadList() error {
	path := filepath.Join(a.options.Folder, listName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	l, err := decodeList(text)
	if err != nil {
		a.options.Log.Error("saved list rejected", "file", path, "err", err)
		if err := os.Rename(path, path+corruptedSuffix); err != nil {
			return fmt.Errorf("agent: %w", err)
		}
		return nil
	}
	a.list = *l
	a.journal.listBytes = int64(len(text))
	return a.journal.load(&a.list, crc32.Checksum(text, castagnoli))
}

// saveChanges appends changes to the journal. It writes the complete list instead if the
// journal is full or not open, or appending fails. The caller holds a.mu.
func (a *Agent) saveChanges(entries []journalEntry) error {
	if !a.journal.isFull() {
		err := a.journal.append(entries)
		if err == nil {
			return nil
		}
		a.options.Log.Warn("journal append failed", "err", err)
	}
	a.list.Saved = time.Now()
	text, err := encodeList(&a.list)
	if err != nil {
		return err
	}
	a.journal.close() // its entries change the list file that is replaced now
	if err := writeFile(filepath.Join(a.options.Folder, listName), text); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return a.journal.reset(crc32.Checksum(text, castagnoli), int64(len(text)))
}

// writeFile replaces a file. After a crash at any point the file has either the old
// contents or the new ones.
func writeFile(path string, text []byte) error {
	f, err := os.OpenFile(path+newListSuffix, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+newListSuffix, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a folder, which makes renamed and new files in it durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Package cutfs is an in-memory file system that simulates power cuts. It guarantees no
// more than POSIX: data is durable once its file was synced, and a name once its folder
// was synced. A power cut keeps any part of all other changes, in units of a sector and in
// any order. Operations can also be made to fail. The package is for tests of the log and
// for relays under fault injection, and must not be used in production.
package cutfs

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"plovershore/internal/wal"
)

// Sector is the number of bytes that a disk writes atomically.
const Sector = 512

// Operations that are passed to FS.Before.
const (
	OpWrite    = "write"
	OpTruncate = "truncate"
	OpSync     = "sync"
	OpCreate   = "create"
	OpRename   = "rename"
	OpRemove   = "remove"
	OpMakeDir  = "mkdir"
	OpSyncDir  = "syncdir"
	OpStamp    = "mark"
)

// inode is a file or a folder, independent of its names.
type inode struct {
	dir       bool
	data      []byte // current contents, as programs see them
	durable   []byte
	unsynced  []*change // changes of the data since the last sync
	lockOwner *file
}

// change is something that a power cut may lose: part of a write, a new file size,
// or a change of names.
type change struct {
	seq   int
	inode *inode
	off   int64
	data  []byte // nil if the change sets the file size, which is then in off
	name  *nameChange
}

// nameChange is the creation (from is empty), removal (to is empty) or
// renaming of a file or folder.
type nameChange struct {
	from, to string
	inode    *inode
}

// FS is an in-memory file system. New creates it; the zero value is not usable. It is safe
// for concurrent use and need not be closed.
type FS struct {
	mu            sync.Mutex
	names         map[string]*inode // current names, as programs see them
	durableNames  map[string]*inode
	unsyncedNames []*change
	seq           int // number of the last change

	// Before is called ahead of each change with the operation (OpWrite and so on) and the
	// file's name. If it returns an error, the change fails with that error. It may call Cut.
	// It must only be set while no other goroutine uses the file system. It may be nil.
	Before func(operation, name string) error
	// ShortWrites makes a failing write store the first half of its data.
	ShortWrites bool
}

// New creates a file system that contains one durable folder.
func New(dir string) *FS {
	root := &inode{dir: true}
	return &FS{names: map[string]*inode{dir: root}, durableNames: map[string]*inode{dir: root}}
}

func (f *FS) before(operation, name string) error {
	if f.Before == nil {
		return nil
	}
	return f.Before(operation, name)
}

// assignSeq gives a change its position in the order in which all changes were made. The caller
// holds f.mu.
func (f *FS) assignSeq(c *change) *change {
	f.seq++
	c.seq = f.seq
	return c
}

// changeNames applies a change of names and records it as unsynced.
func (f *FS) changeNames(n *nameChange) {
	n.apply(f.names)
	f.unsyncedNames = append(f.unsyncedNames, f.assignSeq(&change{name: n}))
}

func errNotExist(operation, name string) error {
	return &os.PathError{Op: operation, Path: name, Err: os.ErrNotExist}
}

// Open implements wal.FS.
func (f *FS) Open(name string, mode wal.Mode) (wal.File, error) {
	name = filepath.Clean(name)
	if mode == wal.ModeCreate {
		return f.create(name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	if node == nil {
		return nil, errNotExist("open", name)
	}
	return &file{fs: f, inode: node, name: name}, nil
}

// create creates a file, or empties an existing one.
func (f *FS) create(name string) (wal.File, error) {
	if err := f.before(OpCreate, name); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if folder := f.names[filepath.Dir(name)]; folder == nil || !folder.dir {
		return nil, errNotExist("open", name)
	}
	node := f.names[name]
	if node == nil {
		node = &inode{}
		f.changeNames(&nameChange{to: name, inode: node})
	} else if len(node.data) > 0 {
		node.data = nil
		node.unsynced = append(node.unsynced, f.assignSeq(&change{inode: node}))
	}
	return &file{fs: f, inode: node, name: name}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	if err := f.before(OpRename, to); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[from]
	if node == nil {
		return errNotExist("rename", from)
	}
	f.changeNames(&nameChange{from: from, to: to, inode: node})
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	if err := f.before(OpRemove, name); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if node := f.names[name]; node != nil {
		f.changeNames(&nameChange{from: name, inode: node})
	}
	return nil
}

// MakeDir implements wal.FS.
func (f *FS) MakeDir(name string) error {
	f.mu.Lock()
	known := f.names[name] != nil
	f.mu.Unlock()
	if known {
		return nil
	}
	if err := f.before(OpMakeDir, name); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changeNames(&nameChange{to: name, inode: &inode{dir: true}})
	return nil
}

// apply changes names. Renaming or removing a folder includes everything in it.
func (n *nameChange) apply(names map[string]*inode) {
	if n.from == "" {
		names[n.to] = n.inode
		return
	}
	renamed := map[string]*inode{}
	for name, node := range names {
		if suffix, ok := strings.CutPrefix(name, n.from); ok && (suffix == "" || suffix[0] == '/') {
			delete(names, name)
			renamed[suffix] = node
		}
	}
	if n.to == "" {
		return
	}
	renamed[""] = n.inode // the old name may be missing, as it need not have become durable
	for suffix, node := range renamed {
		names[n.to+suffix] = node
	}
}

// affects reports whether the change adds or removes a name in the folder dir.
func (n *nameChange) affects(dir string) bool {
	return n.from != "" && filepath.Dir(n.from) == dir || n.to != "" && filepath.Dir(n.to) == dir
}

// Stat implements wal.FS.
func (f *FS) Stat(name string) (size int64, dir bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	if node == nil {
		return 0, false, errNotExist("stat", name)
	}
	return int64(len(node.data)), node.dir, nil
}

// List implements wal.FS.
func (f *FS) List(dir string) (names []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[dir] == nil {
		return nil, errNotExist("open", dir)
	}
	for name := range f.names {
		if filepath.Dir(name) == dir && name != dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	if err := f.before(OpSyncDir, dir); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unsyncedNames = slices.DeleteFunc(f.unsyncedNames, func(c *change) bool {
		if !c.name.affects(dir) {
			return false
		}
		c.name.apply(f.durableNames)
		return true
	})
	return nil
}

// OpenStampFile implements wal.FS. The stamp may become durable at any time, or never.
func (f *FS) OpenStampFile(name string) (wal.StampFile, error) {
	opened, err := f.Open(name, wal.ModeWrite)
	if err != nil {
		if opened, err = f.Open(name, wal.ModeCreate); err != nil {
			return nil, err
		}
		if _, err := opened.WriteAt(wal.Stamp{}.Bytes(), 0); err != nil {
			return nil, err
		}
	}
	return &stampFile{opened.(*file)}, nil
}

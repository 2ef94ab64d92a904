// Package cutfs is a file system in memory that can lose its power. It guarantees what
// POSIX does and no more: data is durable once its file was synced, a name once its folder
// was. Of all else a power cut keeps any part, in pieces of a sector and in any order. It
// also fails where its user says so. It is for tests of the log and for a relay under
// fault injection, never for one in service.
package cutfs

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"plovershore/internal/wal"
)

// Sector is what a disk writes completely or not at all, in bytes.
const Sector = 512

// Operations, as FS.Before gets them.
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

// inode is a file or a folder, whatever its names.
type inode struct {
	dir       bool
	data      []byte // as programs see it
	durable   []byte
	unsynced  []*change // of its data
	lockOwner *file
}

// change is something that a power cut may lose: part of a write, a new size, or a change
// of names.
type change struct {
	seq   int
	inode *inode
	off   int64
	data  []byte // nil for a new size, which is off
	name  *nameChange
}

// nameChange is a file that was created (from is empty), removed (to is empty) or renamed.
type nameChange struct {
	from, to string
	inode    *inode
}

// FS is a file system in memory. New makes it; its zero value does not work. Any number of
// goroutines may use it. There is nothing to close.
type FS struct {
	mu            sync.Mutex
	names         map[string]*inode // as programs see them
	durableNames  map[string]*inode
	unsyncedNames []*change
	seq           int // of the last change

	// Before is called ahead of each change, with the operation (OpWrite and so on) and
	// the file's name. An error becomes that of the change. It may cut the file system.
	// It is set while no other goroutine uses the file system; nil for none.
	Before func(operation, name string) error
	// Short has a write that fails leave its first half behind.
	Short bool
}

// New makes a file system that holds one folder, which is durable.
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

// number gives a change its place in the order.
func (f *FS) number(c *change) *change {
	f.seq++
	c.seq = f.seq
	return c
}

// changeNames carries out a change of names.
func (f *FS) changeNames(n *nameChange) {
	n.apply(f.names)
	f.unsyncedNames = append(f.unsyncedNames, f.number(&change{name: n}))
}

func errNotExist(operation, name string) error {
	return &os.PathError{Op: operation, Path: name, Err: os.ErrNotExist}
}

// Open is that of wal.FS.
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

// create creates a file, or empties it.
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
		node.unsynced = append(node.unsynced, f.number(&change{inode: node}))
	}
	return &file{fs: f, inode: node, name: name}, nil
}

// Rename is that of wal.FS.
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

// Remove is that of wal.FS.
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

// MakeDir is that of wal.FS.
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

// apply changes names. Those in a folder go with it.
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
	renamed[""] = n.inode // its first name may not be durable
	for suffix, node := range renamed {
		names[n.to+suffix] = node
	}
}

// concerns reports whether a change is of names in a folder.
func (n *nameChange) concerns(dir string) bool {
	return n.from != "" && filepath.Dir(n.from) == dir || n.to != "" && filepath.Dir(n.to) == dir
}

// Stat is that of wal.FS.
func (f *FS) Stat(name string) (size int64, dir bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	if node == nil {
		return 0, false, errNotExist("stat", name)
	}
	return int64(len(node.data)), node.dir, nil
}

// List is that of wal.FS.
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

// SyncDir is that of wal.FS.
func (f *FS) SyncDir(dir string) error {
	if err := f.before(OpSyncDir, dir); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unsyncedNames = slices.DeleteFunc(f.unsyncedNames, func(c *change) bool {
		if !c.name.concerns(dir) {
			return false
		}
		c.name.apply(f.durableNames)
		return true
	})
	return nil
}

// OpenStampFile is that of wal.FS. The stamp may become durable at any time, or never.
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

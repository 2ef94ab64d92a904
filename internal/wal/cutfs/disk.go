package cutfs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"plovershore/internal/wal"
)

// Disk is a file system over a real folder whose process may be killed in place of a power
// cut: what was not synced is in memory alone, and reaches the folder in part and in any
// order, as the seed draws it. OnDisk makes it. It is for one process at a time, and for
// any number of goroutines. There is nothing to close.
type Disk struct {
	*FS
	dir    string
	mu     sync.Mutex // guards the fields below and the real files
	random *rand.Rand
	paths  map[*inode]string // where each durable file stands
}

// leakOdds: one operation in so many has a pending change become durable of itself.
const leakOdds = 4

// seedStream keeps the draws of a Disk apart from those of tests with the same seed.
const seedStream = 11

// OnDisk reads a folder as the last process left it. Errors: those of the real file system.
func OnDisk(dir string, seed uint64) (*Disk, error) {
	dir = filepath.Clean(dir)
	d := &Disk{FS: New(dir), dir: dir, random: rand.New(rand.NewPCG(seed, seedStream)), paths: map[*inode]string{}}
	err := filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
		if err != nil || path == dir {
			return err
		}
		return d.read(path, info.IsDir())
	})
	if err != nil {
		return nil, fmt.Errorf("cutfs: %w", err)
	}
	d.Before = func(string, string) error { return d.leak() }
	return d, nil
}

// read takes in a file or a folder as it stands in the real folder.
func (d *Disk) read(path string, isDir bool) (err error) {
	node := &inode{dir: isDir}
	if !isDir {
		if node.data, err = os.ReadFile(path); err != nil {
			return err
		}
		node.durable = slices.Clone(node.data)
	}
	d.names[path], d.durableNames[path] = node, node
	d.paths[node] = path
	return nil
}

// leak has some pending change become durable of itself, as it may at any time.
func (d *Disk) leak() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.random.IntN(leakOdds) > 0 {
		return nil
	}
	d.FS.mu.Lock()
	defer d.FS.mu.Unlock()
	pending := d.pending()
	if len(pending) == 0 {
		return nil
	}
	c := pending[d.random.IntN(len(pending))]
	isLeaked := func(other *change) bool { return other == c }
	if c.name != nil {
		c.name.apply(d.durableNames)
		d.unsyncedNames = slices.DeleteFunc(d.unsyncedNames, isLeaked)
		return d.update()
	}
	if c.data == nil {
		c.inode.durable = resize(c.inode.durable, c.off)
	} else {
		c.inode.durable = overwrite(c.inode.durable, c.data, c.off)
	}
	c.inode.unsynced = slices.DeleteFunc(c.inode.unsynced, isLeaked)
	return d.update(c.inode)
}

// update makes the real folder show what is durable: the names, and the contents of the
// files that changed.
func (d *Disk) update(changed ...*inode) error {
	durable := map[*inode]string{}
	for name, node := range d.durableNames {
		if name != d.dir {
			durable[node] = name
		}
	}
	if err := d.updateNames(durable); err != nil {
		return fmt.Errorf("cutfs: %w", err)
	}
	for node, path := range durable {
		if d.paths[node] != "" && !slices.Contains(changed, node) {
			continue
		}
		d.paths[node] = path
		if err := updateFile(path, node); err != nil {
			return fmt.Errorf("cutfs: %w", err)
		}
	}
	return nil
}

// updateNames removes and renames real files to what is durable.
func (d *Disk) updateNames(durable map[*inode]string) error {
	for node, path := range d.paths {
		switch name := durable[node]; {
		case name == "" && !node.dir:
			if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
			delete(d.paths, node)
		case name != "" && name != path:
			if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
				return err
			}
			if err := os.Rename(path, name); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
			d.paths[node] = name
		}
	}
	return nil
}

// updateFile makes a real file or folder as it is durable. It overwrites what is there and
// then cuts the file to its length: a kill in between leaves nothing that was not there
// before, or is now.
func updateFile(path string, node *inode) error {
	if node.dir {
		return os.MkdirAll(path, 0o700)
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(node.durable, 0)
	if err == nil {
		err = f.Truncate(int64(len(node.durable)))
	}
	return errors.Join(err, f.Close())
}

// Open is that of wal.FS.
func (d *Disk) Open(name string, mode wal.Mode) (wal.File, error) {
	f, err := d.FS.Open(name, mode)
	if err != nil {
		return nil, err
	}
	return &diskFile{f.(*file), d}, nil
}

// SyncDir is that of wal.FS.
func (d *Disk) SyncDir(dir string) error {
	if err := d.FS.SyncDir(dir); err != nil {
		return err
	}
	return d.updateSynced()
}

// updateSynced shows what a sync made durable.
func (d *Disk) updateSynced(changed ...*inode) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FS.mu.Lock()
	defer d.FS.mu.Unlock()
	return d.update(changed...)
}

// diskFile is an open file of a Disk.
type diskFile struct {
	*file
	disk *Disk
}

// Sync is that of wal.File.
func (x *diskFile) Sync() error {
	if err := x.file.Sync(); err != nil {
		return err
	}
	return x.disk.updateSynced(x.inode)
}

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

// Disk is a file system over a real folder. Killing its process has the effect of a power cut:
// changes that were not synced are only in memory, and a random part of them reaches the folder
// in random order, according to the seed. OnDisk creates it. Only one process at a time may use
// the folder. It is safe for concurrent use by goroutines and need not be closed.
type Disk struct {
	*FS
	dir    string
	mu     sync.Mutex // guards the fields below and the real files
	random *rand.Rand
	paths  map[*inode]string // path in the real folder of each durable file
}

// persistOdds: a pending change becomes durable without a sync at one in this many operations.
const persistOdds = 4

// seedStream separates the random numbers of a Disk from those of a test with the same seed.
const seedStream = 11

// OnDisk reads a folder as the last process left it. It returns the errors of the real file system.
func OnDisk(dir string, seed uint64) (*Disk, error) {
	dir = filepath.Clean(dir)
	d := &Disk{FS: New(dir), dir: dir, random: rand.New(rand.NewPCG(seed, seedStream)), paths: map[*inode]string{}}
	err := filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
		if err != nil || path == dir {
			return err
		}
		return d.load(path, info.IsDir())
	})
	if err != nil {
		return nil, fmt.Errorf("cutfs: %w", err)
	}
	d.Before = func(string, string) error { return d.persistRandomChange() }
	return d, nil
}

// load loads a file or a folder from the real folder.
func (d *Disk) load(path string, isDir bool) (err error) {
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

// persistRandomChange sometimes makes a random pending change durable without a sync, as
// a real disk may do at any time.
func (d *Disk) persistRandomChange() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.random.IntN(persistOdds) > 0 {
		return nil
	}
	d.FS.mu.Lock()
	defer d.FS.mu.Unlock()
	pending := d.pendingChanges()
	if len(pending) == 0 {
		return nil
	}
	c := pending[d.random.IntN(len(pending))]
	isPersisted := func(other *change) bool { return other == c }
	if c.name != nil {
		c.name.apply(d.durableNames)
		d.unsyncedNames = slices.DeleteFunc(d.unsyncedNames, isPersisted)
		return d.update()
	}
	if c.data == nil {
		c.inode.durable = resize(c.inode.durable, c.off)
	} else {
		c.inode.durable = overwrite(c.inode.durable, c.data, c.off)
	}
	c.inode.unsynced = slices.DeleteFunc(c.inode.unsynced, isPersisted)
	return d.update(c.inode)
}

// update writes the durable state to the real folder: the names, and the contents of the
// files in changed.
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

// updateNames removes and renames real files to match the durable names.
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

// updateFile writes the durable contents of a file, or creates a folder. It overwrites the
// file in place and then truncates it: if a kill interrupts this, each byte of the file is
// still from the old or the new contents.
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

// Open implements wal.FS.
func (d *Disk) Open(name string, mode wal.Mode) (wal.File, error) {
	f, err := d.FS.Open(name, mode)
	if err != nil {
		return nil, err
	}
	return &diskFile{f.(*file), d}, nil
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir(dir string) error {
	if err := d.FS.SyncDir(dir); err != nil {
		return err
	}
	return d.updateSynced()
}

// updateSynced writes what a sync made durable to the real folder.
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

// Sync implements wal.File.
func (x *diskFile) Sync() error {
	if err := x.file.Sync(); err != nil {
		return err
	}
	return x.disk.updateSynced(x.inode)
}

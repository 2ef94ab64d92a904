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

// Disk is a file system over a real folder whose process may be killed in place
// of a loss of power: what was not synced is in memory alone, and reaches the
// folder in part and in any order, as the seed draws it. It is for one process at
// a time.
type Disk struct {
	*FS
	dir  string
	mu   sync.Mutex // of the draw and the real files
	draw *rand.Rand
	real map[*inode]string // where each lasting file stands
}

// OnDisk reads a folder as the last process left it. Errors: those of the real
// file system.
func OnDisk(dir string, seed uint64) (*Disk, error) {
	d := &Disk{FS: New(filepath.Clean(dir)), dir: filepath.Clean(dir), draw: rand.New(rand.NewPCG(seed, 11)), real: map[*inode]string{}}
	err := filepath.Walk(d.dir, func(path string, info os.FileInfo, err error) error {
		if err != nil || path == d.dir {
			return err
		}
		ino := &inode{dir: info.IsDir()}
		if !ino.dir {
			if ino.data, err = os.ReadFile(path); err != nil {
				return err
			}
			ino.durable = slices.Clone(ino.data)
		}
		d.names[path], d.lasting[path] = ino, ino
		d.real[ino] = path
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("cutfs: %w", err)
	}
	d.Before = func(string, string) error { return d.leak() }
	return d, nil
}

// leak has some of what is pending reach the disk of itself, as it may at any time.
func (d *Disk) leak() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draw.IntN(4) > 0 {
		return nil
	}
	d.FS.mu.Lock()
	defer d.FS.mu.Unlock()
	all := d.pending()
	if len(all) == 0 {
		return nil
	}
	p := all[d.draw.IntN(len(all))]
	if p.name != nil {
		p.name.apply(d.lasting)
		d.ops = slices.DeleteFunc(d.ops, func(x *piece) bool { return x == p })
		return d.settle()
	}
	if p.data == nil {
		p.ino.durable = resize(p.ino.durable, p.off)
	} else {
		p.ino.durable = put(p.ino.durable, p.data, p.off)
	}
	p.ino.writes = slices.DeleteFunc(p.ino.writes, func(x *piece) bool { return x == p })
	return d.settle(p.ino)
}

// settle has the real folder show what lasts: its names, and what these files hold.
func (d *Disk) settle(changed ...*inode) error {
	lasting := map[*inode]string{}
	for name, ino := range d.lasting {
		if name != d.dir {
			lasting[ino] = name
		}
	}
	for ino, path := range d.real {
		if now := lasting[ino]; now == "" && !ino.dir {
			if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("cutfs: %w", err)
			}
			delete(d.real, ino)
		} else if now != path && now != "" {
			if err := os.MkdirAll(filepath.Dir(now), 0o700); err != nil {
				return fmt.Errorf("cutfs: %w", err)
			}
			if err := os.Rename(path, now); err != nil && !errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("cutfs: %w", err)
			}
			d.real[ino] = now
		}
	}
	for ino, path := range lasting {
		if d.real[ino] != "" && !slices.Contains(changed, ino) {
			continue
		}
		d.real[ino] = path
		if ino.dir {
			if err := os.MkdirAll(path, 0o700); err != nil {
				return fmt.Errorf("cutfs: %w", err)
			}
			continue
		}
		if err := show(path, ino.durable); err != nil {
			return err
		}
	}
	return nil
}

// show writes over what is there, and then cuts the file to its length: a kill in
// between leaves nothing that was not there before, or is now.
func show(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("cutfs: %w", err)
	}
	_, err = f.WriteAt(b, 0)
	if err == nil {
		err = f.Truncate(int64(len(b)))
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("cutfs: %w", err)
	}
	return nil
}

// Open is wal.FS's.
func (d *Disk) Open(name string, how wal.Mode) (wal.File, error) {
	f, err := d.FS.Open(name, how)
	if err != nil {
		return nil, err
	}
	return &diskFile{f.(*file), d}, nil
}

type diskFile struct {
	*file
	d *Disk
}

func (x *diskFile) Sync() error {
	if err := x.file.Sync(); err != nil {
		return err
	}
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.FS.mu.Lock()
	defer x.d.FS.mu.Unlock()
	return x.d.settle(x.ino)
}

// SyncDir is wal.FS's.
func (d *Disk) SyncDir(dir string) error {
	if err := d.FS.SyncDir(dir); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FS.mu.Lock()
	defer d.FS.mu.Unlock()
	return d.settle()
}

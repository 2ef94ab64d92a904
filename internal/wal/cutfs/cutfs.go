// Package cutfs is a file system in memory that can lose its power. It promises
// what POSIX does and no more: data lasts once its file was synced, a name once
// its folder was; of all else, a cut keeps any part, in pieces of a sector and in
// any order. It also fails, where its user says so. It is for tests of the log
// and for a relay in the lab; never for one in service.
package cutfs

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"plovershore/internal/wal"
)

// Sector is what a disk writes whole or not at all, in bytes.
const Sector = 512

type inode struct {
	dir     bool
	data    []byte // as programs see it
	durable []byte
	writes  []*piece
	owner   *file // of its lock
}

// piece is a change that a cut may lose: part of a write, a new size, or a
// change of names.
type piece struct {
	seq  int
	ino  *inode
	off  int64
	data []byte // nil for a new size, which is off
	name *nameOp
}

type nameOp struct {
	from, to string // "" for none: made, removed
	ino      *inode
}

// FS is one. The zero value does not work; see New.
type FS struct {
	mu      sync.Mutex
	names   map[string]*inode
	lasting map[string]*inode
	ops     []*piece // of names
	seq     int

	// Before is called ahead of each change, with what it is (write, truncate,
	// sync, create, rename, remove, mkdir, syncdir, mark) and of which file. An
	// error is the change's. It may cut the file system.
	Before func(what, name string) error
	// Short has a write that fails leave its first half behind.
	Short bool
}

// New makes an empty one with a folder that lasts.
func New(dir string) *FS {
	root := &inode{dir: true}
	return &FS{names: map[string]*inode{dir: root}, lasting: map[string]*inode{dir: root}}
}

func (f *FS) before(what, name string) error {
	if f.Before == nil {
		return nil
	}
	return f.Before(what, name)
}

func (f *FS) add(p *piece) *piece {
	f.seq++
	p.seq = f.seq
	return p
}

func notThere(op, name string) error {
	return &os.PathError{Op: op, Path: name, Err: os.ErrNotExist}
}

// Open is wal.FS's.
func (f *FS) Open(name string, how wal.Mode) (wal.File, error) {
	name = filepath.Clean(name)
	f.mu.Lock()
	ino := f.names[name]
	f.mu.Unlock()
	if how != wal.ModeCreate {
		if ino == nil {
			return nil, notThere("open", name)
		}
		return &file{fs: f, ino: ino, name: name}, nil
	}
	if err := f.before("create", name); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.names[filepath.Dir(name)]; d == nil || !d.dir {
		return nil, notThere("open", name)
	}
	if ino = f.names[name]; ino == nil {
		ino = &inode{}
		f.names[name] = ino
		f.ops = append(f.ops, f.add(&piece{name: &nameOp{to: name, ino: ino}}))
	} else if len(ino.data) > 0 {
		ino.data = nil
		ino.writes = append(ino.writes, f.add(&piece{ino: ino}))
	}
	return &file{fs: f, ino: ino, name: name}, nil
}

// Rename is wal.FS's.
func (f *FS) Rename(from, to string) error {
	if err := f.before("rename", to); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ino := f.names[from]
	if ino == nil {
		return notThere("rename", from)
	}
	op := &nameOp{from: from, to: to, ino: ino}
	op.apply(f.names)
	f.ops = append(f.ops, f.add(&piece{name: op}))
	return nil
}

// Remove is wal.FS's.
func (f *FS) Remove(name string) error {
	if err := f.before("remove", name); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[name] != nil {
		op := &nameOp{from: name, ino: f.names[name]}
		op.apply(f.names)
		f.ops = append(f.ops, f.add(&piece{name: op}))
	}
	return nil
}

// MakeDir is wal.FS's.
func (f *FS) MakeDir(name string) error {
	f.mu.Lock()
	known := f.names[name] != nil
	f.mu.Unlock()
	if known {
		return nil
	}
	if err := f.before("mkdir", name); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	op := &nameOp{to: name, ino: &inode{dir: true}}
	op.apply(f.names)
	f.ops = append(f.ops, f.add(&piece{name: op}))
	return nil
}

// apply changes names; with a folder go those in it.
func (o *nameOp) apply(names map[string]*inode) {
	if o.from == "" {
		names[o.to] = o.ino
		return
	}
	moved := map[string]*inode{}
	for name, ino := range names {
		if rest, ok := strings.CutPrefix(name, o.from); ok && (rest == "" || rest[0] == '/') {
			delete(names, name)
			moved[rest] = ino
		}
	}
	if o.to == "" {
		return
	}
	moved[""] = o.ino // its first name may not have lasted
	for rest, ino := range moved {
		names[o.to+rest] = ino
	}
}

// Stat is wal.FS's.
func (f *FS) Stat(name string) (int64, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ino := f.names[name]
	if ino == nil {
		return 0, false, notThere("stat", name)
	}
	return int64(len(ino.data)), ino.dir, nil
}

// List is wal.FS's.
func (f *FS) List(dir string) (names []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[dir] == nil {
		return nil, notThere("open", dir)
	}
	for name := range f.names {
		if filepath.Dir(name) == dir && name != dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir is wal.FS's.
func (f *FS) SyncDir(dir string) error {
	if err := f.before("syncdir", dir); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = slices.DeleteFunc(f.ops, func(p *piece) bool {
		in := p.name.from != "" && filepath.Dir(p.name.from) == dir || p.name.to != "" && filepath.Dir(p.name.to) == dir
		if in {
			p.name.apply(f.lasting)
		}
		return in
	})
	return nil
}

// OpenStampFile is wal.FS's. The page may reach the disk at any time, or never.
func (f *FS) OpenStampFile(name string) (wal.StampFile, error) {
	x, err := f.Open(name, wal.ModeWrite)
	if err != nil {
		if x, err = f.Open(name, wal.ModeCreate); err != nil {
			return nil, err
		}
		if _, err := x.WriteAt(wal.Stamp{}.Bytes(), 0); err != nil {
			return nil, err
		}
	}
	return &mark{x.(*file)}, nil
}

type mark struct{ f *file }

// Store is wal.Marker's.
func (m *mark) Store(s wal.Stamp) {
	if m.f.fs.before("mark", m.f.name) != nil {
		return
	}
	m.f.fs.mu.Lock()
	defer m.f.fs.mu.Unlock()
	b := s.Bytes()
	m.f.ino.data = b
	m.f.ino.writes = []*piece{m.f.fs.add(&piece{ino: m.f.ino, data: b})}
}

func (m *mark) Close() error { return nil }

type file struct {
	fs   *FS
	ino  *inode
	name string
}

func (x *file) ReadAt(b []byte, off int64) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if off >= int64(len(x.ino.data)) {
		return 0, io.EOF
	}
	n := copy(b, x.ino.data[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (x *file) WriteAt(b []byte, off int64) (int, error) {
	err := x.fs.before("write", x.name)
	if err != nil {
		if !x.fs.Short {
			return 0, err
		}
		b = b[:len(b)/2]
	}
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.ino.data = put(x.ino.data, b, off)
	for at := 0; at < len(b); {
		n := min(len(b)-at, Sector-int((off+int64(at))%Sector))
		x.ino.writes = append(x.ino.writes, x.fs.add(&piece{ino: x.ino, off: off + int64(at), data: bytes.Clone(b[at : at+n])}))
		at += n
	}
	return len(b), err
}

func put(data, b []byte, off int64) []byte {
	if n := int(off) + len(b); n > len(data) {
		data = append(data, make([]byte, n-len(data))...)
	}
	copy(data[off:], b)
	return data
}

func (x *file) Truncate(size int64) error {
	if err := x.fs.before("truncate", x.name); err != nil {
		return err
	}
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.ino.data = resize(x.ino.data, size)
	x.ino.writes = append(x.ino.writes, x.fs.add(&piece{ino: x.ino, off: size}))
	return nil
}

func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

func (x *file) Size() (int64, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	return int64(len(x.ino.data)), nil
}

func (x *file) Sync() error {
	if err := x.fs.before("sync", x.name); err != nil {
		// As several kernels do: the pages count as clean now, and may never be written.
		return err
	}
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.ino.durable, x.ino.writes = bytes.Clone(x.ino.data), nil
	return nil
}

func (x *file) TryLock() (bool, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.ino.owner != nil && x.ino.owner != x {
		return false, nil
	}
	x.ino.owner = x
	return true, nil
}

func (x *file) Close() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.ino.owner == x {
		x.ino.owner = nil
	}
	return nil
}

// pending gives what a cut may lose, in the order in which it was done.
func (f *FS) pending() (all []*piece) {
	seen := map[*inode]bool{}
	for _, names := range []map[string]*inode{f.names, f.lasting} {
		for _, ino := range names {
			if !seen[ino] {
				seen[ino] = true
				all = append(all, ino.writes...)
			}
		}
	}
	for _, p := range f.ops {
		if ino := p.name.ino; !seen[ino] {
			seen[ino] = true
			all = append(all, ino.writes...)
		}
	}
	all = append(all, f.ops...)
	slices.SortFunc(all, func(a, b *piece) int { return a.seq - b.seq })
	return all
}

// Pending counts what a cut may lose.
func (f *FS) Pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending())
}

// Cut gives the file system as it comes up after its power was lost, when of what
// was pending that stays for which keep says so, by its place in their order.
func (f *FS) Cut(survives func(i int) bool) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	data := map[*inode][]byte{}
	at := func(ino *inode) []byte {
		if _, ok := data[ino]; !ok {
			data[ino] = bytes.Clone(ino.durable)
		}
		return data[ino]
	}
	names := map[string]*inode{}
	for name, ino := range f.lasting {
		names[name] = ino
	}
	for i, p := range f.pending() {
		switch {
		case !survives(i):
		case p.name != nil:
			p.name.apply(names)
		case p.data == nil:
			data[p.ino] = resize(at(p.ino), p.off)
		default:
			data[p.ino] = put(at(p.ino), p.data, p.off)
		}
	}
	g := &FS{names: map[string]*inode{}, lasting: map[string]*inode{}}
	same := map[*inode]*inode{}
	for name, ino := range names {
		for up := filepath.Dir(name); f.lasting[up] == nil && up != filepath.Dir(up); up = filepath.Dir(up) {
			if names[up] == nil && f.names[up] != nil { // its folder did not last
				ino = nil
				break
			}
		}
		if ino == nil {
			continue
		}
		if same[ino] == nil {
			same[ino] = &inode{dir: ino.dir, data: at(ino), durable: bytes.Clone(at(ino))}
		}
		g.names[name], g.lasting[name] = same[ino], same[ino]
	}
	return g
}

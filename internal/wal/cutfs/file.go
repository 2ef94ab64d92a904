package cutfs

import (
	"bytes"
	"io"

	"plovershore/internal/wal"
)

// file is an open file. It implements wal.File.
type file struct {
	fs    *FS
	inode *inode
	name  string
}

// ReadAt implements wal.File.
func (x *file) ReadAt(b []byte, off int64) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if off >= int64(len(x.inode.data)) {
		return 0, io.EOF
	}
	n := copy(b, x.inode.data[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt implements wal.File. Each sector that it writes is a separate change.
func (x *file) WriteAt(b []byte, off int64) (int, error) {
	err := x.fs.before(OpWrite, x.name)
	if err != nil {
		if !x.fs.ShortWrites {
			return 0, err
		}
		b = b[:len(b)/2]
	}
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.inode.data = overwrite(x.inode.data, b, off)
	for written := 0; written < len(b); {
		offset := off + int64(written)
		n := min(len(b)-written, Sector-int(offset%Sector))
		sector := &change{inode: x.inode, off: offset, data: bytes.Clone(b[written : written+n])}
		x.inode.unsynced = append(x.inode.unsynced, x.fs.assignSeq(sector))
		written += n
	}
	return len(b), err
}

// overwrite copies b into data at off. It extends data if necessary.
func overwrite(data, b []byte, off int64) []byte {
	if n := int(off) + len(b); n > len(data) {
		data = append(data, make([]byte, n-len(data))...)
	}
	copy(data[off:], b)
	return data
}

// Truncate implements wal.File.
func (x *file) Truncate(size int64) error {
	if err := x.fs.before(OpTruncate, x.name); err != nil {
		return err
	}
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.inode.data = resize(x.inode.data, size)
	x.inode.unsynced = append(x.inode.unsynced, x.fs.assignSeq(&change{inode: x.inode, off: size}))
	return nil
}

func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// Size implements wal.File.
func (x *file) Size() (int64, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	return int64(len(x.inode.data)), nil
}

// Sync implements wal.File. After a failure the changes stay pending, so that a power cut
// may lose them. Unlike on several kernels, a later Sync still makes them durable.
func (x *file) Sync() error {
	if err := x.fs.before(OpSync, x.name); err != nil {
		return err
	}
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.inode.durable, x.inode.unsynced = bytes.Clone(x.inode.data), nil
	return nil
}

// TryLock implements wal.File.
func (x *file) TryLock() (bool, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.inode.lockOwner != nil && x.inode.lockOwner != x {
		return false, nil
	}
	x.inode.lockOwner = x
	return true, nil
}

// Close implements wal.File.
func (x *file) Close() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.inode.lockOwner == x {
		x.inode.lockOwner = nil
	}
	return nil
}

// stampFile implements wal.StampFile.
type stampFile struct{ file *file }

// Store implements wal.StampFile. If Before returns an error, the stamp is dropped.
func (s *stampFile) Store(stamp wal.Stamp) {
	f := s.file
	if f.fs.before(OpStamp, f.name) != nil {
		return
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	b := stamp.Bytes()
	f.inode.data = b
	f.inode.unsynced = []*change{f.fs.assignSeq(&change{inode: f.inode, data: b})}
}

// Close implements wal.StampFile.
func (s *stampFile) Close() error { return nil }

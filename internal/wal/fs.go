package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"unsafe"
)

// FS is the few calls that the log needs of a file system. Errors are those of
// package os, as errors.Is knows them.
type FS interface {
	Open(name string, how Mode) (File, error)
	Rename(from, to string) error // a file or a folder, in one step
	Remove(name string) error
	MakeDir(name string) error // no error where it is there already
	Stat(name string) (size int64, dir bool, err error)
	List(dir string) ([]string, error)
	SyncDir(dir string) error
	Mark(name string) (Marker, error) // made where it is missing
}

// Mode is how a file is opened.
type Mode int

// Modes.
const (
	Read   Mode = iota
	Write       // and read; it has to be there
	Create      // and read; emptied where it is there
)

// File is an open file. Its calls are those of os.File.
type File interface {
	io.ReaderAt
	io.WriterAt
	Truncate(size int64) error
	Size() (int64, error)
	Sync() error            // the data, and what is needed to read it
	TryLock() (bool, error) // for as long as it is open, among processes
	Close() error
}

// Marker keeps two numbers over the end of the process, at no cost to speak of:
// that of the last record, and when it was booked (Unix microseconds). The id
// says whose they are.
type Marker interface {
	Store(id, seq uint64, at int64)
	Close() error
}

// OS is the machine's own file system.
type OS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f osFile) Sync() error {
	for {
		if err := syscall.Fdatasync(int(f.Fd())); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

func (f osFile) TryLock() (bool, error) { return tryLock(f.File) }

// Open is os.OpenFile.
func (OS) Open(name string, how Mode) (File, error) {
	flag := map[Mode]int{Read: os.O_RDONLY, Write: os.O_RDWR, Create: os.O_RDWR | os.O_CREATE | os.O_TRUNC}[how]
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename is os.Rename.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove takes away a file, or a folder with all in it.
func (OS) Remove(name string) error { return os.RemoveAll(name) }

// MakeDir is os.Mkdir.
func (OS) MakeDir(name string) error {
	if err := os.Mkdir(name, 0o700); !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// Stat is os.Stat.
func (OS) Stat(name string) (int64, bool, error) {
	info, err := os.Stat(name)
	if err != nil {
		return 0, false, err
	}
	return info.Size(), info.IsDir(), nil
}

// List gives the names in a folder.
func (OS) List(dir string) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.Readdirnames(-1)
}

// SyncDir has what was made, renamed or removed in a folder last.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

const markSize = 24

// osMark is a page that the kernel keeps: a store costs no call.
type osMark struct{ page []byte }

// Mark maps the file. Its bytes are written first: a store into a hole of a
// full disk would end the process.
func (OS) Mark(name string) (Marker, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err == nil && info.Size() < markSize {
		_, err = f.WriteAt(make([]byte, markSize-info.Size()), info.Size())
	}
	if err != nil {
		return nil, err
	}
	page, err := syscall.Mmap(int(f.Fd()), 0, markSize, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("mark: %w", err)
	}
	return &osMark{page}, nil
}

func (m *osMark) word(i int) *uint64 { return (*uint64)(unsafe.Pointer(&m.page[8*i])) }

// Store puts the numbers first: with another's id beside them, they say nothing.
func (m *osMark) Store(id, seq uint64, at int64) {
	atomic.StoreUint64(m.word(2), uint64(at))
	atomic.StoreUint64(m.word(1), seq)
	atomic.StoreUint64(m.word(0), id)
}

func (m *osMark) Close() error { return syscall.Munmap(m.page) }

// readMark is a mark as it stands, without making or mapping it.
func readMark(fs FS, name string) (id, seq uint64, at int64) {
	f, err := fs.Open(name, Read)
	if err != nil {
		return 0, 0, 0
	}
	defer f.Close()
	var b [markSize]byte
	if n, _ := f.ReadAt(b[:], 0); n < markSize {
		return 0, 0, 0
	}
	return binary.NativeEndian.Uint64(b[:8]), binary.NativeEndian.Uint64(b[8:16]), int64(binary.NativeEndian.Uint64(b[16:]))
}

package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"unsafe"
)

// OS is the file system of the operating system. The zero value is ready to use. It is
// safe for concurrent use.
type OS struct{}

// Permissions of files and folders. Only the owner has access, since the log holds
// clients' messages.
const (
	fileMode = 0o600
	dirMode  = 0o700
)

// Open opens a file with os.OpenFile. A file that it creates is accessible only to its owner.
func (OS) Open(name string, mode Mode) (File, error) {
	flag := os.O_RDONLY
	switch mode {
	case ModeWrite:
		flag = os.O_RDWR
	case ModeCreate:
		flag = os.O_RDWR | os.O_CREATE | os.O_TRUNC
	}
	f, err := os.OpenFile(name, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename atomically renames a file or a folder, with os.Rename.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file, or a folder with its contents. A missing name is not an error.
func (OS) Remove(name string) error { return os.RemoveAll(name) }

// MakeDir calls os.Mkdir. A folder that already exists is not an error.
func (OS) MakeDir(name string) error {
	if err := os.Mkdir(name, dirMode); !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// Stat returns the size of a file in bytes, and whether the name is that of a folder.
func (OS) Stat(name string) (size int64, dir bool, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return 0, false, err
	}
	return info.Size(), info.IsDir(), nil
}

// List returns the names in a folder, in no particular order.
func (OS) List(dir string) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.Readdirnames(-1)
}

// SyncDir syncs a folder, so that the names in it survive a loss of power.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// OpenStampFile maps the file into memory. It writes the file's bytes first: if they were a hole
// in the file and the disk was full, a store to the mapping would kill the process with a signal.
func (OS) OpenStampFile(name string) (StampFile, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err == nil && info.Size() < stampSize {
		_, err = f.WriteAt(make([]byte, stampSize-info.Size()), info.Size())
	}
	if err != nil {
		return nil, err
	}
	page, err := syscall.Mmap(int(f.Fd()), 0, stampSize, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("wal: map stamp file: %w", err)
	}
	return &mappedStamp{page}, nil
}

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

// mappedStamp is a stamp file that is mapped into memory. A store needs no system call,
// and the kernel keeps the stored values after the process dies.
type mappedStamp struct{ page []byte }

// Store writes the words in an order that lets a reader detect an incomplete stamp. Of the
// first three words the owner id comes last: a reader ignores the time and the sequence
// number if the id is another log's. The second copy of the time comes last of all words.
func (m *mappedStamp) Store(s Stamp) {
	words := s.words()
	for _, i := range [...]int{stampTime, stampSeq, stampOwner, stampWall, stampMono, stampBootLow, stampBootHigh, stampTimeCopy} {
		atomic.StoreUint64((*uint64)(unsafe.Pointer(&m.page[stampFieldBytes*i])), words[i])
	}
}

func (m *mappedStamp) Close() error { return syscall.Munmap(m.page) }

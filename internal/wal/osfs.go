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

// OS is the operating system's file system. The zero value is ready to use, by any
// number of goroutines.
type OS struct{}

// Permissions: the log holds what clients sent.
const (
	fileMode = 0o600
	dirMode  = 0o700
)

// Open is os.OpenFile.
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

// Rename is os.Rename.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is os.RemoveAll.
func (OS) Remove(name string) error { return os.RemoveAll(name) }

// MakeDir is os.Mkdir; that the folder exists already is no error.
func (OS) MakeDir(name string) error {
	if err := os.Mkdir(name, dirMode); !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// Stat is os.Stat.
func (OS) Stat(name string) (size int64, dir bool, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return 0, false, err
	}
	return info.Size(), info.IsDir(), nil
}

// List gives the names in a folder, in no order.
func (OS) List(dir string) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.Readdirnames(-1)
}

// SyncDir makes the names in a folder survive a loss of power.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// OpenStampFile maps the file into memory. Its bytes are written first: a store into a
// hole of a full disk would end the process by a signal.
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

// mappedStamp is a page of the kernel's cache: a store costs no system call and survives
// the process.
type mappedStamp struct{ page []byte }

// Store writes the id last of the first three words, since with another id beside them
// they are void, and the second copy of the time last of all.
func (m *mappedStamp) Store(s Stamp) {
	words := s.words()
	for _, i := range [...]int{stampTime, stampSeq, stampOwner, stampWall, stampMono, stampBootLow, stampBootHigh, stampTimeCopy} {
		atomic.StoreUint64((*uint64)(unsafe.Pointer(&m.page[stampFieldBytes*i])), words[i])
	}
}

func (m *mappedStamp) Close() error { return syscall.Munmap(m.page) }

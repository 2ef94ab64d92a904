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

	"plovershore/internal/clock"
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
	OpenStampFile(name string) (StampFile, error) // made where it is missing
}

// Mode is how a file is opened.
type Mode int

// Modes.
const (
	ModeRead   Mode = iota
	ModeWrite       // and read; it has to be there
	ModeCreate      // and read; emptied where it is there
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

// StampFile keeps a stamp over the end of the process, at no cost to speak of.
type StampFile interface {
	Store(Stamp)
	Close() error
}

// Stamp is what stands beside the log: whose it is, its last record's number, and when
// that was booked.
type Stamp struct {
	ID, Seq uint64
	At      int64         // log's time, in microseconds
	Clock   clock.Reading // the same moment by the machine's clocks
}

// Words of a stamp in its file, each of eight bytes in the machine's order. A program
// from before there were readings of clocks writes the first three alone; that the
// readings are of the same moment shows by the last word.
const (
	stampID = iota
	stampSeq
	stampAt
	stampWall
	stampMono
	stampBoot
	stampBootRest
	stampAtAgain
	stampWords

	legacyStampSize = 8 * stampWall // bytes, of an older program
	stampSize       = 8 * stampWords
)

// words gives a stamp's words.
func (s Stamp) words() (w [stampWords]uint64) {
	boot := s.Clock.Boot
	return [stampWords]uint64{stampID: s.ID, stampSeq: s.Seq, stampAt: uint64(s.At), stampWall: uint64(s.Clock.Wall), stampMono: uint64(s.Clock.Mono),
		stampBoot: binary.NativeEndian.Uint64(boot[:8]), stampBootRest: binary.NativeEndian.Uint64(boot[8:]), stampAtAgain: uint64(s.At)}
}

// Bytes is a stamp as it stands in its file.
func (s Stamp) Bytes() []byte {
	var b []byte
	for _, w := range s.words() {
		b = binary.NativeEndian.AppendUint64(b, w)
	}
	return b
}

// parseStamp reads what Bytes gives, or its beginning as an older program writes it.
func parseStamp(b []byte) (s Stamp) {
	if len(b) < legacyStampSize {
		return s
	}
	word := func(i int) uint64 { return binary.NativeEndian.Uint64(b[8*i:]) }
	s = Stamp{ID: word(stampID), Seq: word(stampSeq), At: int64(word(stampAt))}
	if len(b) >= stampSize && word(stampAtAgain) == word(stampAt) {
		s.Clock.Wall, s.Clock.Mono = int64(word(stampWall)), int64(word(stampMono))
		copy(s.Clock.Boot[:], b[8*stampBoot:8*stampAtAgain])
	}
	return s
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
	flag := map[Mode]int{ModeRead: os.O_RDONLY, ModeWrite: os.O_RDWR, ModeCreate: os.O_RDWR | os.O_CREATE | os.O_TRUNC}[how]
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

// mappedStamp is a page that the kernel keeps: a store costs no call.
type mappedStamp struct{ page []byte }

// OpenStampFile maps the file. Its bytes are written first: a store into a hole of a
// full disk would end the process.
func (OS) OpenStampFile(name string) (StampFile, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_RDWR|os.O_CREATE, 0o600)
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
		return nil, fmt.Errorf("mark: %w", err)
	}
	return &mappedStamp{page}, nil
}

// Store puts the id last of the first three words, since with another's id beside them
// they say nothing, and the moment's second copy last of all.
func (m *mappedStamp) Store(s Stamp) {
	words := s.words()
	for _, i := range [...]int{stampAt, stampSeq, stampID, stampWall, stampMono, stampBoot, stampBootRest, stampAtAgain} {
		atomic.StoreUint64((*uint64)(unsafe.Pointer(&m.page[8*i])), words[i])
	}
}

func (m *mappedStamp) Close() error { return syscall.Munmap(m.page) }

// readStamp is a mark as it stands, without making or mapping it.
func readStamp(fs FS, name string) Stamp {
	f, err := fs.Open(name, ModeRead)
	if err != nil {
		return Stamp{}
	}
	defer f.Close()
	b := make([]byte, stampSize)
	n, _ := f.ReadAt(b, 0) // a shorter one is an older program's
	return parseStamp(b[:n])
}

package wal

import "io"

// FS is what the log needs of a file system. An implementation's errors match those of
// package os by errors.Is. It is used from one goroutine at a time.
type FS interface {
	// Open opens a file; os.ErrNotExist where it is missing and mode does not create it.
	Open(name string, mode Mode) (File, error)
	// Rename renames a file or a folder atomically and replaces a file of the new name.
	Rename(from, to string) error
	// Remove removes a file, or a folder with all it holds. That it is missing is no error.
	Remove(name string) error
	// MakeDir makes a folder. That it exists already is no error.
	MakeDir(name string) error
	// Stat gives a file's size in bytes, or that it is a folder.
	Stat(name string) (size int64, dir bool, err error)
	// List gives the names in a folder, in no order.
	List(dir string) ([]string, error)
	// SyncDir makes the names in a folder survive a loss of power.
	SyncDir(dir string) error
	// OpenStampFile opens a stamp's file, and creates it where it is missing.
	OpenStampFile(name string) (StampFile, error)
}

// Mode is how a file is opened.
type Mode int

// Modes.
const (
	ModeRead   Mode = iota // only to read
	ModeWrite              // to read and write; the file has to exist
	ModeCreate             // to read and write; the file is created, or emptied where it exists
)

// File is an open file. Its methods are those of os.File, except where they say otherwise.
// Whoever opened it closes it.
type File interface {
	io.ReaderAt
	io.WriterAt
	// Truncate cuts the file off, or extends it with zeros, to size bytes.
	Truncate(size int64) error
	// Size is the file's present size in bytes.
	Size() (int64, error)
	// Sync makes the data, and what is needed to read it, survive a loss of power.
	Sync() error
	// TryLock takes the file's lock among processes, until the file is closed. It
	// reports false where another has it.
	TryLock() (bool, error)
	// Close releases the file and its lock.
	Close() error
}

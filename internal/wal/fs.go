package wal

import "io"

// FS is the part of a file system that the log needs. Its errors match those of package os
// with errors.Is. The log calls it from one goroutine at a time.
type FS interface {
	// Open opens a file. It returns os.ErrNotExist if the file is missing and
	// mode does not create it.
	Open(name string, mode Mode) (File, error)
	// Rename atomically renames a file or a folder. It replaces an existing file with the new name.
	Rename(from, to string) error
	// Remove removes a file, or a folder with its contents. A missing file is not an error.
	Remove(name string) error
	// MakeDir creates a folder. A folder that already exists is not an error.
	MakeDir(name string) error
	// Stat returns a file's size in bytes, or dir true for a folder.
	Stat(name string) (size int64, dir bool, err error)
	// List returns the names in a folder, in no particular order.
	List(dir string) ([]string, error)
	// SyncDir makes the names in a folder durable, so that they survive a loss of power.
	SyncDir(dir string) error
	// OpenStampFile opens a stamp's file and creates it if it is missing.
	OpenStampFile(name string) (StampFile, error)
}

// Mode says how Open opens a file.
type Mode int

// The modes of Open.
const (
	ModeRead   Mode = iota // read only
	ModeWrite              // read and write; the file must exist
	ModeCreate             // read and write; the file is created, or emptied if it exists
)

// File is an open file. Its methods behave as those of os.File unless stated otherwise.
// Whoever opened the file closes it.
type File interface {
	io.ReaderAt
	io.WriterAt
	// Truncate cuts the file to size bytes, or extends it with zeros.
	Truncate(size int64) error
	// Size returns the file's current size in bytes.
	Size() (int64, error)
	// Sync makes the data, and the metadata needed to read it, survive a loss of power.
	Sync() error
	// TryLock takes the file's lock, which excludes other processes until the file is
	// closed. It returns false if another process holds the lock.
	TryLock() (bool, error)
	// Close closes the file and releases its lock.
	Close() error
}

package faultlab

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"plovershore/internal/faultlab/scenario"
)

const (
	maxTruncated = 60  // bytes
	maxZeroed    = 600 // bytes
)

// corruptFile corrupts a file as a fault of the given kind does, and describes the
// change; the text is empty if there is nothing to corrupt. It is an error to delete a
// file that does not exist. If path is the directory of a message log, a file in it is
// drawn; a fault that affects a file's end takes the newest segment.
func corruptFile(path, kind string, random *rand.Rand) (change string, err error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		if path, err = pickFile(path, kind, random); err != nil || path == "" {
			return "", err
		}
	}
	if kind == scenario.FaultDeleteFile {
		if err := os.Remove(path); err != nil {
			return "", fmt.Errorf("corrupt file: %w", err)
		}
		return "gone: " + filepath.Base(path), nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("corrupt file: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", fmt.Errorf("corrupt file: %w", err)
	}
	if info.Size() == 0 {
		return "", nil
	}
	switch kind {
	case scenario.FaultTruncate:
		change, err = truncate(f, info, random)
	case scenario.FaultZero:
		change, err = zeroEnd(f, info, random)
	default:
		change, err = flipBit(f, info, random)
	}
	if err != nil {
		return "", fmt.Errorf("corrupt file: %w", err)
	}
	return change, nil
}

// pickFile picks a file of a message log; the path is empty if the log has none.
func pickFile(dir, kind string, random *rand.Rand) (string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil {
		return "", err
	}
	anyFile := kind == scenario.FaultFlipBit || kind == scenario.FaultDeleteFile
	if anyFile {
		checkpoints, err := filepath.Glob(filepath.Join(dir, "*.ckp"))
		if err != nil {
			return "", err
		}
		files = slices.Concat(files, checkpoints)
	}
	switch {
	case len(files) == 0:
		return "", nil
	case anyFile:
		return files[random.IntN(len(files))], nil
	}
	return files[len(files)-1], nil
}

// truncate cuts off the end of a file.
func truncate(f *os.File, info fs.FileInfo, random *rand.Rand) (change string, err error) {
	lost := min(info.Size(), 1+random.Int64N(maxTruncated))
	err = f.Truncate(info.Size() - lost)
	return fmt.Sprintf("torn: %s lost its last %d of %d bytes", info.Name(), lost, info.Size()), err
}

// zeroEnd overwrites the end of a file with zeros.
func zeroEnd(f *os.File, info fs.FileInfo, random *rand.Rand) (change string, err error) {
	zeroed := min(info.Size(), 1+random.Int64N(maxZeroed))
	_, err = f.WriteAt(make([]byte, zeroed), info.Size()-zeroed)
	return fmt.Sprintf("zeros: the last %d of %d bytes of %s", zeroed, info.Size(), info.Name()), err
}

// flipBit flips one bit of a file.
func flipBit(f *os.File, info fs.FileInfo, random *rand.Rand) (change string, err error) {
	offset, bit := random.Int64N(info.Size()), random.IntN(8)
	var b [1]byte
	if _, err := f.ReadAt(b[:], offset); err != nil {
		return "", err
	}
	b[0] ^= 1 << bit
	_, err = f.WriteAt(b[:], offset)
	return fmt.Sprintf("flipped: %s byte %d of %d, bit %d", info.Name(), offset, info.Size(), bit), err
}

// copyDir copies a directory that a relay may be changing: files that are removed
// meanwhile are left out.
func copyDir(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	if err := os.Mkdir(to, 0o700); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	entries, err := os.ReadDir(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	for _, entry := range entries {
		source, target := filepath.Join(from, entry.Name()), filepath.Join(to, entry.Name())
		if entry.IsDir() {
			err = copyDir(source, target)
		} else {
			err = copyFile(source, target)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// copyFile copies a file, if it is still there.
func copyFile(from, to string) error {
	in, err := os.Open(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	defer in.Close()
	out, err := os.Create(to)
	if err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	_, err = io.Copy(out, in)
	if err := errors.Join(err, out.Close()); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	return nil
}

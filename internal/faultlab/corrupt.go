package faultlab

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
)

// corruptFile flips one bit of a file, tears off its end, puts zeros in its place or
// takes the file away, and says what it did. In a folder, one of its files is
// drawn; what has an end is its newest segment.
func corruptFile(path, how string, r *rand.Rand) (string, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		files, err := filepath.Glob(filepath.Join(path, "*.seg"))
		if err == nil && (how == "flip" || how == "gone") {
			var more []string
			more, err = filepath.Glob(filepath.Join(path, "*.ckp"))
			files = append(files, more...)
		}
		if err != nil || len(files) == 0 {
			return "", err
		}
		if path = files[len(files)-1]; how == "flip" || how == "gone" {
			path = files[r.IntN(len(files))]
		}
	}
	if how == "gone" {
		if err := os.Remove(path); err != nil {
			return "", fmt.Errorf("damage: %w", err)
		}
		return "gone: " + filepath.Base(path), nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	if info.Size() == 0 {
		return "", nil
	}
	if how == "tear" {
		n := min(info.Size(), 1+r.Int64N(60))
		if err := f.Truncate(info.Size() - n); err != nil {
			return "", fmt.Errorf("damage: %w", err)
		}
		return fmt.Sprintf("torn: %s lost its last %d of %d bytes", filepath.Base(path), n, info.Size()), nil
	}
	if how == "zero" {
		n := min(info.Size(), 1+r.Int64N(600))
		if _, err := f.WriteAt(make([]byte, n), info.Size()-n); err != nil {
			return "", fmt.Errorf("damage: %w", err)
		}
		return fmt.Sprintf("zeros: the last %d of %d bytes of %s", n, info.Size(), filepath.Base(path)), nil
	}
	at, bit := r.Int64N(info.Size()), r.IntN(8)
	var b [1]byte
	if _, err := f.ReadAt(b[:], at); err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	b[0] ^= 1 << bit
	if _, err := f.WriteAt(b[:], at); err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	return fmt.Sprintf("flipped: %s byte %d of %d, bit %d", filepath.Base(path), at, info.Size(), bit), nil
}

func copyDir(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	if err := os.Mkdir(to, 0o700); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	files, err := os.ReadDir(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // it was replaced meanwhile
	}
	if err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	for _, f := range files {
		if f.IsDir() {
			if err := copyDir(filepath.Join(from, f.Name()), filepath.Join(to, f.Name())); err != nil {
				return err
			}
			continue
		}
		in, err := os.Open(filepath.Join(from, f.Name()))
		if errors.Is(err, fs.ErrNotExist) {
			continue // the relay replaced it meanwhile
		}
		if err != nil {
			return fmt.Errorf("copy: %w", err)
		}
		out, err := os.Create(filepath.Join(to, f.Name()))
		if err == nil {
			_, err = io.Copy(out, in)
			err = errors.Join(err, out.Close())
		}
		in.Close()
		if err != nil {
			return fmt.Errorf("copy: %w", err)
		}
	}
	return nil
}

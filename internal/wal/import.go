package wal

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// importSuffix marks an exported file that is being imported.
const importSuffix = ".importing"

// Import moves an exported log into a folder that has no log. It renames and finally
// removes the file, so that the log cannot be imported twice. An interrupted import is
// repeated from FILE.importing. The caller holds the folder's lock. Import returns a
// report of what was found in the file, also together with ErrCorruptExport. Its other
// errors are ErrNotEmpty, ErrNotExport and those of the file system.
func Import(from, dir string) (*RecoveryReport, error) {
	if err := checkImportFolder(dir); err != nil {
		return nil, err
	}
	r, h, err := replayExport(from)
	if r == nil {
		return nil, fmt.Errorf("wal: import: %w", err)
	}
	r.closeFiles()
	if err != nil {
		return &r.recovery, fmt.Errorf("wal: import: %w", err)
	}
	importing := from
	if !strings.HasSuffix(from, importSuffix) {
		importing = from + importSuffix
		if err := os.Rename(from, importing); err != nil {
			return nil, fmt.Errorf("wal: import: %w", err)
		}
	}
	if err := installImport(importing, dir, h); err != nil {
		return nil, fmt.Errorf("wal: import: %w", err)
	}
	return &r.recovery, nil
}

// checkImportFolder returns an error if a folder is fenced, or if its log has pending
// messages, is corrupted or has lost messages. An incomplete write is accepted.
func checkImportFolder(dir string) error {
	fence, err := ReadFence(dir)
	if fence != nil || err != nil {
		return errors.Join(fmt.Errorf("wal: import: %s is fenced: %w", dir, ErrNotEmpty), err)
	}
	if _, err := os.Stat(filepath.Join(dir, FolderName)); err != nil {
		return nil // there is no log
	}
	report, err := Inspect(nil, dir)
	if err != nil {
		return err
	}
	if report.Pending > 0 || !report.Sound() {
		return fmt.Errorf("wal: import: %s: %w", dir, ErrNotEmpty)
	}
	return nil
}

// installImport builds a log from an exported checkpoint, in a temporary folder that is
// then renamed. h is the checkpoint's header.
func installImport(importing, dir string, h header) error {
	folder := filepath.Join(dir, FolderName)
	temporary := folder + temporarySuffix
	h.kind = fileSegment
	return runSteps(
		func() error { return os.RemoveAll(temporary) },
		func() error { return os.Mkdir(temporary, dirMode) },
		func() error { return copyFile(importing, filepath.Join(temporary, checkpointName(h.number))) },
		func() error { return writeSynced(filepath.Join(temporary, segmentName(h.number)), h.encode()) },
		func() error { return OS{}.SyncDir(temporary) },
		func() error { return os.RemoveAll(folder) },
		func() error { return os.Rename(temporary, folder) },
		func() error { return OS{}.SyncDir(dir) },
		func() error { return os.Remove(importing) },
	)
}

// ReadExport returns the pending messages of an exported log, oldest first. An attempt
// without an outcome counts as one with an unknown outcome. It returns ErrNotExport or
// ErrCorruptExport if the file is not a complete exported log.
func ReadExport(file string) ([]*Record, error) {
	r, _, err := replayExport(file)
	if r != nil {
		defer r.closeFiles()
	}
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	r.resolveInFlight(func(int) bool { return true }, math.MaxUint64)
	var order []uint32
	for i := range r.index.entryCount {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b uint32) int { return cmp.Compare(r.index.entryAt(a).seq, r.index.entryAt(b).seq) })
	var records []*Record
	var reader messageReader
	for _, i := range order {
		record, err := r.readMessage(i, &reader)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// replayExport reads an exported log, which is a checkpoint. The caller closes the
// replayer's files if the replayer is not nil.
func replayExport(path string) (*replayer, header, error) {
	f, err := openLogFile(OS{}, filepath.Dir(path), filepath.Base(path))
	if err != nil {
		return nil, header{}, err
	}
	if f.validHeaders == 0 || f.kind != fileCheckpoint {
		f.file.Close()
		return nil, header{}, fmt.Errorf("%s: %w", path, ErrNotExport)
	}
	f.checksumSeed = f.owner.checksumSeed()
	r := newReplayer(f.owner, 0)
	r.addFile(f)
	complete := r.replayCheckpoint(f)
	r.summarize()
	if !complete {
		return r, f.header, fmt.Errorf("%s: %w", path, ErrCorruptExport)
	}
	return r, f.header, nil
}

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// copyFile copies a file and syncs the copy.
func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	if err == nil {
		err = out.Sync()
	}
	return errors.Join(err, out.Close())
}

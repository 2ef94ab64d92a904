package wal

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// FenceName is a file that tells a relay that what its folder held is another's.
const FenceName = "relay.fence"

// Errors of moving a log, and of looking at one.
var (
	ErrInUse     = errors.New("log: in use by a running relay")
	ErrMigrating = errors.New("log: is being moved: its export was cut short, and has to be made again")
	ErrNotEmpty  = errors.New("log: the folder holds a log already")
)

// Fence is what the file says.
type Fence struct {
	Token string    `json:"token"` // of the move; an export carries it in its name alone
	To    string    `json:"to"`    // where the log went
	At    time.Time `json:"at"`
}

// ReadFence gives a folder's fence; nil where it has none.
func ReadFence(dir string) (*Fence, error) {
	text, err := os.ReadFile(filepath.Join(dir, FenceName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("fence: %w", err)
	}
	f := &Fence{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("fence: %s: %w", filepath.Join(dir, FenceName), err)
	}
	return f, nil
}

// ClearFence lets a relay into a folder that was fenced: it begins empty, and the
// fence has done its work. The caller holds the lock. A log that is still there
// is in the middle of its move and is nobody's yet: ErrMigrating.
func ClearFence(dir string) (*Fence, error) {
	f, err := ReadFence(dir)
	if f == nil || err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(dir, FolderName)); err == nil {
		return f, fmt.Errorf("%w: %s", ErrMigrating, dir)
	}
	if err := os.Remove(filepath.Join(dir, FenceName)); err != nil {
		return f, fmt.Errorf("fence: %w", err)
	}
	return f, nil
}

// LockFolder takes a folder's lock for a tool, without making anything there. ErrInUse
// where a relay has it, or an old process of one still tells in a side log.
func LockFolder(dir string) (release func(), err error) {
	if info, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("log: %s: not a folder", dir)
	}
	var files []*os.File
	release = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range []string{LockName, HandoffName} {
		f, err := os.Open(filepath.Join(dir, name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var got bool
		if err == nil {
			files = append(files, f)
			got, err = tryLock(f)
		}
		if err == nil && !got {
			err = ErrInUse
		}
		if err != nil {
			release()
			return nil, fmt.Errorf("%s: %w", dir, err)
		}
	}
	return release, nil
}

// Repair opens a folder as a relay would, so that what is damaged is judged and a
// sound checkpoint holds the rest; damaged files are kept aside within limit
// bytes. The caller owns the folder.
func Repair(dir string, limit int64) (*RecoveryReport, error) {
	c := newStore(Options{Dir: dir, Limit: limit, Durability: SurvivesPowerLoss})
	side, err := c.open()
	if err != nil {
		return nil, err
	}
	defer c.close()
	if side != nil {
		side.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrInUse)
	}
	c.resolveInFlight(func(int) bool { return true }, c.seq+1)
	if err := c.finishCheckpoint(); err != nil {
		return nil, err
	}
	return &c.recovery, nil
}

// Export moves a folder's log into one file: what is owed is written there and
// synced, then the folder is fenced, then the file gets its name and the log goes.
// Cut anywhere, it can be made again, and at no moment are there two logs that a
// relay would serve from. The caller owns the folder.
func Export(dir, to string, limit int64) (*RecoveryReport, error) {
	if _, err := os.Stat(to); err == nil {
		moved, err := FinishExport(dir, to)
		if err != nil {
			return nil, err
		}
		if !moved { // it is of something else: nothing is written over it
			return nil, fmt.Errorf("export: %s: %w", to, os.ErrExist)
		}
		recs, err := ReadExport(to)
		return &RecoveryReport{Pending: len(recs)}, err
	}
	report, err := Repair(dir, limit)
	if err != nil {
		return nil, err
	}
	ckps, err := filepath.Glob(filepath.Join(dir, FolderName, "*"+checkpointSuffix))
	if err != nil || len(ckps) != 1 {
		return nil, fmt.Errorf("export: %d checkpoints in %s: %w", len(ckps), dir, err)
	}
	if err := copyFile(ckps[0], to+temporarySuffix); err != nil {
		return nil, fmt.Errorf("export: %w", err)
	}
	var b [8]byte
	rand.Read(b[:]) // never fails
	text, err := json.Marshal(Fence{Token: hex.EncodeToString(b[:]), To: to, At: time.Now().UTC()})
	if err != nil {
		return nil, fmt.Errorf("export: %w", err)
	}
	for _, step := range []func() error{
		func() error { return writeSynced(filepath.Join(dir, FenceName), text) },
		func() error { return OS{}.SyncDir(dir) },
		func() error { return os.Rename(to+temporarySuffix, to) },
		func() error { return OS{}.SyncDir(filepath.Dir(to)) },
	} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("export: %w", err)
		}
	}
	_, err = FinishExport(dir, to)
	return report, err
}

// FinishExport takes a log away that was exported: its fence names the file, and
// the file has its name, so all is in there. It reports whether the fence does. The
// caller owns the folder.
func FinishExport(dir, to string) (bool, error) {
	f, err := ReadFence(dir)
	if err != nil || f == nil || f.To != to {
		return false, err
	}
	for _, name := range []string{FolderName, HandoffName} {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil {
			return true, fmt.Errorf("export: %w", err)
		}
	}
	if err := (OS{}).SyncDir(dir); err != nil {
		return true, fmt.Errorf("export: %w", err)
	}
	return true, nil
}

// Import puts an exported log into a folder that holds none, and consumes the
// file: a second import of it finds nothing. One that was cut short is made again
// from FILE.importing. The caller owns the folder.
func Import(from, dir string) (*RecoveryReport, error) {
	claimed := from
	if !strings.HasSuffix(from, importSuffix) {
		claimed = from + importSuffix
	}
	if f, err := ReadFence(dir); err != nil || f != nil {
		return nil, errors.Join(fmt.Errorf("import: %s is fenced: %w", dir, ErrNotEmpty), err)
	}
	if _, err := os.Stat(filepath.Join(dir, FolderName)); err == nil {
		report, err := Inspect(nil, dir)
		if err != nil {
			return nil, err
		}
		if report.Pending > 0 || !report.Sound() {
			return nil, fmt.Errorf("import: %s: %w", dir, ErrNotEmpty)
		}
	}
	src, err := openLogFile(OS{}, filepath.Dir(from), filepath.Base(from), ModeRead)
	if err != nil {
		return nil, err
	}
	src.file.Close()
	s := newState(OS{})
	if src.validHeaders == 0 || src.kind != fileCheckpoint {
		return nil, fmt.Errorf("import: %s: not an exported log", from)
	}
	if src, err = openLogFile(OS{}, filepath.Dir(from), filepath.Base(from), ModeRead); err != nil {
		return nil, err
	}
	src.salt = ownerSalt(src.owner)
	s.addFile(src)
	whole := s.replayCheckpoint(src)
	s.summarize()
	src.file.Close()
	if !whole {
		return &s.recovery, fmt.Errorf("import: %s: damaged", from)
	}
	if claimed != from {
		if err := os.Rename(from, claimed); err != nil {
			return nil, fmt.Errorf("import: %w", err)
		}
	}
	folder := filepath.Join(dir, FolderName)
	h := src.header
	h.kind = fileSegment
	for _, step := range []func() error{
		func() error { return os.RemoveAll(folder + temporarySuffix) },
		func() error { return os.Mkdir(folder+temporarySuffix, 0o700) },
		func() error {
			return copyFile(claimed, filepath.Join(folder+temporarySuffix, checkpointName(h.number)))
		},
		func() error {
			return writeSynced(filepath.Join(folder+temporarySuffix, segmentName(h.number)), h.encode())
		},
		func() error { return OS{}.SyncDir(folder + temporarySuffix) },
		func() error { return os.RemoveAll(folder) },
		func() error { return os.Rename(folder+temporarySuffix, folder) },
		func() error { return OS{}.SyncDir(dir) },
		func() error { return os.Remove(claimed) },
	} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("import: %w", err)
		}
	}
	return &s.recovery, nil
}

// ReadExport gives what an exported log owes, what was owed longest first. An
// attempt whose outcome nobody saw may have run.
func ReadExport(file string) ([]*Record, error) {
	src, err := openLogFile(OS{}, filepath.Dir(file), filepath.Base(file), ModeRead)
	if err != nil {
		return nil, err
	}
	defer src.file.Close()
	if src.validHeaders == 0 || src.kind != fileCheckpoint {
		return nil, fmt.Errorf("%s: not an exported log", file)
	}
	src.salt = ownerSalt(src.owner)
	s := newState(OS{})
	s.addFile(src)
	whole := s.replayCheckpoint(src)
	s.resolveInFlight(func(int) bool { return true }, math.MaxUint64)
	if !whole {
		return nil, fmt.Errorf("%s: damaged", file)
	}
	var order []uint32
	for i := range s.index.entryCount {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b uint32) int { return cmp.Compare(s.index.at(a).seq, s.index.at(b).seq) })
	var recs []*Record
	var from messageReader
	for _, i := range order {
		r, err := s.readMessage(i, &from)
		if err != nil {
			return nil, err
		}
		recs = append(recs, r)
	}
	return recs, nil
}

const importSuffix = ".importing"

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	if err == nil {
		err = out.Sync()
	}
	return errors.Join(err, out.Close())
}

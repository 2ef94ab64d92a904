package wal

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// readState reads the log in a state folder without changing anything there.
func readState(fs FS, dir string) (*state, error) {
	folder := filepath.Join(dir, FolderName)
	_, isDir, err := fs.Stat(folder)
	if err == nil && isDir { // a legacy log next to the folder has already been converted
		return readFolder(fs, folder)
	}
	if err == nil || hasInterruptedConversion(fs, folder) {
		// A conversion was interrupted between its steps. If the legacy program ran again
		// since then, it wrote a new file, which comes last.
		return readLegacyFiles(fs, dir, FolderName+legacySuffix, FolderName+secondLegacySuffix, FolderName)
	}
	if errors.Is(err, os.ErrNotExist) {
		return readFolder(fs, folder)
	}
	return nil, fmt.Errorf("wal: %w", err)
}

func hasInterruptedConversion(fs FS, folder string) bool {
	for _, suffix := range []string{legacySuffix, secondLegacySuffix} {
		if _, _, err := fs.Stat(folder + suffix); err == nil {
			return true
		}
	}
	return false
}

// readFolder reads a folder of segments and checkpoints. A missing folder counts as empty.
func readFolder(fs FS, dir string) (*state, error) {
	files, err := openFolder(fs, dir)
	if err != nil {
		return nil, err
	}
	stamp := readStamp(fs, filepath.Join(dir, stampName))
	owner, known := electOwner(files.all(), stamp.checksumSeed())
	// No header can be read. The stamp tells the seed that the records' checksums start from.
	if !known && stamp.hasOwner() {
		binary.BigEndian.PutUint32(owner[:], stamp.checksumSeed())
		known = true
	}
	foreign := files.dropForeign(owner.checksumSeed())
	if !known || stamp.checksumSeed() != owner.checksumSeed() {
		stamp = Stamp{}
	}
	files.sort()
	s := files.replay(owner, stamp.Seq, foreign)
	s.nextSegment = max(files.maxNumber+1, s.nextSegment)
	s.lastTime = max(s.lastTime, stamp.At)
	s.clockAnchor = latestAnchor(stamp, files.all())
	if !known {
		s.owner = ownerID{}
	}
	files.closeUnused(s)
	s.summarize()
	return s, nil
}

// folderFiles holds the open files of a log's folder.
type folderFiles struct {
	names       []string // names of all files in the folder
	segments    []*logFile
	checkpoints []*logFile
	maxNumber   uint32
}

// openFolder opens the files of a folder and reads their headers.
func openFolder(fs FS, dir string) (*folderFiles, error) {
	names, err := fs.List(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("wal: %w", err)
	}
	slices.Sort(names)
	files := &folderFiles{names: names}
	for _, name := range names {
		kind, number := fileSegment, uint32(0)
		var ok bool
		if number, ok = fileNumber(name, segmentSuffix); !ok {
			kind = fileCheckpoint
			if number, ok = fileNumber(name, checkpointSuffix); !ok {
				continue
			}
		}
		f, err := openLogFile(fs, dir, name)
		if err != nil {
			files.close()
			return nil, err
		}
		files.add(f, kind, number)
	}
	return files, nil
}

// add adds an open file. kind and number come from its name and are used if its
// header cannot be read.
func (f *folderFiles) add(file *logFile, kind fileKind, number uint32) {
	if file.validHeaders == 0 {
		file.kind, file.number = kind, number
	}
	f.maxNumber = max(f.maxNumber, number, file.number)
	if file.kind == fileCheckpoint {
		f.checkpoints = append(f.checkpoints, file)
	} else {
		f.segments = append(f.segments, file)
	}
}

func (f *folderFiles) all() []*logFile { return slices.Concat(f.segments, f.checkpoints) }

func (f *folderFiles) close() {
	for _, file := range f.all() {
		file.file.Close()
	}
}

// electOwner returns the owner that most files name. A file of the log that the stamp
// belongs to counts one and a half times. Of two owners with the same count it returns
// the one with the smaller id.
func electOwner(files []*logFile, stampSeed uint32) (owner ownerID, known bool) {
	votes := map[ownerID]int{}
	for _, f := range files {
		if f.validHeaders == 0 {
			continue
		}
		votes[f.owner] += 2
		if f.owner.checksumSeed() == stampSeed {
			votes[f.owner]++
		}
	}
	most := 0
	for candidate, n := range votes {
		if n > most || n == most && string(candidate[:]) < string(owner[:]) {
			owner, most = candidate, n
		}
	}
	return owner, most > 0
}

// dropForeign closes and reports the files of other owners.
func (f *folderFiles) dropForeign(checksumSeed uint32) (foreign []Corruption) {
	isForeign := func(file *logFile) bool {
		if file.validHeaders > 0 && file.owner.checksumSeed() != checksumSeed {
			foreign = append(foreign, Corruption{File: file.name, Bytes: file.size, Reason: "of another relay"})
			file.file.Close()
			return true
		}
		file.checksumSeed = checksumSeed
		return false
	}
	f.segments = slices.DeleteFunc(f.segments, isForeign)
	f.checkpoints = slices.DeleteFunc(f.checkpoints, isForeign)
	return foreign
}

// sort sorts the segments in ascending and the checkpoints in descending order of their numbers.
func (f *folderFiles) sort() {
	slices.SortStableFunc(f.segments, func(a, b *logFile) int { return cmp.Compare(a.number, b.number) })
	slices.SortStableFunc(f.checkpoints, func(a, b *logFile) int { return cmp.Compare(b.number, a.number) })
}

// replay replays the log from the newest checkpoint and then from older ones, until one is
// complete. Of the states that result, it returns the one with the fewest corruptions, and
// of several such states the one from the newest checkpoint.
func (f *folderFiles) replay(owner ownerID, stampedSeq uint64, foreign []Corruption) (best *state) {
	for _, base := range f.bases() {
		r, complete := f.replayFrom(base, owner, stampedSeq)
		r.recovery.Corruptions = append(r.recovery.Corruptions, foreign...)
		if best == nil || len(r.recovery.Corruptions) < len(best.recovery.Corruptions) {
			best = r.state
		}
		if complete {
			break
		}
	}
	return best
}

// bases returns the checkpoints from which the log can be replayed. A nil element stands
// for a replay without a checkpoint; it is included if there is no checkpoint or the
// segments begin with the log's first record.
func (f *folderFiles) bases() []*logFile {
	bases := slices.Clone(f.checkpoints)
	if len(f.checkpoints) == 0 || len(f.segments) > 0 && f.segments[0].firstSeq == 1 {
		bases = append(bases, nil)
	}
	return bases
}

// replayFrom applies the checkpoint base, which may be nil, and the segments after it.
// complete is false if part of the checkpoint cannot be read.
func (f *folderFiles) replayFrom(base *logFile, owner ownerID, stampedSeq uint64) (r *replayer, complete bool) {
	r = newReplayer(owner, stampedSeq)
	complete = true
	first := uint32(0)
	if base != nil {
		first = base.number
		r.addFile(base)
		r.checkpointFile = base
		complete = r.replayCheckpoint(base)
		if base.validHeaders == 0 { // the checkpoint's name tells the first segment that it does not cover
			r.seq = f.seqBefore(first)
		}
	}
	for n, segment := range f.segments {
		if segment.number >= first {
			r.replaySegment(segment, f.segments[n+1:])
		}
	}
	// A checkpoint is written after the segment that follows it was created, so that
	// segment is missing.
	if base != nil && r.lastSegment == nil {
		c := Corruption{File: segmentName(first), Reason: reasonSegmentMissing}
		r.gaps = append(r.gaps, gap{Corruption: c, firstSeq: r.seq + 1, lastSeq: r.seq + 1})
	}
	r.assessEnd()
	return r, complete
}

// seqBefore returns the sequence number of the last record before a segment, or 0 if no
// valid header tells it.
func (f *folderFiles) seqBefore(number uint32) uint64 {
	for _, segment := range f.segments {
		if segment.number >= number && segment.validHeaders > 0 {
			return segment.firstSeq - 1
		}
	}
	return 0
}

// closeUnused closes the files that a state does not need, and lists them as obsolete.
func (f *folderFiles) closeUnused(s *state) {
	for _, file := range f.all() {
		if s.checkpointFile == file || slices.Contains(s.segments, file) {
			continue
		}
		file.file.Close()
		s.obsolete = append(s.obsolete, file.name)
		if file.corrupted {
			s.recovery.addCorruption(Corruption{File: file.name, Bytes: file.size, Reason: "unreadable in part, and not needed"})
		}
	}
	for _, name := range f.names {
		if strings.HasSuffix(name, temporarySuffix) {
			s.obsolete = append(s.obsolete, name)
		}
	}
}

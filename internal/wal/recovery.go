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

// readState reads whatever a state folder holds, and changes nothing there.
func readState(fs FS, dir string) (*state, error) {
	folder := filepath.Join(dir, FolderName)
	_, isDir, err := fs.Stat(folder)
	if err == nil && isDir { // a legacy log beside it was converted
		return readFolder(fs, folder)
	}
	if err == nil || hasInterruptedConversion(fs, folder) {
		// A conversion was cut short between its steps; where the legacy program ran
		// again since, its new file comes last.
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

// readFolder reads a folder of segments and checkpoints. One that is missing is empty.
func readFolder(fs FS, dir string) (*state, error) {
	files, err := openFolder(fs, dir)
	if err != nil {
		return nil, err
	}
	stamp := readStamp(fs, filepath.Join(dir, stampName))
	owner, known := electOwner(files.all(), stamp.salt())
	if !known && stamp.hasOwner() { // no header can be read: the stamp tells whose records these are
		binary.BigEndian.PutUint32(owner[:], stamp.salt())
		known = true
	}
	foreign := files.dropForeign(owner.salt())
	if !known || stamp.salt() != owner.salt() {
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

// folderFiles are the open files of a log's folder.
type folderFiles struct {
	names       []string // of all that is in the folder
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

// add takes in a file. kind and number are those by its name, and count where its header
// cannot be read.
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

// electOwner gives the owner that most files name; where two are named as often, the one
// that the stamp belongs to.
func electOwner(files []*logFile, stampSalt uint32) (owner ownerID, known bool) {
	votes := map[ownerID]int{}
	for _, f := range files {
		if f.validHeaders == 0 {
			continue
		}
		votes[f.owner] += 2
		if f.owner.salt() == stampSalt {
			votes[f.owner]++
		}
	}
	most := 0
	for o, n := range votes {
		if n > most || n == most && string(o[:]) < string(owner[:]) {
			owner, most = o, n
		}
	}
	return owner, most > 0
}

// dropForeign closes and reports the files of other owners.
func (f *folderFiles) dropForeign(salt uint32) (foreign []Corruption) {
	isForeign := func(file *logFile) bool {
		if file.validHeaders > 0 && file.owner.salt() != salt {
			foreign = append(foreign, Corruption{File: file.name, Bytes: file.size, Reason: "of another relay"})
			file.file.Close()
			return true
		}
		file.salt = salt
		return false
	}
	f.segments = slices.DeleteFunc(f.segments, isForeign)
	f.checkpoints = slices.DeleteFunc(f.checkpoints, isForeign)
	return foreign
}

// sort orders the segments, and the checkpoints from the newest on.
func (f *folderFiles) sort() {
	slices.SortStableFunc(f.segments, func(a, b *logFile) int { return cmp.Compare(a.number, b.number) })
	slices.SortStableFunc(f.checkpoints, func(a, b *logFile) int { return cmp.Compare(b.number, a.number) })
}

// replay gives the state after the newest checkpoint that is complete and the segments
// after it; where none is, from the base that leaves the fewest corruptions.
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

// bases gives the checkpoints that the log can be read from; nil stands for none, where
// the segments may reach back to the first record.
func (f *folderFiles) bases() []*logFile {
	bases := slices.Clone(f.checkpoints)
	if len(f.checkpoints) == 0 || len(f.segments) > 0 && f.segments[0].firstSeq == 1 {
		bases = append(bases, nil)
	}
	return bases
}

// replayFrom applies a checkpoint, which may be nil, and the segments after it. complete
// is false where part of the checkpoint cannot be read.
func (f *folderFiles) replayFrom(base *logFile, owner ownerID, stampedSeq uint64) (r *replayer, complete bool) {
	r = newReplayer(owner, stampedSeq)
	complete = true
	first := uint32(0)
	if base != nil {
		first = base.number
		r.addFile(base)
		r.checkpointFile = base
		complete = r.replayCheckpoint(base)
		if base.validHeaders == 0 { // its name tells what it covers
			r.seq = f.seqBefore(first)
		}
	}
	for n, segment := range f.segments {
		if segment.number >= first {
			r.replaySegment(segment, f.segments[n+1:])
		}
	}
	if base != nil && r.last == nil { // the segment is older than the checkpoint
		c := Corruption{File: segmentName(first), Reason: reasonSegmentMissing}
		r.gaps = append(r.gaps, gap{Corruption: c, from: r.seq + 1, to: r.seq + 1})
	}
	r.assessEnd()
	return r, complete
}

// seqBefore gives the sequence number of the last record before a segment; 0 where no
// header tells.
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

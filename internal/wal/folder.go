package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"plovershore/internal/clock"
)

const (
	segmentSuffix      = ".seg"
	checkpointSuffix   = ".ckp"
	temporarySuffix    = ".new"  // being written: of no use to anyone else
	legacySuffix       = ".old"  // the log of an older program, while it is carried over
	secondLegacySuffix = ".old2" // likewise, of an older program that ran again meanwhile
	quarantinePrefix   = "aside" // a damaged file, kept for a person to look at
	stampName          = "mark"
)

func segmentName(num uint32) string    { return fmt.Sprintf("%08x%s", num, segmentSuffix) }
func checkpointName(num uint32) string { return fmt.Sprintf("%08x%s", num, checkpointSuffix) }

// openLogFile opens a file and reads its header.
func openLogFile(fs FS, dir, name string, how Mode) (*logFile, error) {
	f, err := fs.Open(filepath.Join(dir, name), how)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	src := &logFile{name: name, file: f}
	if src.size, err = f.Size(); err != nil {
		f.Close()
		return nil, fmt.Errorf("log: %w", err)
	}
	b := make([]byte, headerSize)
	n, _ := f.ReadAt(b, 0) // a shorter file has no sound header
	src.header, src.validHeaders = decodeHeader(b[:n])
	if src.validHeaders > 0 && src.version > formatVersion {
		f.Close()
		return nil, fmt.Errorf("%w: %s has version %d of the form; %d is known here", ErrNewerVersion, name, src.version, formatVersion)
	}
	return src, nil
}

// fileNumber reads a file's number out of its name.
func fileNumber(name, suffix string) (uint32, bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 8 {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, 32)
	return uint32(n), err == nil
}

// readFolder books a folder of segments and checkpoints.
func readFolder(fs FS, dir string) (*state, error) {
	names, err := fs.List(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("log: %w", err)
	}
	slices.Sort(names)
	var segs, ckps []*logFile
	close := func(all []*logFile) {
		for _, src := range all {
			src.file.Close()
		}
	}
	top := uint32(0)
	for _, name := range names {
		num, isSeg := fileNumber(name, segmentSuffix)
		n, isCkp := fileNumber(name, checkpointSuffix)
		if !isSeg && !isCkp {
			continue
		}
		top = max(top, num, n)
		src, err := openLogFile(fs, dir, name, ModeRead)
		if err != nil {
			close(segs)
			close(ckps)
			return nil, err
		}
		if src.validHeaders == 0 {
			src.kind, src.number = fileSegment, num
			if isCkp {
				src.kind, src.number = fileCheckpoint, n
			}
		}
		if top = max(top, src.number); src.kind == fileCheckpoint {
			ckps = append(ckps, src)
		} else {
			segs = append(segs, src)
		}
	}
	mark := readStamp(fs, filepath.Join(dir, stampName))
	owner, known := electOwner(append(slices.Clone(segs), ckps...), uint32(mark.ID))
	var odd []Corruption
	if !known && mark.ID>>32 == 1 { // no header can be read: the mark tells whose records these are
		binary.BigEndian.PutUint32(owner[:4], uint32(mark.ID))
		known = true
	}
	salt := ownerSalt(owner)
	ours := func(all []*logFile) []*logFile {
		return slices.DeleteFunc(all, func(src *logFile) bool {
			if src.validHeaders > 0 && ownerSalt(src.owner) != salt {
				odd = append(odd, Corruption{File: src.name, Bytes: src.size, Reason: "of another relay"})
				src.file.Close()
				return true
			}
			src.salt = salt
			return false
		})
	}
	segs, ckps = ours(segs), ours(ckps)
	if uint32(mark.ID) != salt || !known {
		mark = Stamp{}
	}
	slices.SortStableFunc(segs, func(a, b *logFile) int { return int(int64(a.number) - int64(b.number)) })
	slices.SortStableFunc(ckps, func(a, b *logFile) int { return int(int64(b.number) - int64(a.number)) }) // the newest first
	// Where the newest checkpoint is spoilt, one before it does as well, or none,
	// if all that came after is there.
	bases := slices.Clone(ckps)
	if len(ckps) == 0 || len(segs) > 0 && segs[0].firstSeq == 1 {
		bases = append(bases, nil)
	}
	var s *state
	for _, base := range bases {
		x, whole := replayFolder(fs, base, segs, owner, mark.Seq)
		x.recovery.Corruptions = append(x.recovery.Corruptions, odd...)
		if s == nil || len(x.recovery.Corruptions) < len(s.recovery.Corruptions) {
			s = x
		}
		if whole {
			break
		}
	}
	s.owner, s.salt, s.nextSegment = owner, salt, max(top+1, s.nextSegment)
	s.lastTime = max(s.lastTime, mark.At)
	s.clockAnchor = latestAnchor(mark, append(slices.Clone(segs), ckps...))
	if !known {
		s.owner = [16]byte{}
	}
	for _, src := range append(slices.Clone(segs), ckps...) {
		if s.checkpointFile != src && !slices.Contains(s.segments, src) {
			src.file.Close()
			s.obsolete = append(s.obsolete, src.name)
			if src.corrupted {
				s.recovery.Corruptions = append(s.recovery.Corruptions, Corruption{File: src.name, Bytes: src.size, Reason: "unreadable in part, and not needed"})
			}
		}
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			s.obsolete = append(s.obsolete, name)
		}
	}
	s.summarize()
	return s, nil
}

// electOwner gives the owner that most files name; where they are as many, the one
// that the mark belongs to.
func electOwner(all []*logFile, salt uint32) (owner [16]byte, known bool) {
	votes := map[[16]byte]int{}
	for _, src := range all {
		if src.validHeaders > 0 {
			votes[src.owner] += 2
			if ownerSalt(src.owner) == salt {
				votes[src.owner]++
			}
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

// replayFolder books a checkpoint, which may be nil, and what came after it.
func replayFolder(fs FS, base *logFile, segs []*logFile, owner [16]byte, mark uint64) (s *state, whole bool) {
	s = newState(fs)
	s.owner, s.salt, s.stampedSeq = owner, ownerSalt(owner), mark
	first := uint32(0)
	whole = true
	if base != nil {
		s.addFile(base)
		s.checkpointFile = base
		whole = s.replayCheckpoint(base)
		if first = base.number; base.validHeaders == 0 { // its header is gone: the name tells what it covers
			s.seq = 0
			for _, src := range segs {
				if src.number >= first && src.validHeaders > 0 {
					s.seq = src.firstSeq - 1
					break
				}
			}
		}
	}
	var last *logFile
	var end fileTail
	for n, src := range segs {
		if src.number < first {
			continue
		}
		s.nextFileSeq = 0
		for _, next := range segs[n+1:] {
			if next.validHeaders > 0 && next.number != src.number {
				s.nextFileSeq = next.firstSeq
				break
			}
		}
		if last != nil && last.number == src.number {
			s.recovery.Torn = append(s.recovery.Torn, Corruption{File: src.name, Bytes: src.size, Reason: "a second copy of a segment"})
			continue
		}
		if end.status == recordTorn && end.bytes > 0 && src.validHeaders > 0 && end.record.seq == s.seq+1 && src.firstSeq == s.seq+2 {
			d := Corruption{File: last.name, Offset: end.offset, Bytes: end.bytes} // the one record that is missed by number
			s.applyCorrupted(&end.record, &d, false)
			s.recovery.Corruptions = append(s.recovery.Corruptions, d)
			s.seq++
		} else if end.bytes > 0 { // what was torn there was written again here, or is missed by number
			s.recovery.Torn = append(s.recovery.Torn, Corruption{File: last.name, Offset: end.offset, Bytes: end.bytes, Reason: "torn end", IDs: end.ids})
		}
		if src.validHeaders > 0 && src.firstSeq > s.seq+1 {
			src.corrupted = true
			s.gaps = append(s.gaps, gap{Corruption: Corruption{File: src.name, Reason: fmt.Sprintf("%d records missing before it", src.firstSeq-s.seq-1)},
				from: s.seq + 1, to: src.firstSeq - 1})
			s.seq = src.firstSeq - 1
		} else if s.sealedNext != 0 && src.number > s.sealedNext { // what it held, nobody can tell
			s.gaps = append(s.gaps, gap{Corruption: Corruption{File: segmentName(s.sealedNext), Reason: "segment missing"}, from: s.seq + 1, to: s.seq})
		}
		s.previousSeal, s.sealedNext = s.sealedNext, 0
		s.addFile(src)
		s.segments = append(s.segments, src)
		var file FileReport
		file, end = s.replay(src, &s.seq, false, headerSize)
		s.recovery.Files = append(s.recovery.Files, file)
		if last = src; file.Records > 0 {
			s.previousSeal = 0
		}
	}
	if base != nil && last == nil { // the segment was there before the checkpoint was begun
		s.gaps = append(s.gaps, gap{Corruption: Corruption{File: segmentName(first), Reason: "segment missing"}, from: s.seq + 1, to: s.seq + 1})
	}
	s.assessEnd(last, end, mark)
	return s, whole
}

// readLegacyFiles books the log of an older program.
func readLegacyFiles(fs FS, dir string, names ...string) (*state, error) {
	s := newState(fs)
	for _, name := range names {
		f, err := fs.Open(filepath.Join(dir, name), ModeRead)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			s.close()
			return nil, fmt.Errorf("log: %w", err)
		}
		src := s.addFile(&logFile{name: name, file: f, legacy: true})
		if src.size, err = f.Size(); err != nil {
			s.close()
			return nil, fmt.Errorf("log: %w", err)
		}
		s.recovery.Files = append(s.recovery.Files, s.replayLegacy(src, FileReport{Name: name, Kind: "older log", Bytes: src.size}))
	}
	s.recovery.OlderFormat = true
	s.summarize()
	return s, nil
}

// latestAnchor gives the newest moment of which a reading is known: the mark's or, where a
// log came here without it, that at which a file was made.
func latestAnchor(mark Stamp, files []*logFile) (a clockAnchor) {
	switch {
	case mark.Clock != (clock.Reading{}):
		return clockAnchor{mark.At, mark.Clock}
	case mark != Stamp{}:
		return a // of an older program, whose time was the wall clock's
	}
	for _, src := range files {
		if src.validHeaders > 0 && src.createdLogTime > a.logTime {
			a = clockAnchor{src.createdLogTime, clock.Reading{Wall: src.createdAt}}
		}
	}
	return a
}

// stampID is what the mark says of its owner.
func (s *state) stampID() uint64 { return uint64(s.salt) | 1<<32 }

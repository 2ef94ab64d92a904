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
	segmentSuffix = ".seg"
	ckpSuffix     = ".ckp"
	newSuffix     = ".new"  // being written: of no use to anyone else
	oldSuffix     = ".old"  // the log of an older program, while it is carried over
	olderSuffix   = ".old2" // likewise, of an older program that ran again meanwhile
	asidePrefix   = "aside" // a damaged file, kept for a person to look at
	markName      = "mark"
)

func segmentName(num uint32) string { return fmt.Sprintf("%08x%s", num, segmentSuffix) }
func ckpName(num uint32) string     { return fmt.Sprintf("%08x%s", num, ckpSuffix) }

// openSource opens a file and reads its header.
func openSource(fs FS, dir, name string, how Mode) (*source, error) {
	f, err := fs.Open(filepath.Join(dir, name), how)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	src := &source{name: name, f: f}
	if src.size, err = f.Size(); err != nil {
		f.Close()
		return nil, fmt.Errorf("log: %w", err)
	}
	b := make([]byte, headerSize)
	n, _ := f.ReadAt(b, 0) // a shorter file has no sound header
	src.header, src.sound = decodeHeader(b[:n])
	if src.sound > 0 && src.version > formVersion {
		f.Close()
		return nil, fmt.Errorf("%w: %s has version %d of the form; %d is known here", ErrNewerVersion, name, src.version, formVersion)
	}
	return src, nil
}

// numOf reads a file's number out of its name.
func numOf(name, suffix string) (uint32, bool) {
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
	var segs, ckps []*source
	close := func(all []*source) {
		for _, src := range all {
			src.f.Close()
		}
	}
	top := uint32(0)
	for _, name := range names {
		num, isSeg := numOf(name, segmentSuffix)
		n, isCkp := numOf(name, ckpSuffix)
		if !isSeg && !isCkp {
			continue
		}
		top = max(top, num, n)
		src, err := openSource(fs, dir, name, ModeRead)
		if err != nil {
			close(segs)
			close(ckps)
			return nil, err
		}
		if src.sound == 0 {
			src.kind, src.num = segmentFile, num
			if isCkp {
				src.kind, src.num = checkpointFile, n
			}
		}
		if top = max(top, src.num); src.kind == checkpointFile {
			ckps = append(ckps, src)
		} else {
			segs = append(segs, src)
		}
	}
	mark := readMark(fs, filepath.Join(dir, markName))
	owner, known := vote(append(slices.Clone(segs), ckps...), uint32(mark.ID))
	var odd []Corruption
	if !known && mark.ID>>32 == 1 { // no header can be read: the mark tells whose records these are
		binary.BigEndian.PutUint32(owner[:4], uint32(mark.ID))
		known = true
	}
	salt := saltOf(owner)
	ours := func(all []*source) []*source {
		return slices.DeleteFunc(all, func(src *source) bool {
			if src.sound > 0 && saltOf(src.owner) != salt {
				odd = append(odd, Corruption{File: src.name, Bytes: src.size, Reason: "of another relay"})
				src.f.Close()
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
	slices.SortStableFunc(segs, func(a, b *source) int { return int(int64(a.num) - int64(b.num)) })
	slices.SortStableFunc(ckps, func(a, b *source) int { return int(int64(b.num) - int64(a.num)) }) // the newest first
	// Where the newest checkpoint is spoilt, one before it does as well, or none,
	// if all that came after is there.
	bases := slices.Clone(ckps)
	if len(ckps) == 0 || len(segs) > 0 && segs[0].first == 1 {
		bases = append(bases, nil)
	}
	var s *state
	for _, base := range bases {
		x, whole := bookFolder(fs, base, segs, owner, mark.Seq)
		x.report.Corruptions = append(x.report.Corruptions, odd...)
		if s == nil || len(x.report.Corruptions) < len(s.report.Corruptions) {
			s = x
		}
		if whole {
			break
		}
	}
	s.owner, s.salt, s.nextNum = owner, salt, max(top+1, s.nextNum)
	s.last = max(s.last, mark.At)
	s.known = anchorOf(mark, append(slices.Clone(segs), ckps...))
	if !known {
		s.owner = [16]byte{}
	}
	for _, src := range append(slices.Clone(segs), ckps...) {
		if s.ckp != src && !slices.Contains(s.segs, src) {
			src.f.Close()
			s.spent = append(s.spent, src.name)
			if src.damaged {
				s.report.Corruptions = append(s.report.Corruptions, Corruption{File: src.name, Bytes: src.size, Reason: "unreadable in part, and not needed"})
			}
		}
	}
	for _, name := range names {
		if strings.HasSuffix(name, newSuffix) {
			s.spent = append(s.spent, name)
		}
	}
	s.summarize()
	return s, nil
}

// vote gives the owner that most files name; where they are as many, the one
// that the mark belongs to.
func vote(all []*source, salt uint32) (owner [16]byte, known bool) {
	votes := map[[16]byte]int{}
	for _, src := range all {
		if src.sound > 0 {
			votes[src.owner] += 2
			if saltOf(src.owner) == salt {
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

// bookFolder books a checkpoint, which may be nil, and what came after it.
func bookFolder(fs FS, base *source, segs []*source, owner [16]byte, mark uint64) (s *state, whole bool) {
	s = newState(fs)
	s.owner, s.salt, s.marked = owner, saltOf(owner), mark
	first := uint32(0)
	whole = true
	if base != nil {
		s.addSource(base)
		s.ckp = base
		whole = s.checkpoint(base)
		if first = base.num; base.sound == 0 { // its header is gone: the name tells what it covers
			s.seq = 0
			for _, src := range segs {
				if src.num >= first && src.sound > 0 {
					s.seq = src.first - 1
					break
				}
			}
		}
	}
	var last *source
	var end tail
	for n, src := range segs {
		if src.num < first {
			continue
		}
		s.ahead = 0
		for _, next := range segs[n+1:] {
			if next.sound > 0 && next.num != src.num {
				s.ahead = next.first
				break
			}
		}
		if last != nil && last.num == src.num {
			s.report.Torn = append(s.report.Torn, Corruption{File: src.name, Bytes: src.size, Reason: "a second copy of a segment"})
			continue
		}
		if end.st == torn && end.bytes > 0 && src.sound > 0 && end.rec.seq == s.seq+1 && src.first == s.seq+2 {
			d := Corruption{File: last.name, Offset: end.at, Bytes: end.bytes} // the one record that is missed by number
			s.badRecord(&end.rec, &d, false)
			s.report.Corruptions = append(s.report.Corruptions, d)
			s.seq++
		} else if end.bytes > 0 { // what was torn there was written again here, or is missed by number
			s.report.Torn = append(s.report.Torn, Corruption{File: last.name, Offset: end.at, Bytes: end.bytes, Reason: "torn end", IDs: end.names})
		}
		if src.sound > 0 && src.first > s.seq+1 {
			src.damaged = true
			s.holes = append(s.holes, hole{Corruption: Corruption{File: src.name, Reason: fmt.Sprintf("%d records missing before it", src.first-s.seq-1)},
				from: s.seq + 1, to: src.first - 1})
			s.seq = src.first - 1
		} else if s.sealed != 0 && src.num > s.sealed { // what it held, nobody can tell
			s.holes = append(s.holes, hole{Corruption: Corruption{File: segmentName(s.sealed), Reason: "segment missing"}, from: s.seq + 1, to: s.seq})
		}
		s.began, s.sealed = s.sealed, 0
		s.addSource(src)
		s.segs = append(s.segs, src)
		var file FileReport
		file, end = s.replay(src, &s.seq, false, headerSize)
		s.report.Files = append(s.report.Files, file)
		if last = src; file.Records > 0 {
			s.began = 0
		}
	}
	if base != nil && last == nil { // the segment was there before the checkpoint was begun
		s.holes = append(s.holes, hole{Corruption: Corruption{File: segmentName(first), Reason: "segment missing"}, from: s.seq + 1, to: s.seq + 1})
	}
	s.finish(last, end, mark)
	return s, whole
}

// readOldFile books the log of an older program.
func readOldFile(fs FS, dir string, names ...string) (*state, error) {
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
		src := s.addSource(&source{name: name, f: f, old: true})
		if src.size, err = f.Size(); err != nil {
			s.close()
			return nil, fmt.Errorf("log: %w", err)
		}
		s.report.Files = append(s.report.Files, s.replayOld(src, FileReport{Name: name, Kind: "older log", Bytes: src.size}))
	}
	s.report.OlderFormat = true
	s.summarize()
	return s, nil
}

// anchorOf gives the newest moment of which a reading is known: the mark's or, where a
// log came here without it, that at which a file was made.
func anchorOf(mark Stamp, files []*source) (a anchor) {
	switch {
	case mark.Clock != (clock.Reading{}):
		return anchor{mark.At, mark.Clock}
	case mark != Stamp{}:
		return a // of an older program, whose time was the wall clock's
	}
	for _, src := range files {
		if src.sound > 0 && src.logged > a.at {
			a = anchor{src.logged, clock.Reading{Wall: src.made}}
		}
	}
	return a
}

// markID is what the mark says of its owner.
func (s *state) markID() uint64 { return uint64(s.salt) | 1<<32 }

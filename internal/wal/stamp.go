package wal

import (
	"encoding/binary"

	"plovershore/internal/clock"
)

// Stamp is a note in a file next to the log: the log's owner, the sequence number of its
// last record, and the time of that record. It shows whether records are missing at the
// end of the log, and how long no process ran.
type Stamp struct {
	ID, Seq uint64
	At      int64         // log time in microseconds
	Clock   clock.Reading // the same instant on the machine's clocks
}

// StampFile stores a stamp that survives the end of the process. Whoever opened it closes it.
type StampFile interface {
	// Store replaces the stamp. It is called after each batch, or with SurvivesPowerLoss
	// after each one that was synced, so it must be cheap.
	Store(Stamp)
	// Close closes the file, which keeps the stamp.
	Close() error
}

// Words of a stamp in its file, each of eight bytes in the machine's byte order. Older
// programs write only the first three. If the second copy of the time equals the first,
// the clock readings belong to that time.
const (
	stampOwner = iota
	stampSeq
	stampTime
	stampWall
	stampMono
	stampBootLow
	stampBootHigh
	stampTimeCopy
	stampWords

	stampFieldBytes = 8
	legacyStampSize = stampFieldBytes * stampWall
	stampSize       = stampFieldBytes * stampWords
)

// stampOwnerFlag distinguishes a stamp's ID from the zeros of a new file.
const stampOwnerFlag = 1 << 32

func stampIDOf(checksumSeed uint32) uint64 { return uint64(checksumSeed) | stampOwnerFlag }

// hasOwner reports whether the stamp was ever written.
func (s Stamp) hasOwner() bool { return s.ID>>32 == stampOwnerFlag>>32 }

// checksumSeed returns the checksum seed of the log that the stamp belongs to.
func (s Stamp) checksumSeed() uint32 { return uint32(s.ID) }

func (s Stamp) words() [stampWords]uint64 {
	boot := s.Clock.Boot
	return [stampWords]uint64{
		stampOwner:    s.ID,
		stampSeq:      s.Seq,
		stampTime:     uint64(s.At),
		stampWall:     uint64(s.Clock.Wall),
		stampMono:     uint64(s.Clock.Mono),
		stampBootLow:  binary.NativeEndian.Uint64(boot[:stampFieldBytes]),
		stampBootHigh: binary.NativeEndian.Uint64(boot[stampFieldBytes:]),
		stampTimeCopy: uint64(s.At),
	}
}

// Bytes returns the stamp as its file stores it.
func (s Stamp) Bytes() []byte {
	var b []byte
	for _, w := range s.words() {
		b = binary.NativeEndian.AppendUint64(b, w)
	}
	return b
}

// parseStamp decodes what Bytes returns, or the first words of it as an older program
// writes them. It returns a zero stamp if b is shorter.
func parseStamp(b []byte) (s Stamp) {
	if len(b) < legacyStampSize {
		return s
	}
	word := func(i int) uint64 { return binary.NativeEndian.Uint64(b[stampFieldBytes*i:]) }
	s = Stamp{ID: word(stampOwner), Seq: word(stampSeq), At: int64(word(stampTime))}
	if len(b) >= stampSize && word(stampTimeCopy) == word(stampTime) {
		s.Clock.Wall = int64(word(stampWall))
		s.Clock.Mono = int64(word(stampMono))
		copy(s.Clock.Boot[:], b[stampFieldBytes*stampBootLow:stampFieldBytes*stampTimeCopy])
	}
	return s
}

// readStamp reads a stamp file without creating or mapping it. It returns a zero stamp if
// the file cannot be read.
func readStamp(fs FS, name string) Stamp {
	f, err := fs.Open(name, ModeRead)
	if err != nil {
		return Stamp{}
	}
	defer f.Close()
	b := make([]byte, stampSize)
	n, _ := f.ReadAt(b, 0) // the file of an older program is shorter
	return parseStamp(b[:n])
}

// noStampFile replaces a stamp file that could not be opened.
type noStampFile struct{}

func (noStampFile) Store(Stamp)  {}
func (noStampFile) Close() error { return nil }

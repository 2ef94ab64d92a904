package wal

import "hash/maphash"

// index finds the entry of each pending message. It contains neither ids nor bodies: it
// identifies a message by 96 bits of two seeded hashes of its id, and the rest is read
// from the message's record. An entry takes about 56 bytes and contains no pointers for
// the garbage collector to follow.
type index struct {
	seeds       [2]maphash.Seed
	slots       []uint32 // hash table with open addressing: position of an entry plus 1, or 0 for an empty slot
	chunks      []*[chunkSize]entry
	entryCount  uint32 // number of entries, in use or free
	freeEntries []uint32
	live        int
	details     map[uint32]*entryDetail
}

const (
	chunkSize    = 4096
	initialSlots = 1024 // a power of two, and still one after each doubling
)

// indexKey is the hash of a message's id.
type indexKey struct {
	hash64 uint64
	hash32 uint32
}

// entry is one pending message.
type entry struct {
	hash64             uint64
	seq                uint64 // sequence number of its accepted record; older messages have smaller ones
	unknownOutcomeAt   int64
	hash32             uint32
	fileRef            uint32 // file that holds its record; 0 if corruption destroyed the record
	offset             uint32
	size               uint32 // size of the record
	stateSeq           uint32 // sequence number of the last record that the state includes, minus seq
	attempts           uint8
	flags              uint8
	unknownOutcomeZone int16
}

const (
	entryLive           = 1 << iota
	entryPendingAtStart // the message was pending when the log was opened
	entryRead           // the message was returned to the relay
	entryDetailed       // the entry has an entryDetail in index.details
)

// entryDetail is the part of the state that few messages have at any time.
type entryDetail struct {
	inFlightSince    int64
	inFlightZone     int
	inFlightProcess  int
	inFlightEndpoint string
	notice           string
	retryMS          int64
	corruptedID      string // the message's id, if its record is lost
}

func newIndex() *index {
	return &index{
		seeds:   [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		slots:   make([]uint32, initialSlots),
		details: map[uint32]*entryDetail{},
	}
}

func (x *index) keyOfBytes(id []byte) indexKey {
	return indexKey{maphash.Bytes(x.seeds[0], id), uint32(maphash.Bytes(x.seeds[1], id))}
}

func (x *index) keyOf(id string) indexKey {
	return indexKey{maphash.String(x.seeds[0], id), uint32(maphash.String(x.seeds[1], id))}
}

func (x *index) entryAt(i uint32) *entry { return &x.chunks[i/chunkSize][i%chunkSize] }

// ref returns the reference to the entry at position i.
func (x *index) ref(i uint32) Ref { return Ref(uint16(x.entryAt(i).seq))<<32 | Ref(i+1) }

// resolve returns the position of the entry that a reference identifies. ok is false if
// that entry no longer exists.
func (x *index) resolve(r Ref) (i uint32, ok bool) {
	if uint32(r) == 0 {
		return 0, false
	}
	i = uint32(r) - 1
	if i >= x.entryCount || x.entryAt(i).flags&entryLive == 0 {
		return 0, false
	}
	return i, x.ref(i) == r
}

// find returns the position of a key's entry. ok is false if there is none.
func (x *index) find(k indexKey) (i uint32, ok bool) {
	mask := uint64(len(x.slots) - 1)
	for s := k.hash64 & mask; x.slots[s] != 0; s = (s + 1) & mask {
		if i = x.slots[s] - 1; x.entryAt(i).hash64 == k.hash64 && x.entryAt(i).hash32 == k.hash32 {
			return i, true
		}
	}
	return 0, false
}

// add creates an entry for a key that has none.
func (x *index) add(k indexKey) (uint32, *entry) {
	if 4*(x.live+1) > 3*len(x.slots) {
		x.grow()
	}
	i := x.allocate()
	e := x.entryAt(i)
	*e = entry{hash64: k.hash64, hash32: k.hash32, flags: entryLive}
	x.insert(i, k.hash64)
	x.live++
	return i, e
}

// allocate returns a free position.
func (x *index) allocate() (i uint32) {
	if n := len(x.freeEntries); n > 0 {
		i, x.freeEntries = x.freeEntries[n-1], x.freeEntries[:n-1]
		return i
	}
	i = x.entryCount
	if i/chunkSize >= uint32(len(x.chunks)) {
		x.chunks = append(x.chunks, new([chunkSize]entry))
	}
	x.entryCount++
	return i
}

// insert puts position i into the hash table. hash is the first part of its entry's key.
func (x *index) insert(i uint32, hash uint64) {
	mask := uint64(len(x.slots) - 1)
	s := hash & mask
	for x.slots[s] != 0 {
		s = (s + 1) & mask
	}
	x.slots[s] = i + 1
}

func (x *index) grow() {
	old := x.slots
	x.slots = make([]uint32, 2*len(old))
	for _, s := range old {
		if s != 0 {
			x.insert(s-1, x.entryAt(s-1).hash64)
		}
	}
}

// remove deletes an entry. Later entries of the same run of slots move up to fill the gap,
// so no marker for a deleted entry is needed.
func (x *index) remove(i uint32) {
	mask := uint64(len(x.slots) - 1)
	s := x.entryAt(i).hash64 & mask
	for x.slots[s] != i+1 {
		s = (s + 1) & mask
	}
	for next := (s + 1) & mask; x.slots[next] != 0; next = (next + 1) & mask {
		home := x.entryAt(x.slots[next]-1).hash64 & mask
		if (next-home)&mask >= (next-s)&mask {
			x.slots[s], s = x.slots[next], next
		}
	}
	x.slots[s] = 0
	if x.entryAt(i).flags&entryDetailed != 0 {
		delete(x.details, i)
	}
	*x.entryAt(i) = entry{}
	x.freeEntries = append(x.freeEntries, i)
	x.live--
}

// detail returns the entry's detail and creates it if there is none.
func (x *index) detail(i uint32) *entryDetail {
	e := x.entryAt(i)
	if e.flags&entryDetailed == 0 {
		e.flags |= entryDetailed
		x.details[i] = &entryDetail{}
	}
	return x.details[i]
}

// dropEmptyDetail removes an entry's detail if all its fields are zero.
func (x *index) dropEmptyDetail(i uint32) {
	if d := x.details[i]; d != nil && *d == (entryDetail{}) {
		delete(x.details, i)
		x.entryAt(i).flags &^= entryDetailed
	}
}

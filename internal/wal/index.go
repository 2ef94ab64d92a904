package wal

import "hash/maphash"

// index finds the entry of each pending message. It holds neither ids nor bodies: a
// message is known by 96 bits of two seeded hashes of its id, and all else is read from
// its record. So it takes some 56 bytes a message and holds no pointers that the garbage
// collector would have to follow.
type index struct {
	seeds       [2]maphash.Seed
	slots       []uint32 // open addressing by hash: an entry's place + 1, 0 for none
	chunks      []*[chunkSize]entry
	entryCount  uint32 // entries in use or free
	freeEntries []uint32
	live        int
	details     map[uint32]*entryDetail
}

const (
	chunkSize    = 4096
	initialSlots = 1024 // a power of two, as each doubling leaves it
)

// indexKey is the hash of a message's id.
type indexKey struct {
	a uint64
	b uint32
}

// entry is one pending message.
type entry struct {
	a                  uint64
	seq                uint64 // of its accepted record: older messages have smaller ones
	unknownOutcomeAt   int64
	b                  uint32
	fileRef            uint32 // the file that holds its record; 0 where corruption took that
	offset             uint32
	size               uint32 // of the record
	stateSeq           uint32 // sequence number of its last record, counted from seq
	attempts           uint8
	flags              uint8
	unknownOutcomeZone int16
}

const (
	entryLive      = 1 << iota
	entryFromStart // pending when the log was opened
	entryRead      // handed out to the relay
	entryDetailed  // index.details has more
)

// entryDetail is the state that few messages have at any time.
type entryDetail struct {
	inFlightSince    int64
	inFlightZone     int
	inFlightProcess  int
	inFlightEndpoint string
	notice           string
	retryMS          int64
	corruptedID      string // the message's id, where its record is lost
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

func (x *index) at(i uint32) *entry { return &x.chunks[i/chunkSize][i%chunkSize] }

// ref gives the reference of the entry in a place.
func (x *index) ref(i uint32) Ref { return Ref(uint16(x.at(i).seq))<<32 | Ref(i+1) }

// resolve gives the place of the entry that a reference names; ok is false where there
// is none any more.
func (x *index) resolve(r Ref) (i uint32, ok bool) {
	if uint32(r) == 0 {
		return 0, false
	}
	i = uint32(r) - 1
	if i >= x.entryCount || x.at(i).flags&entryLive == 0 {
		return 0, false
	}
	return i, x.ref(i) == r
}

// find gives the place of a key's entry; ok is false where there is none.
func (x *index) find(k indexKey) (i uint32, ok bool) {
	mask := uint64(len(x.slots) - 1)
	for s := k.a & mask; x.slots[s] != 0; s = (s + 1) & mask {
		if i = x.slots[s] - 1; x.at(i).a == k.a && x.at(i).b == k.b {
			return i, true
		}
	}
	return 0, false
}

// add makes an entry for a key that has none.
func (x *index) add(k indexKey) (uint32, *entry) {
	if 4*(x.live+1) > 3*len(x.slots) {
		x.grow()
	}
	i := x.allocate()
	e := x.at(i)
	*e = entry{a: k.a, b: k.b, flags: entryLive}
	x.insert(i, k.a)
	x.live++
	return i, e
}

// allocate gives a place that is free.
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

// insert puts the entry in place i, whose key begins with hash, into the slots.
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
			x.insert(s-1, x.at(s-1).a)
		}
	}
}

// remove deletes an entry. The entries after it in its run of slots move up, so that no
// tombstone has to stay.
func (x *index) remove(i uint32) {
	mask := uint64(len(x.slots) - 1)
	s := x.at(i).a & mask
	for x.slots[s] != i+1 {
		s = (s + 1) & mask
	}
	for next := (s + 1) & mask; x.slots[next] != 0; next = (next + 1) & mask {
		home := x.at(x.slots[next]-1).a & mask
		if (next-home)&mask >= (next-s)&mask {
			x.slots[s], s = x.slots[next], next
		}
	}
	x.slots[s] = 0
	if x.at(i).flags&entryDetailed != 0 {
		delete(x.details, i)
	}
	*x.at(i) = entry{}
	x.freeEntries = append(x.freeEntries, i)
	x.live--
}

// detail gives the entry's detail, made where there is none.
func (x *index) detail(i uint32) *entryDetail {
	e := x.at(i)
	if e.flags&entryDetailed == 0 {
		e.flags |= entryDetailed
		x.details[i] = &entryDetail{}
	}
	return x.details[i]
}

// dropEmptyDetail removes a detail that holds nothing any more.
func (x *index) dropEmptyDetail(i uint32) {
	if d := x.details[i]; d != nil && *d == (entryDetail{}) {
		delete(x.details, i)
		x.at(i).flags &^= entryDetailed
	}
}

package simrelay

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"

	"plovershore/internal/discovery"
)

// MemberHash is a hash of all fields of a member except UpSince. The hash of a list is the
// sum of its members' hashes, so that a change of one member can update it.
func MemberHash(m *discovery.Member) uint64 {
	h := fnv.New64a()
	for _, s := range []string{m.ID, m.HostPort, m.Locality, m.Flavor, m.Phase} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(m.Cell))
	binary.BigEndian.PutUint64(b[8:], math.Float64bits(m.Size))
	h.Write(b[:])
	return h.Sum64()
}

// ListHash is the hash of a complete list; removed members do not count.
func ListHash(members []discovery.Member) (sum uint64) {
	for i := range members {
		if members[i].Phase != discovery.Removed {
			sum += MemberHash(&members[i])
		}
	}
	return sum
}

// ChangeKey identifies a change of one member by the member's phase and size after it, so
// that the same change has the same key in every relay.
func ChangeKey(id, phase string, size float64) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, id, " ", phase)
	if phase != discovery.Removed {
		fmt.Fprint(h, " ", size)
	}
	return h.Sum64()
}

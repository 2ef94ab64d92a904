package zones

import (
	"fmt"
	"slices"
	"strings"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// Room is what a destination has to serve it: the sizes of its endpoints that are up.
type Room struct {
	Cell int     `json:"cell"`
	Now  float64 `json:"now"`
	Left float64 `json:"left"` // without those in question
}

// Keeps tells whether enough is left, as a share of what there was.
func (r Room) Keeps(share float64) bool { return r.Left >= share*r.Now }

func (r Room) String() string {
	return fmt.Sprintf("destination %d would keep %.3g of %.3g", r.Cell, r.Left, r.Now)
}

// Rooms gives, by destination, what would be left of each that has endpoints in a
// zone, were that zone's all drained.
func Rooms(members []registry.Member, zone string) (all []Room) {
	by := map[int]*Room{}
	for _, m := range members {
		if m.Phase != discovery.Up {
			continue
		}
		r := by[m.Cell]
		if r == nil {
			r = &Room{Cell: m.Cell}
			by[m.Cell] = r
		}
		r.Now += size(m)
		if m.Locality != zone {
			r.Left += size(m)
		}
	}
	for _, m := range members {
		if r := by[m.Cell]; r != nil && m.Locality == zone && m.Phase == discovery.Up {
			all = append(all, *r)
			delete(by, m.Cell)
		}
	}
	slices.SortFunc(all, func(a, b Room) int { return a.Cell - b.Cell })
	return all
}

// Short are those of which less than a share would be left.
func Short(all []Room, share float64) (short []Room) {
	for _, r := range all {
		if !r.Keeps(share) {
			short = append(short, r)
		}
	}
	return short
}

func size(m registry.Member) float64 {
	if m.Size > 0 {
		return m.Size
	}
	return 1
}

func join(all []Room) string {
	var text []string
	for _, r := range all {
		text = append(text, r.String())
	}
	return strings.Join(text, "; ")
}

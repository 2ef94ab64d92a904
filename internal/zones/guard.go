package zones

import (
	"fmt"
	"slices"
	"strings"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// Capacity is what a destination has to serve it: the sizes of its endpoints that are up.
type Capacity struct {
	Cell      int     `json:"cell"`
	Now       float64 `json:"now"`
	Remaining float64 `json:"left"` // without those in question
}

// Retains tells whether enough is left, as a share of what there was.
func (r Capacity) Retains(share float64) bool { return r.Remaining >= share*r.Now }

func (r Capacity) String() string {
	return fmt.Sprintf("destination %d would keep %.3g of %.3g", r.Cell, r.Remaining, r.Now)
}

// CapacitiesWithout gives, by destination, what would be left of each that has endpoints in a
// zone, were that zone's all drained.
func CapacitiesWithout(members []registry.Member, zone string) (all []Capacity) {
	by := map[int]*Capacity{}
	for _, m := range members {
		if m.Phase != discovery.Up {
			continue
		}
		r := by[m.Cell]
		if r == nil {
			r = &Capacity{Cell: m.Cell}
			by[m.Cell] = r
		}
		r.Now += size(m)
		if m.Locality != zone {
			r.Remaining += size(m)
		}
	}
	for _, m := range members {
		if r := by[m.Cell]; r != nil && m.Locality == zone && m.Phase == discovery.Up {
			all = append(all, *r)
			delete(by, m.Cell)
		}
	}
	slices.SortFunc(all, func(a, b Capacity) int { return a.Cell - b.Cell })
	return all
}

// Insufficient are those of which less than a share would be left.
func Insufficient(all []Capacity, share float64) (short []Capacity) {
	for _, r := range all {
		if !r.Retains(share) {
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

func join(all []Capacity) string {
	var text []string
	for _, r := range all {
		text = append(text, r.String())
	}
	return strings.Join(text, "; ")
}

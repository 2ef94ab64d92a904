package zones

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// Capacity is what serves a destination: the sizes of its endpoints that are up.
type Capacity struct {
	Cell      int     `json:"cell"` // the destination
	Now       float64 `json:"now"`
	Remaining float64 `json:"left"` // without the endpoints in question
}

// Retains reports whether at least a fraction of the capacity remains.
func (c Capacity) Retains(fraction float64) bool { return c.Remaining >= fraction*c.Now }

// String is the text of an evacuation that this capacity prevents.
func (c Capacity) String() string {
	return fmt.Sprintf("destination %d would keep %.3g of %.3g", c.Cell, c.Remaining, c.Now)
}

// CapacitiesWithout returns, by destination, what would remain if all endpoints of a
// zone were drained, for each destination that has endpoints in the zone.
func CapacitiesWithout(members []registry.Member, zone string) []Capacity {
	byCell := map[int]*Capacity{}
	inZone := map[int]bool{}
	for _, member := range members {
		if member.Phase != discovery.Up {
			continue
		}
		capacity := byCell[member.Cell]
		if capacity == nil {
			capacity = &Capacity{Cell: member.Cell}
			byCell[member.Cell] = capacity
		}
		capacity.Now += memberSize(member)
		if member.Locality == zone {
			inZone[member.Cell] = true
		} else {
			capacity.Remaining += memberSize(member)
		}
	}
	var capacities []Capacity
	for cell := range inZone {
		capacities = append(capacities, *byCell[cell])
	}
	slices.SortFunc(capacities, func(a, b Capacity) int { return cmp.Compare(a.Cell, b.Cell) })
	return capacities
}

// Insufficient returns the capacities of which less than a fraction would remain.
func Insufficient(capacities []Capacity, fraction float64) (insufficient []Capacity) {
	for _, capacity := range capacities {
		if !capacity.Retains(fraction) {
			insufficient = append(insufficient, capacity)
		}
	}
	return insufficient
}

// memberSize is 1 for an endpoint that states no size.
func memberSize(member registry.Member) float64 {
	if member.Size > 0 {
		return member.Size
	}
	return 1
}

func joinCapacities(capacities []Capacity) string {
	var texts []string
	for _, capacity := range capacities {
		texts = append(texts, capacity.String())
	}
	return strings.Join(texts, "; ")
}

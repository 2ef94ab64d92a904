package zones

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// Capacity is the capacity of one destination, which is the sum of the sizes of its
// endpoints that are up.
type Capacity struct {
	Cell      int     `json:"cell"` // the number of the destination
	Now       float64 `json:"now"`  // the present capacity
	Remaining float64 `json:"left"` // the capacity without the endpoints to be drained
}

// Retains reports whether at least the given fraction of the present capacity remains.
func (c Capacity) Retains(fraction float64) bool { return c.Remaining >= fraction*c.Now }

// String describes the capacity as the reason why an evacuation is rejected or waits.
func (c Capacity) String() string {
	return fmt.Sprintf("destination %d would keep %.3g of %.3g", c.Cell, c.Remaining, c.Now)
}

// CapacitiesWithout returns the capacity of each destination that has endpoints that are
// up in the zone, in the order of the destinations. Remaining is the capacity that would
// remain if all endpoints of the zone were drained.
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

// Insufficient returns those capacities of which less than the given fraction would remain.
func Insufficient(capacities []Capacity, fraction float64) (insufficient []Capacity) {
	for _, capacity := range capacities {
		if !capacity.Retains(fraction) {
			insufficient = append(insufficient, capacity)
		}
	}
	return insufficient
}

// memberSize returns the size of an endpoint, or 1 if it has not registered a size.
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

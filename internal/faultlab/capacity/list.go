package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"plovershore/internal/discovery"
)

// Target of the predictions, with a relay's budgets.
const (
	targetMembers  = 31_000
	targetRelays   = 450
	targetZones    = 8
	targetInFlight = 1_930_000 // messages pending in one relay after a long outage
	budgetMemory   = 256       // MB of memory for a relay's control tasks
	budgetCore     = 3.4       // percent of a core for an idle relay
	budgetBytes    = 30        // KB a second between an idle relay and its agent
)

const (
	shortID = 10 // characters of a member's ID
	longID  = 34
)

var (
	memberSizes = []int{310, 1000, 3100, 10_000, 31_000}
	smokeSizes  = []int{31, 310}
)

// memberList makes a complete list of members, each the only endpoint of its destination,
// with IDs of idLength characters.
func memberList(size, idLength int) *discovery.List {
	list := &discovery.List{Revision: int64(size), Complete: true, Members: make([]discovery.Member, size)}
	for i := range list.Members {
		list.Members[i] = newMember(i, idLength)
	}
	return list
}

func newMember(index, idLength int) discovery.Member {
	return discovery.Member{ID: fmt.Sprintf("s-%0*d", idLength-2, index), HostPort: fmt.Sprintf("10.%d.%d.%d:6379", index>>16&255, index>>8&255, index&255),
		Locality: fmt.Sprintf("z-%d", index%targetZones), Flavor: "agent", Cell: index, Phase: discovery.Up, Size: 1}
}

func listJobs() []job {
	newJob := func(name string, idLength int) job {
		quantity := func(what, unit string) Quantity {
			return Quantity{Role: "relay", Name: fmt.Sprintf("%s, ids of %d letters", what, idLength), Unit: unit, SizeUnit: "members", Target: targetMembers}
		}
		return job{name: name, sizes: memberSizes, smoke: smokeSizes,
			quantities: []Quantity{quantity("reading a whole list", "ms"), quantity("allocated to read it", "MB"), quantity("allocations to read it", "thousand"), quantity("bytes of it", "KB")},
			run: func(_ context.Context, _ *environment, size int) ([]float64, error) {
				return measureListParsing(size, idLength)
			}}
	}
	return []job{newJob("parse", shortID), newJob("parse-long", longID)}
}

func measureListParsing(size, idLength int) ([]float64, error) {
	text, err := json.Marshal(memberList(size, idLength))
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	rounds := max(3, 20_000/size)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	for range rounds {
		if _, err := discovery.Parse(text); err != nil {
			return nil, err
		}
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	count := float64(rounds)
	return []float64{took.Seconds() * 1e3 / count, float64(after.TotalAlloc-before.TotalAlloc) / 1e6 / count,
		float64(after.Mallocs-before.Mallocs) / 1e3 / count, float64(len(text)) / 1e3}, nil
}

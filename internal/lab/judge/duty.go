package judge

import (
	"cmp"
	"fmt"
	"slices"

	"troutusher/internal/lab/history"
)

// duties judges what the holders of a duty counted: each step is an effect. By
// their number, no step counts twice, and no token counts after a newer one.
// Steps whose answer a fault took are not seen, and leave gaps.
func (j *Judge) duties() {
	by := map[string][]history.Event{}
	for _, e := range j.effects {
		by[e.Text] = append(by[e.Text], e)
	}
	for name, all := range by {
		slices.SortStableFunc(all, func(a, b history.Event) int { return cmp.Or(a.Status-b.Status, cmp.Compare(a.For, b.For)) })
		for i := range all {
			j.judged("duty")
			if i == 0 {
				continue
			}
			switch a, b := all[i-1], all[i]; {
			case a.Status == b.Status:
				j.broken("duty", name, b.Relay, fmt.Sprintf("step %d counted twice, by %s under token %d and by %s under %d", b.Status, a.Relay, a.For, b.Relay, b.For), a, b)
			case b.For < a.For:
				j.broken("duty", name, b.Relay, fmt.Sprintf("step %d counted under token %d, after step %d under token %d", b.Status, b.For, a.Status, a.For), a, b)
			}
		}
	}
}

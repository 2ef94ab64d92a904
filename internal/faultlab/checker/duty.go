package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"plovershore/internal/faultlab/history"
)

// duties judges what the holders of a duty counted: each step is an effect. By
// their number, no step counts twice, and no token counts after a newer one.
// Steps whose answer a fault took are not seen, and leave gaps.
func (j *Check) duties() {
	by, asked := map[string][]history.Event{}, map[string][]history.Event{}
	for _, e := range j.effects {
		if e.Phase == "" || e.Phase == history.StepCounted {
			by[e.Text] = append(by[e.Text], e)
		}
		if e.Phase != "" {
			asked[e.Text] = append(asked[e.Text], e)
		}
	}
	for name, all := range asked {
		j.fenced(name, all)
	}
	for name, all := range by {
		slices.SortStableFunc(all, func(a, b history.Event) int { return cmp.Or(a.Status-b.Status, cmp.Compare(a.ValidFor, b.ValidFor)) })
		for i := range all {
			j.judged("duty")
			if i == 0 {
				continue
			}
			switch a, b := all[i-1], all[i]; {
			case a.Status == b.Status:
				j.broken("duty", name, b.Relay, fmt.Sprintf("step %d counted twice, by %s under token %d and by %s under %d", b.Status, a.Relay, a.ValidFor, b.Relay, b.ValidFor), a, b)
			case b.ValidFor < a.ValidFor:
				j.broken("duty", name, b.Relay, fmt.Sprintf("step %d counted under token %d, after step %d under token %d", b.Status, b.ValidFor, a.Status, a.ValidFor), a, b)
			}
		}
	}
}

// fence is the state of a fenced register: the step that stands, under which
// token, and whether that token was refused since.
type fence struct {
	step  int
	token int64
	dead  bool
}

// fencedRegister is the model of the steps: each counts one on, under a token
// that is no older than the last and was never refused.
var fencedRegister = porcupine.Model{
	Init: func() any { return fence{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(fence), input.(history.Event)
		counts := e.Status == s.step+1 && (e.ValidFor > s.token || e.ValidFor == s.token && !s.dead)
		switch e.Phase {
		case history.StepFenced: // a grant comes before, or the end of its own
			if e.ValidFor >= s.token {
				s.token, s.dead = e.ValidFor, true
			}
			return true, s
		case history.StepUnanswered:
			if !counts {
				return true, s // it never came, or was refused
			}
		}
		return counts, fence{e.Status, e.ValidFor, false}
	},
	DescribeOperation: func(input, _ any) string {
		e := input.(history.Event)
		return fmt.Sprintf("%s: step %d under %d %s", e.Relay, e.Status, e.ValidFor, e.Phase)
	},
}

// fenced judges that what the holders of a duty asked for, each in its span, has
// an order that a fenced register explains.
func (j *Check) fenced(name string, all []history.Event) {
	var spans []span
	for _, e := range all {
		s := span{from: e.SentAt, to: e.DueAt}
		if e.Phase == history.StepUnanswered {
			s.to = math.MaxInt64
		}
		spans = append(spans, s)
	}
	j.ordered("fenced", name, fencedRegister, all, spans)
}

package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"plovershore/internal/faultlab/history"
)

// checkRoles applies RuleRoleSteps to the steps that were counted for each role, and
// RuleFenced to those that the role's leaders requested.
func (c *Check) checkRoles() {
	counted, requested := map[string][]history.Event{}, map[string][]history.Event{}
	for _, e := range c.roleSteps {
		if e.Phase == "" || e.Phase == history.StepCounted {
			counted[e.Text] = append(counted[e.Text], e)
		}
		if e.Phase != "" {
			requested[e.Text] = append(requested[e.Text], e)
		}
	}
	for role, steps := range requested {
		c.checkFenced(role, steps)
	}
	for role, steps := range counted {
		c.checkSteps(role, steps)
	}
}

// checkSteps applies RuleRoleSteps: no step counts twice, and none counts under an
// older token than the step before it. Gaps are allowed, since steps whose answer was
// lost are not in the list.
func (c *Check) checkSteps(role string, steps []history.Event) {
	slices.SortStableFunc(steps, func(a, b history.Event) int {
		return cmp.Or(cmp.Compare(a.Step(), b.Step()), cmp.Compare(a.Token(), b.Token()))
	})
	for i, step := range steps {
		c.recordCheck(RuleRoleSteps)
		if i == 0 {
			continue
		}
		previous := steps[i-1]
		text := ""
		switch {
		case previous.Step() == step.Step():
			text = fmt.Sprintf("step %d counted twice, by %s under token %d and by %s under %d",
				step.Step(), previous.Relay, previous.Token(), step.Relay, step.Token())
		case step.Token() < previous.Token():
			text = fmt.Sprintf("step %d counted under token %d, after step %d under token %d",
				step.Step(), step.Token(), previous.Step(), previous.Token())
		default:
			continue
		}
		c.recordViolation(RuleRoleSteps, role, step.Relay, text, previous, step)
	}
}

// fence is the state of a fenced register: the last step, the newest token, and
// whether that token was rejected since.
type fence struct {
	step     int
	token    int64
	rejected bool
}

// fencedRegisterModel is a sequential model of a role's steps: each step counts one
// further than the last, under a token that is no older than the last one and was
// not rejected before.
var fencedRegisterModel = porcupine.Model{
	Init: func() any { return fence{} },
	Step: func(state, input, _ any) (bool, any) {
		current, e := state.(fence), input.(history.Event)
		counts := e.Step() == current.step+1 && (e.Token() > current.token || e.Token() == current.token && !current.rejected)
		switch e.Phase {
		case history.StepFenced: // the step's token had ended, or a newer token had been granted
			if e.Token() >= current.token {
				current.token, current.rejected = e.Token(), true
			}
			return true, current
		case history.StepUnanswered:
			if !counts {
				return true, current // the request did not arrive, or was rejected
			}
		}
		return counts, fence{step: e.Step(), token: e.Token()}
	},
	DescribeOperation: func(input, _ any) string {
		e := input.(history.Event)
		return fmt.Sprintf("%s: step %d under %d %s", e.Relay, e.Step(), e.Token(), e.Phase)
	},
}

// checkFenced applies RuleFenced to the steps that the leaders of a role requested. A
// step spans the time from its request to its answer.
func (c *Check) checkFenced(role string, steps []history.Event) {
	var spans []interval
	for _, e := range steps {
		span := interval{begin: e.SentAt, end: e.DueAt}
		if e.Phase == history.StepUnanswered {
			span.end = math.MaxInt64
		}
		spans = append(spans, span)
	}
	c.checkOrder(RuleFenced, role, fencedRegisterModel, steps, spans)
}

package faultlab

import (
	"fmt"
	"path/filepath"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/simrelay"
)

// scaleCheck applies the rules that simulated relays can be checked by:
//
//	checker.RuleStart       every relay receives a list
//	checker.RuleList        each relay ends with the service's list
//	checker.RuleChange      each change is applied once, in the order in which it was made
//	checker.RuleCompletion  each accepted message is completed once, and the log has none pending
type scaleCheck struct {
	dir     string
	began   int64 // Unix µs
	verdict checker.Verdict
}

func newScaleCheck(dir string, began int64) *scaleCheck {
	return &scaleCheck{dir: dir, began: began, verdict: checker.NewVerdict()}
}

const maxScaleShown = 5 // violations of one rule in the verdict

// violate adds a violation; a and b are the moments in question in Unix µs, 0 for none.
func (j *scaleCheck) violate(rule checker.Rule, subject, text string, a, b int64) {
	event := func(at int64) history.Event {
		if at == 0 {
			return history.Event{}
		}
		return history.Event{Time: at - j.began, Kind: history.ListUpdate, Relay: subject}
	}
	j.verdict.Add(checker.Violation{Rule: rule, Subject: subject, Message: text, First: event(a), Second: event(b), File: filepath.Join(j.dir, logsDir)}, maxScaleShown)
}

func (j *scaleCheck) checked(rule checker.Rule) { j.verdict.Checked[rule]++ }

// checkList checks one relay's list at the end.
func (j *scaleCheck) checkList(relay string, has, wanted uint64, members int) {
	if j.checked(checker.RuleList); has != wanted {
		j.violate(checker.RuleList, relay, fmt.Sprintf("ends with another list than the service's, of %d members", members), 0, 0)
	}
}

// checkChanges checks what one relay applied of the changes, given in the order in
// which they were made.
func (j *scaleCheck) checkChanges(r *simrelay.RelayResult, made []scaleChange) {
	for _, text := range r.OutOfOrder {
		j.violate(checker.RuleChange, r.Name, text, 0, 0)
	}
	heard := map[uint64][]int{} // places
	for i, h := range r.Changes {
		heard[h.Key] = append(heard[h.Key], i)
	}
	last := -1
	for _, c := range made {
		j.checked(checker.RuleChange)
		places := heard[c.Key]
		switch {
		case len(places) == 0 && r.CompleteLists > 1:
			j.verdict.Excused["changes that a complete list may have stood for"]++
		case len(places) == 0:
			j.violate(checker.RuleChange, r.Name, "a change was never applied", c.RequestedAt, 0)
		case len(places) > 1:
			j.violate(checker.RuleChange, r.Name, "a change was applied twice", r.Changes[places[0]].At, r.Changes[places[1]].At)
		case places[0] < last:
			j.violate(checker.RuleChange, r.Name, "a change was applied before one that was made earlier", c.RequestedAt, r.Changes[places[0]].At)
		default:
			last = places[0]
		}
	}
}

// checkMessages checks the messages of one relay.
func (j *scaleCheck) checkMessages(r *simrelay.RelayResult) {
	c := &r.Counts
	j.verdict.Checked[checker.RuleCompletion] += int(c.Accepted)
	if r.LogErr != "" {
		j.violate(checker.RuleCompletion, r.Name, "its log cannot be read: "+r.LogErr, 0, 0)
	}
	if c.InFlight != 0 {
		j.violate(checker.RuleCompletion, r.Name, fmt.Sprintf("%d messages are not completed", c.InFlight), 0, 0)
	}
	if ends := c.Delivered + c.Returned + c.Failed + c.InFlight; ends != c.Accepted || c.DuplicateCompletions > 0 {
		j.violate(checker.RuleCompletion, r.Name, fmt.Sprintf("%d messages were accepted and %d completions counted, %d of them twice", c.Accepted, ends, c.DuplicateCompletions), 0, 0)
	}
	if r.Pending != 0 {
		j.violate(checker.RuleCompletion, r.Name, fmt.Sprintf("its log has %d messages pending", r.Pending), 0, 0)
	}
}

package faultlab

import (
	"fmt"
	"path/filepath"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/simrelay"
)

// scaleCheck holds a scale run to the rules that its hollow relays can be held to:
//
//	start   every relay comes to have a list
//	list    each relay ends with the list that the service has
//	change  each change is heard once, in the order in which it was made
//	end     each message that was taken on has one end, and the log owes nothing
type scaleCheck struct {
	dir     string
	began   int64 // Unix µs
	verdict checker.Verdict
}

func newScaleCheck(dir string, began int64) *scaleCheck {
	return &scaleCheck{dir: dir, began: began, verdict: checker.NewVerdict()}
}

const maxScaleShown = 5 // of one rule, told one by one

// violate books a broken promise; a and b are the moments in question, Unix µs, 0 for none.
func (j *scaleCheck) violate(rule checker.Rule, subject, text string, a, b int64) {
	event := func(at int64) history.Event {
		if at == 0 {
			return history.Event{}
		}
		return history.Event{Time: at - j.began, Kind: history.ListUpdate, Relay: subject}
	}
	j.verdict.Add(checker.Violation{Rule: rule, Subject: subject, Message: text, First: event(a), Second: event(b), File: filepath.Join(j.dir, "logs")}, maxScaleShown)
}

func (j *scaleCheck) checked(rule checker.Rule) { j.verdict.Checked[rule]++ }

// checkList judges one relay's list at the end.
func (j *scaleCheck) checkList(relay string, has, wanted uint64, members int) {
	if j.checked("list"); has != wanted {
		j.violate("list", relay, fmt.Sprintf("ends with another list than the service's; it has %d members", members), 0, 0)
	}
}

// checkChanges judges what one relay heard of the changes, in the order in which they
// were made.
func (j *scaleCheck) checkChanges(r *simrelay.RelayResult, made []scaleChange) {
	for _, text := range r.OutOfOrder {
		j.violate("change", r.Name, text, 0, 0)
	}
	heard := map[uint64][]int{} // places
	for i, h := range r.Changes {
		heard[h.Key] = append(heard[h.Key], i)
	}
	last := -1
	for _, c := range made {
		j.checked("change")
		places := heard[c.Key]
		switch {
		case len(places) == 0 && r.CompleteLists > 1:
			j.verdict.Excused["changes that a whole list may have stood for"]++
		case len(places) == 0:
			j.violate("change", r.Name, "a change was never heard", c.RequestedAt, 0)
		case len(places) > 1:
			j.violate("change", r.Name, "a change was heard twice", r.Changes[places[0]].At, r.Changes[places[1]].At)
		case places[0] < last:
			j.violate("change", r.Name, "a change was heard before one that was made earlier", c.RequestedAt, r.Changes[places[0]].At)
		default:
			last = places[0]
		}
	}
}

// checkMessages judges the messages of one relay.
func (j *scaleCheck) checkMessages(r *simrelay.RelayResult) {
	c := &r.Counts
	j.verdict.Checked["end"] += int(c.Accepted)
	if r.LogErr != "" {
		j.violate("end", r.Name, "its log cannot be read: "+r.LogErr, 0, 0)
	}
	if c.InFlight != 0 {
		j.violate("end", r.Name, fmt.Sprintf("%d messages have no end", c.InFlight), 0, 0)
	}
	if ends := c.Delivered + c.Returned + c.Failed + c.InFlight; ends != c.Accepted || c.DuplicateCompletions > 0 {
		j.violate("end", r.Name, fmt.Sprintf("%d messages were taken on and %d ends counted, %d of them twice", c.Accepted, ends, c.DuplicateCompletions), 0, 0)
	}
	if r.Pending != 0 {
		j.violate("end", r.Name, fmt.Sprintf("its log owes %d messages", r.Pending), 0, 0)
	}
}

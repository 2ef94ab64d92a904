package faultlab

import (
	"fmt"
	"path/filepath"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/simrelay"
)

// scaleCheck checks the results of simulated relays, and the lengths of the lists of real
// ones, by these rules:
//
//	checker.RuleStart       every relay receives a list of all members
//	checker.RuleList        each relay ends with the service's list
//	checker.RuleChange      each change is applied once, in the order in which it was made;
//	                        one that is missing is excused if a later complete list may hold it
//	checker.RuleCompletion  each accepted message is completed once, and the log has none pending
type scaleCheck struct {
	dir       string
	startedAt int64 // start of the run in Unix µs
	verdict   checker.Verdict
}

func newScaleCheck(dir string, startedAt int64) *scaleCheck {
	return &scaleCheck{dir: dir, startedAt: startedAt, verdict: checker.NewVerdict()}
}

const maxShownViolations = 5 // violations of one rule that the verdict lists

// addViolation adds a violation; firstAt and secondAt are the times of the events
// concerned in Unix µs, 0 for none.
func (s *scaleCheck) addViolation(rule checker.Rule, subject, text string, firstAt, secondAt int64) {
	event := func(at int64) history.Event {
		if at == 0 {
			return history.Event{}
		}
		return history.Event{Time: at - s.startedAt, Kind: history.ListUpdate, Relay: subject}
	}
	s.verdict.Add(checker.Violation{Rule: rule, Subject: subject, Message: text, First: event(firstAt), Second: event(secondAt), File: filepath.Join(s.dir, logsDir)}, maxShownViolations)
}

func (s *scaleCheck) countCheck(rule checker.Rule) { s.verdict.Checked[rule]++ }

// checkList checks that one relay's list at the end of the run is the service's.
func (s *scaleCheck) checkList(relay string, hash, wantHash uint64, members int) {
	if s.countCheck(checker.RuleList); hash != wantHash {
		s.addViolation(checker.RuleList, relay, fmt.Sprintf("ends with another list than the service's, of %d members", members), 0, 0)
	}
}

// checkChanges checks which changes one relay applied; changes are given in the order
// in which they were made.
func (s *scaleCheck) checkChanges(r *simrelay.RelayResult, changes []scaleChange) {
	for _, text := range r.OutOfOrder {
		s.addViolation(checker.RuleChange, r.Name, text, 0, 0)
	}
	indicesByKey := map[uint64][]int{} // indices in r.Changes, by key
	for i, applied := range r.Changes {
		indicesByKey[applied.Key] = append(indicesByKey[applied.Key], i)
	}
	lastIndex := -1
	for _, change := range changes {
		s.countCheck(checker.RuleChange)
		indices := indicesByKey[change.Key]
		switch {
		case len(indices) == 0 && r.CompleteLists > 1:
			s.verdict.Excused["changes that a complete list may have stood for"]++
		case len(indices) == 0:
			s.addViolation(checker.RuleChange, r.Name, "a change was never applied", change.RequestedAt, 0)
		case len(indices) > 1:
			s.addViolation(checker.RuleChange, r.Name, "a change was applied twice", r.Changes[indices[0]].At, r.Changes[indices[1]].At)
		case indices[0] < lastIndex:
			s.addViolation(checker.RuleChange, r.Name, "a change was applied before one that was made earlier", change.RequestedAt, r.Changes[indices[0]].At)
		default:
			lastIndex = indices[0]
		}
	}
}

// checkMessages checks that one relay completed each accepted message once, and that
// its log has none pending.
func (s *scaleCheck) checkMessages(r *simrelay.RelayResult) {
	c := &r.Counts
	s.verdict.Checked[checker.RuleCompletion] += int(c.Accepted)
	if r.LogErr != "" {
		s.addViolation(checker.RuleCompletion, r.Name, "its log cannot be read: "+r.LogErr, 0, 0)
	}
	if c.InFlight != 0 {
		s.addViolation(checker.RuleCompletion, r.Name, fmt.Sprintf("%d messages are not completed", c.InFlight), 0, 0)
	}
	if completions := c.Delivered + c.Returned + c.Failed + c.InFlight; completions != c.Accepted || c.DuplicateCompletions > 0 {
		s.addViolation(checker.RuleCompletion, r.Name, fmt.Sprintf("%d messages were accepted and %d completions counted, %d of them twice", c.Accepted, completions, c.DuplicateCompletions), 0, 0)
	}
	if r.Pending != 0 {
		s.addViolation(checker.RuleCompletion, r.Name, fmt.Sprintf("its log has %d messages pending", r.Pending), 0, 0)
	}
}

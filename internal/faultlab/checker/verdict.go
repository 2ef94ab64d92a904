package checker

import (
	"cmp"
	"fmt"
	"slices"

	"plovershore/internal/faultlab/history"
)

// Rule names a rule of the protocol. Its text is stored in reports and shown on
// the command line.
type Rule string

// The rules for a message.
const (
	RuleCompletion    Rule = "end"       // an accepted message gets its one final response in time
	RuleNoRepeat      Rule = "repeat"    // a non-idempotent message that may have run is neither sent again nor handed back
	RuleRunsOnce      Rule = "effect"    // a non-idempotent message takes effect at most once
	RuleSingleAttempt Rule = "one-out"   // one attempt of a message is in flight at a time
	RuleAttempts      Rule = "attempts"  // a message has at most Rules.MaxAttempts attempts
	RuleRejected      Rule = "refused"   // a rejected message is not sent
	RuleSingleAnswer  Rule = "answer"    // a client's request has one answer
	RuleAfterNotice   Rule = "after-end" // a message is not sent after its notice
	RuleValidCall     Rule = "form"      // calls and notices are for messages that a client submitted
	RuleRetryAfter    Rule = "wait"      // a destination gets no calls before the end of its Retry-After
	RuleDrain         Rule = "drain"     // a draining or removed endpoint gets no calls once the grace after its change has ended
	RuleRecoveryLoad  Rule = "topple"    // a recovering destination is not overloaded
)

// The rules for a process.
const (
	RuleInvalidPeer Rule = "peer"   // an invalid peer gets an error line or a closed connection in time
	RuleLimits      Rule = "limits" // a relay stays within its limits for memory, descriptors and disk
	RuleShutdown    Rule = "term"   // SIGTERM ends the process in time
	RuleCrash       Rule = "crash"  // a process ends only when it is told to
	RuleStart       Rule = "start"  // a process becomes ready, unless it is told to end or the run ends soon after its start
)

// The rules for the list service and its controllers.
const (
	RuleList         Rule = "list"   // every watcher receives each revision once and in order, and all receive the same
	RuleChange       Rule = "change" // every relay applies each change once, in order
	RuleLinearizable Rule = "linear" // operations on a register are linearizable
	RuleRoleSteps    Rule = "duty"   // a step of a role counts at most once, under tokens that never decrease
	RuleFenced       Rule = "fenced" // the steps of a role behave like operations on a fenced register
)

// Violation is one violated rule.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Subject string        `json:"subject"` // a message or a process
	Message string        `json:"text"`
	First   history.Event `json:"first"`  // the event that made the rule apply
	Second  history.Event `json:"second"` // the event that contradicts it; the zero event if an expected event is missing
	File    string        `json:"file"`   // the log or history that explains more
}

// String describes the violation in one line.
func (v Violation) String() string {
	second := "the end of the run, with nothing heard"
	if v.Second.Kind != "" {
		second = fmt.Sprintf("%s at %.3f s", v.Second.Kind, seconds(v.Second.Time))
	}
	return fmt.Sprintf("%s: %s: %s (%s at %.3f s, then %s; see %s)",
		v.Rule, v.Subject, v.Message, v.First.Kind, seconds(v.First.Time), second, v.File)
}

func seconds(micros int64) float64 { return float64(micros) / 1e6 }

// Verdict is the result of a check. The zero value is not usable; see NewVerdict.
type Verdict struct {
	Violations []Violation    `json:"broken"`  // the first few violations of each rule
	Counts     map[Rule]int   `json:"counts"`  // number of all violations, by rule
	Checked    map[Rule]int   `json:"judged"`  // how often each rule was applied; a rule that was never applied has not been tested
	Excused    map[string]int `json:"excused"` // number of messages and operations that were not checked, by reason
}

// NewVerdict returns an empty verdict.
func NewVerdict() Verdict {
	return Verdict{Counts: map[Rule]int{}, Checked: map[Rule]int{}, Excused: map[string]int{}}
}

// OK reports whether no rule was violated. A rule that was never applied counts as
// not violated.
func (v *Verdict) OK() bool { return len(v.Counts) == 0 }

// Add counts a violation, and keeps it if fewer than limit violations of its rule were
// counted before.
func (v *Verdict) Add(violation Violation, limit int) {
	v.Counts[violation.Rule]++
	if v.Counts[violation.Rule] <= limit {
		v.Violations = append(v.Violations, violation)
	}
}

// sort orders the violations by the time of the event that showed them.
func (v *Verdict) sort() {
	slices.SortStableFunc(v.Violations, func(a, b Violation) int { return cmp.Compare(a.Second.Time, b.Second.Time) })
}

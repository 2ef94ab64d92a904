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
	RuleCompletion    Rule = "end"       // an accepted message has its one final response in time
	RuleNoRepeat      Rule = "repeat"    // a non-idempotent message that may have run is not sent or handed back
	RuleRunsOnce      Rule = "effect"    // a non-idempotent message takes effect once
	RuleSingleAttempt Rule = "one-out"   // one attempt of a message is in flight at a time
	RuleAttempts      Rule = "attempts"  // attempts are limited
	RuleRejected      Rule = "refused"   // a rejected message is not sent
	RuleSingleAnswer  Rule = "answer"    // a request has one answer
	RuleAfterNotice   Rule = "after-end" // a message is not sent after its notice
	RuleValidCall     Rule = "form"      // calls and notices are of messages that a client submitted
	RuleRetryAfter    Rule = "wait"      // a destination that asked to wait is left alone
	RuleDrain         Rule = "drain"     // a draining endpoint is left alone
	RuleRecoveryLoad  Rule = "topple"    // a recovering destination is not overloaded
)

// The rules for a process.
const (
	RuleInvalidPeer Rule = "peer"   // an invalid peer gets an error or a close in time
	RuleLimits      Rule = "limits" // memory, descriptors and disk are limited
	RuleShutdown    Rule = "term"   // SIGTERM ends the process in time
	RuleCrash       Rule = "crash"  // a process ends only when it is told to
	RuleStart       Rule = "start"  // a process becomes ready in time
)

// The rules for the list service and its controllers.
const (
	RuleList      Rule = "list"   // every watcher receives each revision once, in order, and all the same
	RuleChange    Rule = "change" // every relay applies each change once, in order
	RuleLinear    Rule = "linear" // operations on a register are linearizable
	RuleRoleSteps Rule = "duty"   // a step of a role counts once, under tokens that never decrease
	RuleFenced    Rule = "fenced" // the steps of a role are those of a fenced register
)

// Violation is one violated rule.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Subject string        `json:"subject"` // a message or a process
	Message string        `json:"text"`
	First   history.Event `json:"first"`  // the event that made the rule apply
	Second  history.Event `json:"second"` // the event that contradicts it; without a kind if nothing came
	File    string        `json:"file"`   // to read on
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
	Violations []Violation    `json:"broken"` // the first of each rule
	Counts     map[Rule]int   `json:"counts"` // of all violations
	Checked    map[Rule]int   `json:"judged"` // how often each rule was applied: one never applied proves nothing
	Excused    map[string]int `json:"excused"`
}

// NewVerdict returns an empty verdict.
func NewVerdict() Verdict {
	return Verdict{Counts: map[Rule]int{}, Checked: map[Rule]int{}, Excused: map[string]int{}}
}

// OK reports whether no rule was violated.
func (v *Verdict) OK() bool { return len(v.Counts) == 0 }

// Add counts a violation, and keeps it if it is one of the first limit of its rule.
func (v *Verdict) Add(violation Violation, limit int) {
	v.Counts[violation.Rule]++
	if v.Counts[violation.Rule] <= limit {
		v.Violations = append(v.Violations, violation)
	}
}

// sort orders the violations by when each was seen.
func (v *Verdict) sort() {
	slices.SortStableFunc(v.Violations, func(a, b Violation) int { return cmp.Compare(a.Second.Time, b.Second.Time) })
}

package checker

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"plovershore/internal/faultlab/history"
)

// listed is what the watchers of a list service have heard.
type listed struct {
	content map[string]history.Event // by epoch, revision and whether it is whole: who heard it first
	last    map[string]history.Event // of each watcher
	ops     []history.Event
}

// watched judges one piece of news: each watcher hears every revision of an
// epoch once and in order, and all hear the same of one revision.
func (j *Check) watched(e history.Event) {
	l := &j.list
	if l.content == nil {
		l.content, l.last = map[string]history.Event{}, map[string]history.Event{}
	}
	j.judged("list")
	last, known := l.last[e.Relay]
	whole := e.Phase == "whole"
	switch {
	case !known || last.Text != e.Text:
		if !whole {
			j.broken("list", e.Relay, "", "the first news of an epoch is a change, not a whole list", last, e)
		}
	case whole && e.DueAt < last.DueAt:
		j.broken("list", e.Relay, "", fmt.Sprintf("back from revision %d to %d", last.DueAt, e.DueAt), last, e)
	case !whole && e.DueAt <= last.DueAt:
		j.broken("list", e.Relay, "", fmt.Sprintf("revision %d again, or late, after %d", e.DueAt, last.DueAt), last, e)
	case !whole && e.DueAt > last.DueAt+1:
		j.broken("list", e.Relay, "", fmt.Sprintf("a gap from revision %d to %d", last.DueAt, e.DueAt), last, e)
	}
	l.last[e.Relay] = e
	key := fmt.Sprint(e.Text, " ", e.DueAt, " ", e.Phase)
	if first, ok := l.content[key]; !ok {
		l.content[key] = e
	} else if first.FirstMessage != e.FirstMessage {
		j.broken("list", e.Relay, "", fmt.Sprintf("revision %d differs from what %s heard", e.DueAt, first.Relay), first, e)
	}
}

// register is the model of the operations: one value, written and read.
var register = porcupine.Model{
	Init: func() any { return int64(-1) },
	Step: func(state, input, output any) (bool, any) {
		e := input.(history.Event)
		switch e.Text {
		case "write":
			return true, e.ValidFor
		case "restore": // the value is what the backup has
			return true, int64(-1)
		}
		return state == int64(-1) || state == e.ValidFor, state // before the first write anything may be read
	},
	DescribeOperation: func(input, _ any) string { e := input.(history.Event); return fmt.Sprint(e.Text, " ", e.ValidFor) },
}

const linearMost = 20 * time.Second // after which the search is given up: neither kept nor broken

// linear judges that the operations have an order that explains every answer.
func (j *Check) linear() {
	var ops []history.Event
	var spans []span
	for _, e := range j.list.ops {
		if e.Status == 0 && e.Text == "read" {
			continue // nobody heard what it read
		}
		s := span{from: e.DueAt, to: e.Time}
		if e.Status == 0 {
			s.to = math.MaxInt64
		}
		spans, ops = append(spans, s), append(ops, e)
	}
	j.ordered("linear", "register", register, ops, spans)
}

// ordered judges by a rule that operations, each in its span, have an order that a
// model explains. One with no answer may take effect at any later moment, or never:
// its span does not end.
func (j *Check) ordered(rule, subject string, model porcupine.Model, all []history.Event, spans []span) {
	if len(all) == 0 {
		return
	}
	clients := map[string]int{}
	var ops []porcupine.Operation
	for i, e := range all {
		if _, ok := clients[e.Relay]; !ok {
			clients[e.Relay] = len(clients)
		}
		op := porcupine.Operation{ClientId: clients[e.Relay], Input: e, Call: spans[i].from, Return: spans[i].to}
		if op.Return == math.MaxInt64 {
			op.ClientId = len(all) + i // whoever asked for it goes on to the next
		}
		ops = append(ops, op)
	}
	switch porcupine.CheckOperationsTimeout(model, ops, linearMost) {
	case porcupine.Ok:
		j.v.Checked[rule] += len(ops)
	case porcupine.Unknown:
		j.v.Excused["operations whose order was not found in time"] += len(ops)
	case porcupine.Illegal:
		j.judged(rule)
		j.broken(rule, subject, "", fmt.Sprintf("no order of %d operations explains what they were answered", len(ops)), all[0], all[len(all)-1])
	}
}

package checker

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"plovershore/internal/faultlab/history"
)

// linearTimeout limits the search for an order of operations. A search that reaches
// it ends without a verdict.
const linearTimeout = 20 * time.Second

// unwritten is the state of the register before its first write and after a restore
// from a backup: a read may then return anything.
const unwritten = int64(-1)

// registerModel is a sequential model of a register: one value that is written and
// read.
var registerModel = porcupine.Model{
	Init: func() any { return unwritten },
	Step: func(state, input, _ any) (bool, any) {
		e := input.(history.Event)
		switch e.Text {
		case history.OpWrite:
			return true, e.Value()
		case history.OpRestore:
			return true, unwritten
		}
		return state == unwritten || state == e.Value(), state
	},
	DescribeOperation: func(input, _ any) string {
		e := input.(history.Event)
		return fmt.Sprint(e.Text, " ", e.Value())
	},
}

// checkLinearizable applies RuleLinearizable to the operations on the register. It
// leaves out reads that were not answered.
func (c *Check) checkLinearizable() {
	var operations []history.Event
	var spans []interval
	for _, e := range c.operations {
		answered := e.Status != 0
		if !answered && e.Text == history.OpRead {
			continue // the value that it read is unknown
		}
		span := interval{begin: e.DueAt, end: e.Time}
		if !answered {
			span.end = math.MaxInt64
		}
		operations, spans = append(operations, e), append(spans, span)
	}
	c.checkOrder(RuleLinearizable, "register", registerModel, operations, spans)
}

// checkOrder applies a rule that demands linearizability: there is an order of the
// operations that the model allows and in which each takes effect at some moment
// within its span. An operation without an answer has a span without an end: it may
// take effect at any later moment, or never.
func (c *Check) checkOrder(rule Rule, subject string, model porcupine.Model, events []history.Event, spans []interval) {
	if len(events) == 0 {
		return
	}
	clients := map[string]int{}
	var operations []porcupine.Operation
	for i, e := range events {
		if _, ok := clients[e.Relay]; !ok {
			clients[e.Relay] = len(clients)
		}
		operation := porcupine.Operation{ClientId: clients[e.Relay], Input: e, Call: spans[i].begin, Return: spans[i].end}
		if operation.Return == math.MaxInt64 {
			operation.ClientId = len(events) + i // a client of its own, since the real one continues with its next operation
		}
		operations = append(operations, operation)
	}
	switch porcupine.CheckOperationsTimeout(model, operations, linearTimeout) {
	case porcupine.Ok:
		c.verdict.Checked[rule] += len(operations)
	case porcupine.Unknown:
		c.verdict.Excused["operations whose order was not found in time"] += len(operations)
	case porcupine.Illegal:
		c.recordCheck(rule)
		text := fmt.Sprintf("no order of %d operations explains their answers", len(operations))
		c.recordViolation(rule, subject, "", text, events[0], events[len(events)-1])
	}
}

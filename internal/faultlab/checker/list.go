package checker

import (
	"fmt"

	"plovershore/internal/faultlab/history"
)

// listState records what the watchers of the list service have received.
type listState struct {
	contents map[listContent]history.Event // the first update received for each listContent
	last     map[string]history.Event      // the last update of each watcher
}

// listContent identifies an update. All watchers must receive the same members for it.
type listContent struct {
	epoch    string
	revision int64
	phase    string
}

func newListState() listState {
	return listState{contents: map[listContent]history.Event{}, last: map[string]history.Event{}}
}

// listUpdateReceived applies RuleList: each watcher receives every revision of an
// epoch once and in order, and all watchers receive the same for one revision.
func (c *Check) listUpdateReceived(e history.Event) {
	c.recordCheck(RuleList)
	watcher := e.Relay
	last, known := c.list.last[watcher]
	complete := e.Phase == history.ListComplete
	text := ""
	switch {
	case !known || last.Text != e.Text:
		if !complete {
			text = "the first update of an epoch is a change, not a complete list"
		}
	case complete && e.Revision() < last.Revision():
		text = fmt.Sprintf("back from revision %d to %d", last.Revision(), e.Revision())
	case !complete && e.Revision() <= last.Revision():
		text = fmt.Sprintf("revision %d again, or late, after %d", e.Revision(), last.Revision())
	case !complete && e.Revision() > last.Revision()+1:
		text = fmt.Sprintf("a gap from revision %d to %d", last.Revision(), e.Revision())
	}
	if text != "" {
		c.recordViolation(RuleList, watcher, "", text, last, e)
	}
	c.list.last[watcher] = e
	content := listContent{e.Text, e.Revision(), e.Phase}
	if first, ok := c.list.contents[content]; !ok {
		c.list.contents[content] = e
	} else if first.FirstMessage != e.FirstMessage { // FirstMessage holds a hash of the members
		c.recordViolation(RuleList, watcher, "", fmt.Sprintf("revision %d differs from what %s received", e.Revision(), first.Relay), first, e)
	}
}

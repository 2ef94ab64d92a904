package policy

import "slices"

// What a policy remembers of messages that were spilled; the rules are in decide.go.

// backlog is the part of a policy's state that concerns spilled messages.
type backlog struct {
	spilled int     // messages that the log alone has
	loading int     // of these, asked for
	lacking []*dest // with spilled messages, and with fewer in memory since the last step
	began   bool    // something has been spilled since the start
	stale   int     // ended since the last sweep: what was put off for them is in the way
}

// task is something put off: a look at a message, or anything else.
type task struct {
	look *message
	run  func()
}

func (p *Policy) lookAt(at Time, m *message) { p.later.add(at, task{look: m}) }
func (p *Policy) put(at Time, run func())    { p.later.add(at, task{run: run}) }

// sweepLeast is how many ended messages are worth a sweep.
const sweepLeast = 1024

// sweep drops what was put off for messages that are over, once it is half of all: their deadlines may be
// hours away, and memory is to be bounded. Without a backlog nothing is swept.
func (p *Policy) sweep() {
	if !p.began {
		return
	}
	if p.stale++; p.stale >= sweepLeast && 2*p.stale >= len(p.later.items) {
		p.stale = 0
		p.later.keep(func(t task) bool { return t.look == nil || !t.look.over })
	}
}

// spill hands a queued message over to the log alone, and forgets it.
func (p *Policy) spill(m *message) {
	ordered := m.class.Ordered && m.key != 0
	p.act(Action{Kind: ActionSpill, Message: m.id, Dest: m.dest.id, Deadline: p.loadBy(m), Recovered: m.kept, OverQuota: m.overShare, Ordered: ordered})
	p.began = true
	p.spilled++
	m.dest.spilled++
	if ordered {
		p.lines[m.key].leave(m)
	}
	p.finish(m)
}

// back books that a message is spilled no longer: it comes back, or is over.
func (p *Policy) back(e *Event) {
	d := p.dest(e.Dest)
	if d.spilled == 0 { // not one of this policy's
		return
	}
	d.spilled--
	p.spilled--
	if d.asked > 0 {
		d.asked--
		p.loading--
	}
	if l := p.lines[e.Key]; l != nil && l.spilled > 0 && p.set.Classes[e.Class].Ordered {
		if l.spilled--; e.Kind == EventWithdraw {
			p.next(e.Key, l)
		}
	}
	p.lacks(d)
}

// lacks has a destination with spilled messages looked at, as it has fewer in memory now.
func (p *Policy) lacks(d *dest) {
	if d.spilled > 0 && !d.lacking {
		d.lacking = true
		p.lacking = append(p.lacking, d)
	}
}

// join puts a message into its line: one that was spilled where the spilled ones belong.
func (l *line) join(m *message, back bool) {
	if !back {
		l.turns = append(l.turns, m)
		return
	}
	l.turns = slices.Insert(l.turns, min(l.gap, len(l.turns)), m)
	l.gap++
}

// follows reports whether a message that has just joined comes straight behind spilled ones that the host
// gives back in order with it: those of its destination.
func (l *line) follows(m *message) bool {
	return l.spilled > 0 && l.to == m.dest && l.gap == len(l.turns)-1 && l.turns[l.gap] == m
}

// leave books that the last of a line is spilled.
func (l *line) leave(m *message) {
	if l.spilled == 0 {
		l.to, l.gap = m.dest, len(l.turns)-1
	}
	l.spilled++
}

// part takes a message out.
func (l *line) part(m *message) {
	i := slices.Index(l.turns, m)
	if i < 0 {
		return
	}
	l.turns = slices.Delete(l.turns, i, i+1)
	if i < l.gap {
		l.gap--
	}
}

// ahead reports whether spilled messages come before all of a line that are in memory.
func (l *line) ahead() bool { return l.spilled > 0 && l.gap == 0 }

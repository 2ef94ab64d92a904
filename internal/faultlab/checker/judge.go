// Package checker reads a history and says which promises of the protocol were
// broken. Each checker knows one rule and names, for each break, the message or
// process, the two events that contradict each other, and the file to read. It
// judges by what the stand-ins saw alone; where a cut or a kill hides whether a
// call ran, it says that it may have, and never guesses.
package checker

import (
	"fmt"
	"slices"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// Limits of a relay's machine, in bytes and descriptors.
type Limits struct {
	Memory, Disk int64
	FDs          int
}

// Setting is what a judgement needs to know beside the history.
type Setting struct {
	Rules  model.Rules
	Limits Limits
	Links  time.Duration // the longest that a link delays a byte when it is not cut
	File   string        // of the history
	LogOf  func(relay string) string
}

// Broken is one broken promise.
type Broken struct {
	Rule    string        `json:"rule"`
	Subject string        `json:"subject"` // a message or a process
	Text    string        `json:"text"`
	A       history.Event `json:"first"`  // the event that made the promise
	B       history.Event `json:"second"` // the one that contradicts it; without kind where nothing came
	File    string        `json:"file"`
}

func (b Broken) String() string {
	second := "the end of the run, with nothing heard"
	if b.B.Kind != "" {
		second = fmt.Sprintf("%s at %.3f s", b.B.Kind, float64(b.B.T)/1e6)
	}
	return fmt.Sprintf("%s: %s: %s (%s at %.3f s, then %s; see %s)", b.Rule, b.Subject, b.Text, b.A.Kind, float64(b.A.T)/1e6, second, b.File)
}

// Verdict is the judgement of a whole history.
type Verdict struct {
	Broken  []Broken       `json:"broken"` // the first of each rule
	Counts  map[string]int `json:"counts"` // of all broken promises, by rule
	Judged  map[string]int `json:"judged"` // how often each rule was looked at: a rule never looked at is not kept
	Excused map[string]int `json:"excused"`
}

// Kept tells whether every promise was kept.
func (v *Verdict) Kept() bool { return len(v.Counts) == 0 }

const shownMost = 20 // broken promises of one rule that are told one by one

// message is what is known of one.
type message struct {
	put     history.Event
	taken   history.Event
	over    history.Event // the first end: heard as delivered or as over, or a notice
	refused history.Event
	until   int64
	unsafe  bool
	calls   []*call
	ran     []history.Event
	seen    int64 // when anything was last recorded of it
	excused string
	blessed bool // its history before this is not held against the relay
}

// call is one that reached an endpoint, or that a link swallowed.
type call struct {
	ev     history.Event
	answer history.Event
	heard  history.Event
	ended  history.Event // the first of left and ended
	copies []second
}

// second is a call that came for a message while another was out.
type second struct {
	id string
	ev history.Event
}

// never tells whether the relay has heard that the message in this call never ran.
func (c *call) never(id string) bool {
	if c.heard.Kind == "" {
		return false
	}
	switch c.answer.Status {
	case 429, 503, 504, 410, 400, 413:
		return true
	case 200:
		return slices.Contains([]string{"deferred", "expired", "no_more"}, c.state(id))
	}
	return false
}

// done tells whether the relay has heard that nothing more is owed for the message.
func (c *call) done(id string) bool {
	if c.heard.Kind == "" {
		return false
	}
	if len(c.answer.States) > 0 {
		s := c.state(id)
		return s == "accepted" || s == "expired"
	}
	return c.answer.Status == 410 || c.answer.Status == 200 && len(c.ev.Msgs) == 1
}

func (c *call) state(id string) string {
	if i := slices.Index(c.ev.Msgs, id); i >= 0 && i < len(c.answer.States) {
		return c.answer.States[i]
	}
	return ""
}

type span struct{ from, to int64 } // to is 0 while it lasts

// process is what is known of a relay.
type process struct {
	name    string
	pid     int
	start   history.Event
	ready   history.Event
	signal  history.Event         // the last that ends it
	signals map[int]history.Event // the same by process: during an upgrade there are two
	resumed int64
	spells  []span // when it was not there: nothing is overdue, and peers are owed nothing
	told    map[string]history.Event
	raised  map[string]int64 // when it was last told that an endpoint is up again
	waits   map[int]wait
	failed  map[int]bool // destinations that it has seen fail in their last outage
}

type wait struct {
	until int64
	ev    history.Event
}

// Judge takes a history event by event.
type Judge struct {
	effects []history.Event         // of duties
	left    map[int64]history.Event // calls that were ended before they came
	set     Setting
	v       Verdict
	msgs    map[string]*message
	calls   map[int64]*call
	relays  map[string]*process
	classes map[string]bool
	outs    map[int]history.Event
	listed  map[string]history.Event
	last    int64
	list    listed // of a list service, where the run has one
}

// New makes a judge of one run.
func New(s Setting) *Judge {
	j := &Judge{set: s, msgs: map[string]*message{}, calls: map[int64]*call{}, relays: map[string]*process{}, classes: map[string]bool{},
		outs: map[int]history.Event{}, listed: map[string]history.Event{},
		v: Verdict{Counts: map[string]int{}, Judged: map[string]int{}, Excused: map[string]int{}}}
	for _, c := range model.Classes() {
		j.classes[c.Name] = c.Unsafe
	}
	if j.set.LogOf == nil {
		j.set.LogOf = func(string) string { return s.File }
	}
	return j
}

func (j *Judge) broken(rule, subject, relay, text string, a, b history.Event) {
	j.v.Counts[rule]++
	if j.v.Counts[rule] <= shownMost {
		file := j.set.File
		if relay != "" {
			file = j.set.LogOf(relay)
		}
		j.v.Broken = append(j.v.Broken, Broken{rule, subject, text, a, b, file})
	}
}

func (j *Judge) judged(rule string) { j.v.Judged[rule]++ }

func (j *Judge) relay(name string) *process {
	p := j.relays[name]
	if p == nil {
		p = &process{name: name, told: map[string]history.Event{}, raised: map[string]int64{}, waits: map[int]wait{}, failed: map[int]bool{}, signals: map[int]history.Event{}}
		j.relays[name] = p
	}
	return p
}

func us(d time.Duration) int64 { return d.Microseconds() }

// Feed takes the next event.
func (j *Judge) Feed(e history.Event) {
	j.last = e.T
	switch e.Kind {
	case history.Put:
		j.msgs[e.Msg] = &message{put: e, until: e.T + e.For, unsafe: j.classes[e.Class], seen: e.T}
	case history.Taken:
		if m := j.touch(e.Msg, e.T); m != nil {
			m.taken = e
		}
	case history.Refused:
		if m := j.touch(e.Msg, e.T); m != nil {
			m.refused = e
			j.judged("refused")
			if len(m.calls) > 0 {
				j.broken("refused", e.Msg, e.Relay, "refused, and sent on all the same", m.calls[0].ev, e)
			}
		}
	case history.Stray:
		j.broken("answer", e.Msg, e.Relay, fmt.Sprintf("answered more than once: then came %q", e.Text), j.put(e.Msg), e)
	case history.Call, history.Lost:
		j.called(e)
	case history.Ran:
		j.effect(e)
	case history.Answer:
		if c := j.calls[e.Call]; c != nil {
			c.answer = e
		}
	case history.Heard:
		j.heard(e)
	case history.Left, history.Ended:
		j.ended(e)
	case history.Listed:
		if e.Phase == model.Up {
			delete(j.listed, e.Endpoint)
		} else if _, ok := j.listed[e.Endpoint]; !ok {
			j.listed[e.Endpoint] = e
		}
	case history.Told:
		told := j.relay(e.Relay).told
		if e.Phase == model.Up {
			delete(told, e.Endpoint)
			j.relay(e.Relay).raised[e.Endpoint] = e.T
		} else if _, ok := told[e.Endpoint]; !ok {
			told[e.Endpoint] = e
		}
	case history.Notice:
		j.notice(e)
	case history.Watched:
		j.watched(e)
	case history.Effect:
		j.effects = append(j.effects, e)
	case history.Op:
		j.list.ops = append(j.list.ops, e)
	case history.Outage:
		j.outage(e)
	case history.Fell:
		j.fell(e)
	case history.Wrong:
		subject := e.Msg
		if subject == "" {
			subject = e.Relay
		}
		j.broken("form", subject, e.Relay, e.Text+" came to "+e.Endpoint, j.put(e.Msg), e)
	case history.BadPeer:
		j.peer(e)
	case history.Start, history.Ready, history.Signal, history.Exit, history.Folder, history.Sample:
		j.process(e)
	}
}

func (j *Judge) put(id string) history.Event {
	if m := j.msgs[id]; m != nil {
		return m.put
	}
	return history.Event{}
}

func (j *Judge) touch(id string, t int64) *message {
	m := j.msgs[id]
	if m != nil {
		m.seen = t
	}
	return m
}

// called judges a call as it comes.
func (j *Judge) called(e history.Event) {
	c := &call{ev: e}
	left, gone := j.left[e.Call]
	if gone = gone && e.Kind == history.Call; gone { // its sender had ended it before the link brought it
		delete(j.left, e.Call)
		c.ended = left
	}
	if e.Kind == history.Call {
		j.calls[e.Call] = c
	} else {
		c.ended = e // nothing of it is out any more
		if e.From == 0 {
			e.From = e.T
		}
	}
	p := j.relay(e.Relay)
	j.waits(p, e)
	j.drains(p, e)
	for _, id := range e.Msgs {
		m := j.touch(id, e.T)
		if m == nil {
			continue // told as wrong
		}
		j.judged("attempts")
		if len(m.calls) >= j.set.Rules.Attempts && !m.blessed {
			j.broken("attempts", id, e.Relay, fmt.Sprintf("attempt %d; %d at most", len(m.calls)+1, j.set.Rules.Attempts), m.calls[0].ev, e)
		}
		if m.refused.Kind != "" {
			j.broken("refused", id, e.Relay, "refused, and sent on all the same", m.refused, e)
		}
		j.judged("after-end")
		if m.over.Kind == history.Notice && e.From > m.over.T+us(j.set.Rules.Slack+j.set.Links) && !m.blessed {
			j.broken("after-end", id, e.Relay, "sent after its end was told ("+m.over.Text+")", m.over, e)
		}
		for _, old := range m.calls {
			if old.heard.Kind == "" && old.ended.Kind == "" && !gone {
				old.copies = append(old.copies, second{id, e})
			}
			if m.unsafe && !old.never(id) && !m.blessed {
				j.broken("repeat", id, e.Relay, "sent again, though an attempt before may have run", old.ev, e)
			}
		}
		if m.unsafe {
			j.judged("repeat")
		}
		j.judged("one-out")
		m.calls = append(m.calls, c)
	}
}

// waits judges a call by the waits that its relay was told.
func (j *Judge) waits(p *process, e history.Event) {
	w, ok := p.waits[e.Dest]
	if !ok || e.Kind != history.Call {
		return
	}
	j.judged("wait")
	if e.From > w.ev.T+us(j.set.Rules.WaitSlack) && e.From < w.until-1000 {
		j.broken("wait", p.name, p.name, fmt.Sprintf("sent to destination %d %.3f s before the end of the wait that it was told",
			e.Dest, float64(w.until-e.From)/1e6), w.ev, e)
	}
}

// drains judges a call by what its relay was told of the endpoint. What was
// listed counts as told a while later, whether or not it arrived; a process
// that starts or goes on has been told from then on.
func (j *Judge) drains(p *process, e history.Event) {
	told, ok := p.told[e.Endpoint]
	// An operator may hear that his change was taken later than the relay hears of it.
	if l, listed := j.listed[e.Endpoint]; listed && p.raised[e.Endpoint] < l.T {
		l.T += us(j.set.Rules.Told)
		if !ok || l.T < told.T {
			told, ok = l, true
		}
	}
	if !ok {
		return
	}
	j.judged("drain")
	at := max(told.T, p.start.T, p.resumed)
	if late := e.From - at - us(j.set.Rules.Grace+j.set.Rules.Slack); late > 0 {
		j.broken("drain", p.name, p.name, fmt.Sprintf("sent to %s, which is %s, %.3f s after the grace", e.Endpoint, told.Phase, float64(late)/1e6), told, e)
	}
}

func (j *Judge) effect(e history.Event) {
	m := j.touch(e.Msg, e.T)
	if m == nil {
		return
	}
	m.ran = append(m.ran, e)
	if m.unsafe && len(m.ran) > 1 && !m.blessed {
		j.broken("effect", e.Msg, m.put.Relay, "took effect twice", m.ran[0], e)
	}
	if m.unsafe {
		j.judged("effect")
	}
}

func (j *Judge) heard(e history.Event) {
	c := j.calls[e.Call]
	if c == nil {
		return
	}
	c.heard = e
	j.closed(c, e)
	p := j.relay(c.ev.Relay)
	if c.answer.Wait > 0 {
		until := c.answer.T + c.answer.Wait
		if w := p.waits[c.ev.Dest]; until > w.until {
			p.waits[c.ev.Dest] = wait{until, e}
		}
	}
	if c.answer.Status != 200 {
		j.saw(p, c.ev.Dest)
	}
	for _, id := range c.ev.Msgs {
		if m := j.touch(id, e.T); m != nil && m.over.Kind == "" && c.done(id) {
			m.over = e
		}
	}
}

func (j *Judge) ended(e history.Event) {
	c := j.calls[e.Call]
	if c == nil && e.Kind == history.Left {
		if j.left == nil {
			j.left = map[int64]history.Event{}
		}
		j.left[e.Call] = e
	}
	if c == nil || c.heard.Kind != "" || c.ended.Kind != "" {
		return
	}
	c.ended = e
	j.closed(c, e)
	j.saw(j.relay(c.ev.Relay), c.ev.Dest)
}

// closed judges the copies that came while a call was out, now that it is not.
func (j *Judge) closed(c *call, e history.Event) {
	for _, copied := range c.copies {
		if e.T-copied.ev.T > us(j.set.Rules.Slack+2*j.set.Links) {
			j.broken("one-out", copied.id, copied.ev.Relay, "a second copy was out beside the first", c.ev, copied.ev)
		}
	}
	c.copies = nil
}

// saw notes that a relay has seen a destination fail during its outage.
func (j *Judge) saw(p *process, dest int) {
	if _, out := j.outs[dest]; out {
		p.failed[dest] = true
	}
}

func (j *Judge) outage(e history.Event) {
	if !e.On {
		delete(j.outs, e.Dest)
		return
	}
	j.outs[e.Dest] = e
	for _, p := range j.relays {
		p.failed[e.Dest] = e.Refusing // refused connections are seen by whoever tries
	}
}

func (j *Judge) fell(e history.Event) {
	j.judged("topple")
	all, blamed := 0, 0
	for name, n := range e.Relays {
		all += n
		if j.relay(name).failed[e.Dest] {
			blamed += n
		}
	}
	if float64(blamed) >= j.set.Rules.Blame*float64(all) {
		j.broken("topple", fmt.Sprintf("destination %d", e.Dest), "", fmt.Sprintf(
			"pushed over while cold: %d of %d calls in %s came from relays that had seen it fail", blamed, all, j.set.Rules.Fall), e, e)
	}
}

func (j *Judge) notice(e history.Event) {
	m := j.touch(e.Msg, e.T)
	if m == nil {
		j.broken("form", e.Msg, e.Relay, "a notice of a message that no client handed in", history.Event{}, e)
		return
	}
	if m.over.Kind != "" {
		return // of one that is over: no harm
	}
	if m.taken.Kind == "" { // its client never heard that it was taken on
		m.over = e
		return
	}
	m.over = e
	if e.Text != "handed_back" || !m.unsafe {
		return
	}
	j.judged("repeat")
	for _, c := range m.calls {
		if !c.never(e.Msg) && !m.blessed {
			j.broken("repeat", e.Msg, e.Relay, "handed back, though an attempt before may have run", c.ev, e)
		}
	}
}

// Finish judges what only the end shows, and gives the verdict.
func (j *Judge) Finish() Verdict {
	for _, c := range j.calls {
		j.closed(c, history.Event{T: j.last})
	}
	for id, m := range j.msgs {
		j.finishMessage(id, m)
	}
	for _, p := range j.relays {
		j.finishProcess(p)
	}
	j.linear()
	j.duties()
	slices.SortStableFunc(j.v.Broken, func(a, b Broken) int { return int(a.B.T - b.B.T) })
	return j.v
}

// finishMessage judges that a message taken on had its end in time.
func (j *Judge) finishMessage(id string, m *message) {
	if m.taken.Kind == "" {
		return
	}
	if m.excused != "" {
		j.v.Excused[m.excused]++
		return
	}
	due := j.excuse(j.relay(m.put.Relay), m.until+us(j.set.Rules.Overdue+j.set.Rules.Slack))
	if due > j.last && m.over.Kind == "" {
		j.v.Excused["time not up at the end of the run"]++
		return
	}
	j.judged("end")
	switch {
	case m.over.Kind == "":
		j.broken("end", id, m.put.Relay, fmt.Sprintf("taken on, %d attempts, and no end by %.3f s", len(m.calls), float64(due)/1e6), m.taken, history.Event{})
	case m.over.T > due:
		j.broken("end", id, m.put.Relay, fmt.Sprintf("its end came %.3f s late", float64(m.over.T-due)/1e6), m.taken, m.over)
	}
}

// excuse moves a moment at which something is due behind the spell in which
// its relay was not there, and the time that a restart is given.
func (j *Judge) excuse(p *process, due int64) int64 {
	for _, s := range p.spells {
		to := s.to + us(j.set.Rules.Restart+j.set.Rules.Slack)
		if s.to == 0 {
			to = j.last + 1
		}
		if due >= s.from && due < to {
			due = to
		}
	}
	return due
}

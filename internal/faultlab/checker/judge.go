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

// Config is what a judgement needs to know beside the history.
type Config struct {
	Rules        model.Rules
	Limits       Limits
	MaxLinkDelay time.Duration // the longest that a link delays a byte when it is not cut
	HistoryFile  string        // of the history
	LogFile      func(relay string) string
}

// Violation is one broken promise.
type Violation struct {
	Rule    string        `json:"rule"`
	Subject string        `json:"subject"` // a message or a process
	Message string        `json:"text"`
	First   history.Event `json:"first"`  // the event that made the promise
	Second  history.Event `json:"second"` // the one that contradicts it; without kind where nothing came
	File    string        `json:"file"`
}

func (b Violation) String() string {
	second := "the end of the run, with nothing heard"
	if b.Second.Kind != "" {
		second = fmt.Sprintf("%s at %.3f s", b.Second.Kind, float64(b.Second.Time)/1e6)
	}
	return fmt.Sprintf("%s: %s: %s (%s at %.3f s, then %s; see %s)", b.Rule, b.Subject, b.Message, b.First.Kind, float64(b.First.Time)/1e6, second, b.File)
}

// Verdict is the judgement of a whole history.
type Verdict struct {
	Violations []Violation    `json:"broken"` // the first of each rule
	Counts     map[string]int `json:"counts"` // of all broken promises, by rule
	Checked    map[string]int `json:"judged"` // how often each rule was looked at: a rule never looked at is not kept
	Excused    map[string]int `json:"excused"`
}

// Passed tells whether every promise was kept.
func (v *Verdict) Passed() bool { return len(v.Counts) == 0 }

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
	return c.answer.Status == 410 || c.answer.Status == 200 && len(c.ev.Messages) == 1
}

func (c *call) state(id string) string {
	if i := slices.Index(c.ev.Messages, id); i >= 0 && i < len(c.answer.States) {
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

// Check takes a history event by event.
type Check struct {
	effects []history.Event         // of duties
	left    map[int64]history.Event // calls that were ended before they came
	set     Config
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
func New(s Config) *Check {
	j := &Check{set: s, msgs: map[string]*message{}, calls: map[int64]*call{}, relays: map[string]*process{}, classes: map[string]bool{},
		outs: map[int]history.Event{}, listed: map[string]history.Event{},
		v: Verdict{Counts: map[string]int{}, Checked: map[string]int{}, Excused: map[string]int{}}}
	for _, c := range model.Classes() {
		j.classes[c.Name] = c.NonIdempotent
	}
	if j.set.LogFile == nil {
		j.set.LogFile = func(string) string { return s.HistoryFile }
	}
	return j
}

func (j *Check) broken(rule, subject, relay, text string, a, b history.Event) {
	j.v.Counts[rule]++
	if j.v.Counts[rule] <= shownMost {
		file := j.set.HistoryFile
		if relay != "" {
			file = j.set.LogFile(relay)
		}
		j.v.Violations = append(j.v.Violations, Violation{rule, subject, text, a, b, file})
	}
}

func (j *Check) judged(rule string) { j.v.Checked[rule]++ }

func (j *Check) relay(name string) *process {
	p := j.relays[name]
	if p == nil {
		p = &process{name: name, told: map[string]history.Event{}, raised: map[string]int64{}, waits: map[int]wait{}, failed: map[int]bool{}, signals: map[int]history.Event{}}
		j.relays[name] = p
	}
	return p
}

func us(d time.Duration) int64 { return d.Microseconds() }

// Feed takes the next event.
func (j *Check) Feed(e history.Event) {
	j.last = e.Time
	switch e.Kind {
	case history.MessageSubmitted:
		j.msgs[e.Message] = &message{put: e, until: e.Time + e.ValidFor, unsafe: j.classes[e.Class], seen: e.Time}
	case history.MessageAccepted:
		if m := j.touch(e.Message, e.Time); m != nil {
			m.taken = e
		}
	case history.MessageRejected:
		if m := j.touch(e.Message, e.Time); m != nil {
			m.refused = e
			j.judged("refused")
			if len(m.calls) > 0 {
				j.broken("refused", e.Message, e.Relay, "refused, and sent on all the same", m.calls[0].ev, e)
			}
		}
	case history.ExtraResponse:
		j.broken("answer", e.Message, e.Relay, fmt.Sprintf("answered more than once: then came %q", e.Text), j.put(e.Message), e)
	case history.CallReceived, history.CallLost:
		j.called(e)
	case history.MessageExecuted:
		j.effect(e)
	case history.ResponseSent:
		if c := j.calls[e.Call]; c != nil {
			c.answer = e
		}
	case history.ResponseReceived:
		j.heard(e)
	case history.CallAborted, history.CallBroken:
		j.ended(e)
	case history.EndpointChanged:
		if e.Phase == model.Up {
			delete(j.listed, e.Endpoint)
		} else if _, ok := j.listed[e.Endpoint]; !ok {
			j.listed[e.Endpoint] = e
		}
	case history.ChangeDelivered:
		told := j.relay(e.Relay).told
		if e.Phase == model.Up {
			delete(told, e.Endpoint)
			j.relay(e.Relay).raised[e.Endpoint] = e.Time
		} else if _, ok := told[e.Endpoint]; !ok {
			told[e.Endpoint] = e
		}
	case history.Notice:
		j.notice(e)
	case history.ListUpdate:
		j.watched(e)
	case history.RoleStep:
		j.effects = append(j.effects, e)
	case history.RegisterOperation:
		j.list.ops = append(j.list.ops, e)
	case history.Outage:
		j.outage(e)
	case history.DestinationOverloaded:
		j.fell(e)
	case history.InvalidCall:
		subject := e.Message
		if subject == "" {
			subject = e.Relay
		}
		j.broken("form", subject, e.Relay, e.Text+" came to "+e.Endpoint, j.put(e.Message), e)
	case history.InvalidPeer:
		j.peer(e)
	case history.ProcessStarted, history.ProcessReady, history.ProcessSignaled, history.ProcessExited, history.FolderChanged, history.UsageSampled:
		j.process(e)
	}
}

func (j *Check) put(id string) history.Event {
	if m := j.msgs[id]; m != nil {
		return m.put
	}
	return history.Event{}
}

func (j *Check) touch(id string, t int64) *message {
	m := j.msgs[id]
	if m != nil {
		m.seen = t
	}
	return m
}

// called judges a call as it comes.
func (j *Check) called(e history.Event) {
	c := &call{ev: e}
	left, gone := j.left[e.Call]
	if gone = gone && e.Kind == history.CallReceived; gone { // its sender had ended it before the link brought it
		delete(j.left, e.Call)
		c.ended = left
	}
	if e.Kind == history.CallReceived {
		j.calls[e.Call] = c
	} else {
		c.ended = e // nothing of it is out any more
		if e.SentAt == 0 {
			e.SentAt = e.Time
		}
	}
	p := j.relay(e.Relay)
	j.waits(p, e)
	j.drains(p, e)
	for _, id := range e.Messages {
		m := j.touch(id, e.Time)
		if m == nil {
			continue // told as wrong
		}
		j.judged("attempts")
		if len(m.calls) >= j.set.Rules.MaxAttempts && !m.blessed {
			j.broken("attempts", id, e.Relay, fmt.Sprintf("attempt %d; %d at most", len(m.calls)+1, j.set.Rules.MaxAttempts), m.calls[0].ev, e)
		}
		if m.refused.Kind != "" {
			j.broken("refused", id, e.Relay, "refused, and sent on all the same", m.refused, e)
		}
		j.judged("after-end")
		if m.over.Kind == history.Notice && e.SentAt > m.over.Time+us(j.set.Rules.Slack+j.set.MaxLinkDelay) && !m.blessed {
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
func (j *Check) waits(p *process, e history.Event) {
	w, ok := p.waits[e.Destination]
	if !ok || e.Kind != history.CallReceived {
		return
	}
	j.judged("wait")
	if e.SentAt > w.ev.Time+us(j.set.Rules.RetryAfterSlack) && e.SentAt < w.until-1000 {
		j.broken("wait", p.name, p.name, fmt.Sprintf("sent to destination %d %.3f s before the end of the wait that it was told",
			e.Destination, float64(w.until-e.SentAt)/1e6), w.ev, e)
	}
}

// drains judges a call by what its relay was told of the endpoint. What was
// listed counts as told a while later, whether or not it arrived; a process
// that starts or goes on has been told from then on.
func (j *Check) drains(p *process, e history.Event) {
	told, ok := p.told[e.Endpoint]
	// An operator may hear that his change was taken later than the relay hears of it.
	if l, listed := j.listed[e.Endpoint]; listed && p.raised[e.Endpoint] < l.Time {
		l.Time += us(j.set.Rules.ListDelay)
		if !ok || l.Time < told.Time {
			told, ok = l, true
		}
	}
	if !ok {
		return
	}
	j.judged("drain")
	at := max(told.Time, p.start.Time, p.resumed)
	if late := e.SentAt - at - us(j.set.Rules.DrainGrace+j.set.Rules.Slack); late > 0 {
		j.broken("drain", p.name, p.name, fmt.Sprintf("sent to %s, which is %s, %.3f s after the grace", e.Endpoint, told.Phase, float64(late)/1e6), told, e)
	}
}

func (j *Check) effect(e history.Event) {
	m := j.touch(e.Message, e.Time)
	if m == nil {
		return
	}
	m.ran = append(m.ran, e)
	if m.unsafe && len(m.ran) > 1 && !m.blessed {
		j.broken("effect", e.Message, m.put.Relay, "took effect twice", m.ran[0], e)
	}
	if m.unsafe {
		j.judged("effect")
	}
}

func (j *Check) heard(e history.Event) {
	c := j.calls[e.Call]
	if c == nil {
		return
	}
	c.heard = e
	j.closed(c, e)
	p := j.relay(c.ev.Relay)
	if c.answer.RetryAfter > 0 {
		until := c.answer.Time + c.answer.RetryAfter
		if w := p.waits[c.ev.Destination]; until > w.until {
			p.waits[c.ev.Destination] = wait{until, e}
		}
	}
	if c.answer.Status != 200 {
		j.saw(p, c.ev.Destination)
	}
	for _, id := range c.ev.Messages {
		if m := j.touch(id, e.Time); m != nil && m.over.Kind == "" && c.done(id) {
			m.over = e
		}
	}
}

func (j *Check) ended(e history.Event) {
	c := j.calls[e.Call]
	if c == nil && e.Kind == history.CallAborted {
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
	j.saw(j.relay(c.ev.Relay), c.ev.Destination)
}

// closed judges the copies that came while a call was out, now that it is not.
func (j *Check) closed(c *call, e history.Event) {
	for _, copied := range c.copies {
		if e.Time-copied.ev.Time > us(j.set.Rules.Slack+2*j.set.MaxLinkDelay) {
			j.broken("one-out", copied.id, copied.ev.Relay, "a second copy was out beside the first", c.ev, copied.ev)
		}
	}
	c.copies = nil
}

// saw notes that a relay has seen a destination fail during its outage.
func (j *Check) saw(p *process, dest int) {
	if _, out := j.outs[dest]; out {
		p.failed[dest] = true
	}
}

func (j *Check) outage(e history.Event) {
	if !e.Active {
		delete(j.outs, e.Destination)
		return
	}
	j.outs[e.Destination] = e
	for _, p := range j.relays {
		p.failed[e.Destination] = e.RefusesConnections // refused connections are seen by whoever tries
	}
}

func (j *Check) fell(e history.Event) {
	j.judged("topple")
	all, blamed := 0, 0
	for name, n := range e.Relays {
		all += n
		if j.relay(name).failed[e.Destination] {
			blamed += n
		}
	}
	if float64(blamed) >= j.set.Rules.BlameFraction*float64(all) {
		j.broken("topple", fmt.Sprintf("destination %d", e.Destination), "", fmt.Sprintf(
			"pushed over while cold: %d of %d calls in %s came from relays that had seen it fail", blamed, all, j.set.Rules.OverloadWindow), e, e)
	}
}

func (j *Check) notice(e history.Event) {
	m := j.touch(e.Message, e.Time)
	if m == nil {
		j.broken("form", e.Message, e.Relay, "a notice of a message that no client handed in", history.Event{}, e)
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
		if !c.never(e.Message) && !m.blessed {
			j.broken("repeat", e.Message, e.Relay, "handed back, though an attempt before may have run", c.ev, e)
		}
	}
}

// Finish judges what only the end shows, and gives the verdict.
func (j *Check) Finish() Verdict {
	for _, c := range j.calls {
		j.closed(c, history.Event{Time: j.last})
	}
	for id, m := range j.msgs {
		j.finishMessage(id, m)
	}
	for _, p := range j.relays {
		j.finishProcess(p)
	}
	j.linear()
	j.duties()
	slices.SortStableFunc(j.v.Violations, func(a, b Violation) int { return int(a.Second.Time - b.Second.Time) })
	return j.v
}

// finishMessage judges that a message taken on had its end in time.
func (j *Check) finishMessage(id string, m *message) {
	if m.taken.Kind == "" {
		return
	}
	if m.excused != "" {
		j.v.Excused[m.excused]++
		return
	}
	due := j.excuse(j.relay(m.put.Relay), m.until+us(j.set.Rules.CompletionGrace+j.set.Rules.Slack))
	if due > j.last && m.over.Kind == "" {
		j.v.Excused["time not up at the end of the run"]++
		return
	}
	j.judged("end")
	switch {
	case m.over.Kind == "":
		j.broken("end", id, m.put.Relay, fmt.Sprintf("taken on, %d attempts, and no end by %.3f s", len(m.calls), float64(due)/1e6), m.taken, history.Event{})
	case m.over.Time > due:
		j.broken("end", id, m.put.Relay, fmt.Sprintf("its end came %.3f s late", float64(m.over.Time-due)/1e6), m.taken, m.over)
	}
}

// excuse moves a moment at which something is due behind the spell in which
// its relay was not there, and the time that a restart is given.
func (j *Check) excuse(p *process, due int64) int64 {
	for _, s := range p.spells {
		to := s.to + us(j.set.Rules.RestartGrace+j.set.Rules.Slack)
		if s.to == 0 {
			to = j.last + 1
		}
		if due >= s.from && due < to {
			due = to
		}
	}
	return due
}

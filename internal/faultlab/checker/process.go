package checker

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// startTimeout is how long before the end of the run a relay that never became ready must
// have started to violate RuleStart.
const startTimeout = 30 * time.Second

// interval is a span of time in a run, in microseconds. The end of an absence that
// has not ended yet is 0.
type interval struct{ begin, end int64 }

// relay holds what the history says about a relay, across all of its processes.
type relay struct {
	name             string
	pid              int // the PID of the current process
	started          history.Event
	ready            history.Event
	signaled         history.Event         // the last SIGTERM or SIGKILL to the current process
	signals          map[int]history.Event // the last SIGTERM or SIGKILL by PID: during an upgrade there are two processes
	resumedAt        int64
	absences         []interval // spans in which it was not running or not ready, and so could not meet deadlines
	deliveredChanges map[string]history.Event
	lastUpAt         map[string]int64 // when the relay was last told that an endpoint is up, by endpoint
	waits            map[int]retryAfter
	sawOutage        map[int]bool // whether it saw a destination fail in its last outage, by destination
}

// relay returns the state of a relay, and creates it at the relay's first event.
func (c *Check) relay(name string) *relay {
	r := c.relays[name]
	if r == nil {
		r = &relay{
			name:             name,
			signals:          map[int]history.Event{},
			deliveredChanges: map[string]history.Event{},
			lastUpAt:         map[string]int64{},
			waits:            map[int]retryAfter{},
			sawOutage:        map[int]bool{},
		}
		c.relays[name] = r
	}
	return r
}

// feedProcess handles an event of a relay's process.
func (c *Check) feedProcess(e history.Event) {
	switch e.Kind {
	case history.ProcessStarted:
		c.relay(e.Relay).start(e)
	case history.ProcessReady:
		r := c.relay(e.Relay)
		r.ready = e
		r.endAbsence(e.Time)
		c.recordCheck(RuleStart)
	case history.ProcessSignaled:
		c.processSignaled(c.relay(e.Relay), e)
	case history.ProcessExited:
		c.processExited(c.relay(e.Relay), e)
	case history.FolderChanged:
		c.folderChanged(e)
	case history.UsageSampled:
		c.usageSampled(c.relay(e.Relay), e)
	}
}

func (r *relay) start(e history.Event) {
	r.started, r.pid = e, e.PID
	r.ready, r.signaled = history.Event{}, history.Event{}
	clear(r.waits) // a restarted relay does not know the Retry-Afters of the process before
	r.beginAbsence(e.Time)
}

func (r *relay) isAbsent() bool {
	last := len(r.absences) - 1
	return last >= 0 && r.absences[last].end == 0
}

func (r *relay) beginAbsence(now int64) {
	if !r.isAbsent() {
		r.absences = append(r.absences, interval{begin: now})
	}
}

func (r *relay) endAbsence(now int64) {
	if r.isAbsent() {
		r.absences[len(r.absences)-1].end = now
	}
}

// excusedUntil returns the time at which something is due from a relay, given when it
// would be due without absences. A due time during an absence, or during the grace
// after it, moves to the end of that grace, and past the end of the run if the absence has
// not ended.
func (c *Check) excusedUntil(r *relay, due int64) int64 {
	rules := &c.config.Rules
	for _, absence := range r.absences {
		end := absence.end + micros(rules.RestartGrace+rules.Slack)
		if absence.end == 0 {
			end = c.lastTime + 1
		}
		if due >= absence.begin && due < end {
			due = end
		}
	}
	return due
}

func (c *Check) processSignaled(r *relay, e history.Event) {
	if e.Text == syscall.SIGTERM.String() || e.Text == syscall.SIGKILL.String() {
		r.signals[e.PID] = e
	}
	if e.PID != r.pid { // the signal went to the old process during an upgrade
		return
	}
	switch e.Text {
	case syscall.SIGSTOP.String():
		r.beginAbsence(e.Time)
	case syscall.SIGCONT.String():
		r.resumedAt = e.Time
		r.endAbsence(e.Time)
	case syscall.SIGTERM.String():
		r.signaled = e
		r.beginAbsence(e.Time)
	case syscall.SIGKILL.String():
		c.checkKilledAfterTerm(r, e)
		r.signaled = e
		r.beginAbsence(e.Time)
	}
}

// checkKilledAfterTerm applies RuleShutdown to a process that was killed after it had
// received SIGTERM.
func (c *Check) checkKilledAfterTerm(r *relay, kill history.Event) {
	if r.signaled.Text != syscall.SIGTERM.String() || r.signaled.PID != kill.PID {
		return
	}
	c.recordCheck(RuleShutdown)
	if runTime := kill.Time - r.signaled.Time; runTime >= micros(c.config.Rules.ShutdownTimeout) {
		c.recordViolation(RuleShutdown, r.name, r.name, fmt.Sprintf("still running %.3f s after SIGTERM", seconds(runTime)), r.signaled, kill)
	}
}

func (c *Check) processExited(r *relay, e history.Event) {
	if e.PID == r.pid {
		r.beginAbsence(e.Time)
	}
	c.recordCheck(RuleCrash)
	switch signal := r.signals[e.PID]; {
	case signal.Kind == "":
		text := "ended by itself: " + e.Text
		if r.ready.Kind == "" {
			text = "failed to start: " + e.Text
		}
		c.recordViolation(RuleCrash, r.name, r.name, text, r.started, e)
	case signal.Text == syscall.SIGTERM.String():
		c.recordCheck(RuleShutdown)
		rules := &c.config.Rules
		if took := e.Time - signal.Time; took > micros(rules.ShutdownTimeout+rules.Slack) {
			c.recordViolation(RuleShutdown, r.name, r.name, fmt.Sprintf("ended %.3f s after SIGTERM", seconds(took)), signal, e)
		}
	}
}

// folderChanged excuses the messages that a relay cannot complete because its state
// directory was lost, damaged or replaced by an older copy while it was down.
func (c *Check) folderChanged(e history.Event) {
	for _, m := range c.messages {
		if m.submitted.Relay != e.Relay {
			continue
		}
		pending := m.accepted.Kind != "" && m.completed.Kind == ""
		switch {
		case e.Text == history.FolderOlder:
			m.excuseForgotten(e.DueAt, pending)
		case !pending:
		case e.Text == history.FolderLost:
			m.excuse = "the folder was lost"
		default:
			m.excuse = "the folder was damaged" // this excuses only completion: the message must still not be sent twice
		}
	}
}

// excuseForgotten excuses a message whose relay continues from an older copy of its
// log, since the relay does not know what happened after the copy was made.
func (m *message) excuseForgotten(copiedAt int64, wasPending bool) {
	if m.lastSeen < copiedAt {
		return
	}
	m.forgotten = true
	if m.excuse == "" && m.accepted.Kind != "" && (wasPending || m.completed.Time >= copiedAt) {
		m.excuse = "the folder is older than the message"
	}
}

// usageSampled applies RuleLimits to a sample of what a relay's process uses.
func (c *Check) usageSampled(r *relay, e history.Event) {
	c.recordCheck(RuleLimits)
	limits := &c.config.Limits
	for _, resource := range []struct {
		unit        string
		used, limit int64
	}{
		{"bytes of memory", e.RSS, limits.Memory},
		{"descriptors", int64(e.FDs), int64(limits.FDs)},
		{"bytes of disk", e.Disk, limits.Disk},
	} {
		if resource.limit > 0 && resource.used > resource.limit {
			text := fmt.Sprintf("%d %s; %d at most", resource.used, resource.unit, resource.limit)
			c.recordViolation(RuleLimits, r.name, r.name, text, r.started, e)
		}
	}
}

// invalidPeerFinished applies RuleInvalidPeer to the outcome of an invalid peer's
// connection, unless the relay was absent at any time since the peer connected.
func (c *Check) invalidPeerFinished(e history.Event) {
	r := c.relay(e.Relay)
	connectedAt := e.Time - e.Took
	if n := len(r.absences); n > 0 && (r.isAbsent() || r.absences[n-1].end > connectedAt) {
		return
	}
	c.recordCheck(RuleInvalidPeer)
	rules := &c.config.Rules
	limit := rules.InvalidPeerTimeout
	if strings.HasPrefix(e.Text, model.PeerLongRequest+":") {
		limit = rules.LongRequestTimeout
	}
	if e.Status == 0 || e.Took > micros(limit+rules.Slack) {
		first := e
		first.Time = connectedAt
		c.recordViolation(RuleInvalidPeer, r.name, r.name, fmt.Sprintf("an invalid peer (%s) after %.3f s", e.Text, seconds(e.Took)), first, e)
	}
}

// checkStart applies RuleStart to the last process of a relay: it violates the rule if
// it never became ready, was not told to end, and started more than startTimeout before
// the end of the run. A process that became ready late does not violate it.
func (c *Check) checkStart(r *relay) {
	isRelay := r.started.Kind != "" && r.started.Text != history.NodeProcess
	if isRelay && r.ready.Kind == "" && r.signaled.Kind == "" && c.lastTime-r.started.Time > micros(startTimeout) {
		c.recordViolation(RuleStart, r.name, r.name, fmt.Sprintf("not ready %v after its start", startTimeout), r.started, history.Event{})
	}
}

package checker

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// startTimeout is how long a relay has until it is ready.
const startTimeout = 30 * time.Second

// interval is a span of the run's time; end is 0 while it lasts.
type interval struct{ begin, end int64 }

// relay is what is known of a relay, over all of its processes.
type relay struct {
	name             string
	pid              int // of the present process
	started          history.Event
	ready            history.Event
	signaled         history.Event         // the last signal that ends the present process
	signals          map[int]history.Event // the same by process: during an upgrade there are two
	resumedAt        int64
	absences         []interval // when nothing was due from it
	deliveredChanges map[string]history.Event
	lastUpAt         map[string]int64 // when it was last told that an endpoint is up
	waits            map[int]retryAfter
	sawOutage        map[int]bool // destinations that it saw fail in their last outage
}

// relay returns the state of a relay, new if it is seen for the first time.
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

// feedProcess takes an event of a process.
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
	clear(r.waits) // a restart ends them
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

// excusedUntil moves a moment at which something is due behind the absence in
// which it falls, and the time that a restart is given.
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
	if e.PID != r.pid { // of the process before, during an upgrade
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

// checkKilledAfterTerm applies RuleShutdown to a process that had to be killed.
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

// folderChanged excuses what no relay can keep when its state directory was
// changed while it was down.
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
			m.excuse = "the folder was damaged" // it may still not be sent twice
		}
	}
}

// excuseForgotten excuses a message whose relay continues from an older copy of its log:
// it does not know what came after that copy.
func (m *message) excuseForgotten(copiedAt int64, wasPending bool) {
	if m.lastSeen < copiedAt {
		return
	}
	m.forgotten = true
	if m.excuse == "" && m.accepted.Kind != "" && (wasPending || m.completed.Time >= copiedAt) {
		m.excuse = "the folder is older than the message"
	}
}

// usageSampled applies RuleLimits.
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

// invalidPeerFinished applies RuleInvalidPeer where the relay was present all the time.
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

// checkStart applies RuleStart to a relay that never became ready.
func (c *Check) checkStart(r *relay) {
	isRelay := r.started.Kind != "" && r.started.Text != history.NodeProcess
	if isRelay && r.ready.Kind == "" && r.signaled.Kind == "" && c.lastTime-r.started.Time > micros(startTimeout) {
		c.recordViolation(RuleStart, r.name, r.name, fmt.Sprintf("not ready %v after its start", startTimeout), r.started, history.Event{})
	}
}

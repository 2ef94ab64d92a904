package checker

import (
	"fmt"
	"syscall"

	"plovershore/internal/faultlab/history"
)

// process judges what a relay's process does and holds.
func (j *Check) process(e history.Event) {
	p := j.relay(e.Relay)
	switch e.Kind {
	case history.ProcessStarted:
		p.start, p.ready, p.signal, p.pid = e, history.Event{}, history.Event{}, e.PID
		clear(p.waits) // a restart ends them
		p.away(e.Time)
	case history.ProcessReady:
		p.ready = e
		p.back(e.Time)
		j.judged("start")
	case history.ProcessSignaled:
		if e.Text == syscall.SIGTERM.String() || e.Text == syscall.SIGKILL.String() {
			p.signals[e.PID] = e
		}
		j.signal(p, e)
	case history.ProcessExited:
		j.exit(p, e)
	case history.FolderChanged:
		j.folder(p, e)
	case history.UsageSampled:
		j.sample(p, e)
	}
}

func (p *process) away(t int64) {
	if n := len(p.spells); n == 0 || p.spells[n-1].to != 0 {
		p.spells = append(p.spells, span{from: t})
	}
}

func (p *process) back(t int64) {
	if n := len(p.spells); n > 0 && p.spells[n-1].to == 0 {
		p.spells[n-1].to = t
	}
}

func (j *Check) signal(p *process, e history.Event) {
	if e.PID != p.pid { // of the process before, during an upgrade
		return
	}
	switch e.Text {
	case syscall.SIGSTOP.String():
		p.away(e.Time)
	case syscall.SIGCONT.String():
		p.resumed = e.Time
		p.back(e.Time)
	case syscall.SIGTERM.String():
		p.signal = e
		p.away(e.Time)
	case syscall.SIGKILL.String():
		if p.signal.Text == syscall.SIGTERM.String() && p.signal.PID == e.PID {
			j.judged("term")
			if e.Time-p.signal.Time >= us(j.set.Rules.ShutdownTimeout) {
				j.broken("term", p.name, p.name, fmt.Sprintf("still there %.3f s after SIGTERM", float64(e.Time-p.signal.Time)/1e6), p.signal, e)
			}
		}
		p.signal = e
		p.away(e.Time)
	}
}

func (j *Check) exit(p *process, e history.Event) {
	if e.PID == p.pid {
		p.away(e.Time)
	}
	j.judged("crash")
	signal := p.signals[e.PID]
	switch {
	case signal.Kind == "":
		text := "ended by itself: " + e.Text
		if p.ready.Kind == "" {
			text = "refused to start: " + e.Text
		}
		j.broken("crash", p.name, p.name, text, p.start, e)
	case signal.Text == syscall.SIGTERM.String():
		j.judged("term")
		if took := e.Time - signal.Time; took > us(j.set.Rules.ShutdownTimeout+j.set.Rules.Slack) {
			j.broken("term", p.name, p.name, fmt.Sprintf("ended %.3f s after SIGTERM", float64(took)/1e6), signal, e)
		}
	}
}

// folder excuses what no relay can keep when its folder was changed behind it.
func (j *Check) folder(p *process, e history.Event) {
	for _, m := range j.msgs {
		if m.put.Relay != p.name {
			continue
		}
		owed := m.taken.Kind != "" && m.over.Kind == ""
		switch e.Text {
		case "lost":
			if owed {
				m.excused = "the folder was lost"
			}
		case "older": // what came since then is unknown to the relay
			if m.seen >= e.DueAt {
				m.blessed = true
				if m.excused == "" && m.taken.Kind != "" && (owed || m.over.Time >= e.DueAt) {
					m.excused = "the folder is older than the message"
				}
			}
		default:
			if owed {
				m.excused = "the folder was damaged" // sent twice it may not be, all the same
			}
		}
	}
}

func (j *Check) sample(p *process, e history.Event) {
	j.judged("limits")
	for _, x := range []struct {
		what    string
		v, most int64
	}{{"bytes of memory", e.RSS, j.set.Limits.Memory}, {"descriptors", int64(e.FDs), int64(j.set.Limits.FDs)}, {"bytes of disk", e.Disk, j.set.Limits.Disk}} {
		if x.most > 0 && x.v > x.most {
			j.broken("limits", p.name, p.name, fmt.Sprintf("%d %s; %d at most", x.v, x.what, x.most), p.start, e)
		}
	}
}

// peer judges what became of a bad peer, where its relay was there all the time.
func (j *Check) peer(e history.Event) {
	p := j.relay(e.Relay)
	if n := len(p.spells); n > 0 && (p.spells[n-1].to == 0 || p.spells[n-1].to > e.Time-e.Took) {
		return
	}
	j.judged("peer")
	limit := j.set.Rules.InvalidPeerTimeout
	if len(e.Text) > 4 && e.Text[:4] == "long" {
		limit = j.set.Rules.LongRequestTimeout
	}
	if e.Status == 0 || e.Took > us(limit+j.set.Rules.Slack) {
		a := e
		a.Time -= e.Took
		j.broken("peer", p.name, p.name, fmt.Sprintf("a bad peer (%s) after %.3f s", e.Text, float64(e.Took)/1e6), a, e)
	}
}

func (j *Check) finishProcess(p *process) {
	if p.start.Text != "node" && p.start.Kind != "" && p.ready.Kind == "" && p.signal.Kind == "" && j.last-p.start.Time > startMost {
		j.broken("start", p.name, p.name, "not ready 30 s after its start", p.start, history.Event{})
	}
}

const startMost = 30_000_000 // µs until a relay has to be ready

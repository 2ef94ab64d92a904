package checker

import (
	"fmt"
	"syscall"

	"plovershore/internal/faultlab/history"
)

// process judges what a relay's process does and holds.
func (j *Judge) process(e history.Event) {
	p := j.relay(e.Relay)
	switch e.Kind {
	case history.Start:
		p.start, p.ready, p.signal, p.pid = e, history.Event{}, history.Event{}, e.PID
		clear(p.waits) // a restart ends them
		p.away(e.T)
	case history.Ready:
		p.ready = e
		p.back(e.T)
		j.judged("start")
	case history.Signal:
		if e.Text == syscall.SIGTERM.String() || e.Text == syscall.SIGKILL.String() {
			p.signals[e.PID] = e
		}
		j.signal(p, e)
	case history.Exit:
		j.exit(p, e)
	case history.Folder:
		j.folder(p, e)
	case history.Sample:
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

func (j *Judge) signal(p *process, e history.Event) {
	if e.PID != p.pid { // of the process before, during an upgrade
		return
	}
	switch e.Text {
	case syscall.SIGSTOP.String():
		p.away(e.T)
	case syscall.SIGCONT.String():
		p.resumed = e.T
		p.back(e.T)
	case syscall.SIGTERM.String():
		p.signal = e
		p.away(e.T)
	case syscall.SIGKILL.String():
		if p.signal.Text == syscall.SIGTERM.String() && p.signal.PID == e.PID {
			j.judged("term")
			if e.T-p.signal.T >= us(j.set.Rules.Term) {
				j.broken("term", p.name, p.name, fmt.Sprintf("still there %.3f s after SIGTERM", float64(e.T-p.signal.T)/1e6), p.signal, e)
			}
		}
		p.signal = e
		p.away(e.T)
	}
}

func (j *Judge) exit(p *process, e history.Event) {
	if e.PID == p.pid {
		p.away(e.T)
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
		if took := e.T - signal.T; took > us(j.set.Rules.Term+j.set.Rules.Slack) {
			j.broken("term", p.name, p.name, fmt.Sprintf("ended %.3f s after SIGTERM", float64(took)/1e6), signal, e)
		}
	}
}

// folder excuses what no relay can keep when its folder was changed behind it.
func (j *Judge) folder(p *process, e history.Event) {
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
			if m.seen >= e.Due {
				m.blessed = true
				if m.excused == "" && m.taken.Kind != "" && (owed || m.over.T >= e.Due) {
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

func (j *Judge) sample(p *process, e history.Event) {
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
func (j *Judge) peer(e history.Event) {
	p := j.relay(e.Relay)
	if n := len(p.spells); n > 0 && (p.spells[n-1].to == 0 || p.spells[n-1].to > e.T-e.Took) {
		return
	}
	j.judged("peer")
	limit := j.set.Rules.BadPeer
	if len(e.Text) > 4 && e.Text[:4] == "long" {
		limit = j.set.Rules.BadPeerLong
	}
	if e.Status == 0 || e.Took > us(limit+j.set.Rules.Slack) {
		a := e
		a.T -= e.Took
		j.broken("peer", p.name, p.name, fmt.Sprintf("a bad peer (%s) after %.3f s", e.Text, float64(e.Took)/1e6), a, e)
	}
}

func (j *Judge) finishProcess(p *process) {
	if p.start.Text != "node" && p.start.Kind != "" && p.ready.Kind == "" && p.signal.Kind == "" && j.last-p.start.T > startMost {
		j.broken("start", p.name, p.name, "not ready 30 s after its start", p.start, history.Event{})
	}
}

const startMost = 30_000_000 // µs until a relay has to be ready

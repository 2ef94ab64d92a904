package registry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Session is what a warden holds its duties by. It ends when the leader has not
// heard of it for its time to live.
type Session struct {
	ID     string        `json:"id"`     // drawn by the warden's process
	Warden string        `json:"warden"` // for people; two may have one
	TTL    time.Duration `json:"ttl"`
}

// Duty is work that one warden does at a time.
type Duty struct {
	Name   string `json:"name"`
	Holder string `json:"holder"` // its session; empty for nobody
	Warden string `json:"warden"` // of the present or the last holder
	Token  int64  `json:"token"`  // of the last grant; every effect carries it
	Term   int64  `json:"term"`   // grants so far
	Note   string `json:"note"`   // where its work stands
	Next   string `json:"next,omitempty"`
	Fails  int    `json:"fails,omitempty"` // in a row, deaths of holders among them
	Off    bool   `json:"off,omitempty"`   // operators: nobody may hold it
	Since  int64  `json:"since"`           // of the last grant, Unix ms
	Left   int64  `json:"left"`            // when it was last given up or its holder ended, Unix ms
}

const (
	// Grants come far slower than this, so an epoch that begins later has the
	// greater tokens, whatever its backup knew.
	tokensASecond = 1 << 10
	noteMost      = 4 << 10 // kept in answers, too: what is longer belongs into an order
	dutiesMost    = 10000
)

// applyDuty takes a command of sessions and duties, and refuses any other whose
// fence is not the present holder's.
func (s *State) applyDuty(c *Command) (a Answer, done bool) {
	ok := Answer{Status: http.StatusOK}
	switch c.Op {
	case OpSession:
		if old, known := s.Sessions[c.Session.ID]; !known || old != c.Session {
			s.Sessions[c.Session.ID] = c.Session
			s.DutyRev++
		}
		return ok, true
	case OpSessionEnd:
		for _, id := range c.Ended {
			s.endSession(id, c)
		}
		return ok, true
	case OpGrant:
		return s.grant(c), true
	case OpHold:
		d, known := s.Duties[c.Duty]
		if !known && len(s.Duties) >= dutiesMost {
			return Answer{Status: http.StatusConflict, Error: fmt.Sprintf("duties: %d at most", dutiesMost)}, true
		}
		d.Name, d.Off = c.Duty, c.Off
		if c.Off && d.Holder != "" {
			d.Holder, d.Left = "", c.At
		}
		s.setDuty(d)
		return ok, true
	}
	if c.Duty == "" {
		return Answer{}, false
	}
	d := s.Duties[c.Duty]
	if d.Holder == "" || d.Token != c.Token {
		return Answer{Status: http.StatusPreconditionFailed, Error: fmt.Sprintf("duty %s: token %d is not the present one", c.Duty, c.Token), Token: d.Token}, true
	}
	switch c.Op {
	case OpNote:
		if c.Good { // the work's own goroutine alone says where it stands
			d.Fails = 0
		} else {
			d.Note = c.Note
		}
	case OpRelease:
		d.Holder, d.Next, d.Left = "", c.Next, c.At
		if c.Note != "" {
			d.Note = c.Note
		}
		switch {
		case c.Failed:
			d.Fails++
		case !c.Lost: // a lease that ended says nothing of the work
			d.Fails = 0
		}
	default:
		return Answer{}, false // its fence holds
	}
	s.setDuty(d)
	ok.Token = d.Token
	return ok, true
}

// endSession leaves what it held to others. One that was not heard of may have
// been killed by what it held.
func (s *State) endSession(id string, c *Command) {
	x, ok := s.Sessions[id]
	if !ok {
		return
	}
	delete(s.Sessions, id)
	s.DutyRev++
	for name, d := range s.Duties {
		if d.Holder != id {
			continue
		}
		d.Holder, d.Left = "", c.At
		if c.Failed && c.lasted(&d) > 2*x.TTL {
			d.Fails = 1 // it had gone well until a time to live ago
		} else if c.Failed {
			d.Fails++
		}
		s.Duties[name] = d
	}
}

// lasted is how long a duty was held by a session that ends. The dates of an older
// leader's commands are all that tells it there, and may have been set meanwhile.
func (c *Command) lasted(d *Duty) time.Duration {
	ms := c.At - d.Since
	if c.Lasted != nil {
		ms = c.Lasted[d.Name]
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *State) setDuty(d Duty) {
	s.DutyRev++
	s.Duties[d.Name] = d
}

// grant gives a duty to a session, with a token that no grant had before.
func (s *State) grant(c *Command) Answer {
	holder, ok := s.Sessions[c.Session.ID]
	d, known := s.Duties[c.Duty]
	refuse := func(status int, format string, args ...any) Answer {
		return Answer{Status: status, Error: fmt.Sprintf(format, args...), Token: d.Token}
	}
	switch {
	case !ok:
		return refuse(http.StatusNotFound, "session %s is unknown", c.Session.ID)
	case !known && len(s.Duties) >= dutiesMost:
		return refuse(http.StatusConflict, "duties: %d at most", dutiesMost)
	case d.Off:
		return refuse(http.StatusConflict, "duty %s is held by the operators", c.Duty)
	case d.Holder != "":
		return refuse(http.StatusConflict, "duty %s is held by %s", c.Duty, d.Warden)
	case d.Next != "" && d.Next != holder.Warden && s.hasWarden(d.Next):
		return refuse(http.StatusConflict, "duty %s is left to %s", c.Duty, d.Next)
	}
	s.Tokens++
	d.Name, d.Holder, d.Warden, d.Token, d.Term, d.Next, d.Since = c.Duty, holder.ID, holder.Warden, s.Tokens, d.Term+1, "", c.At
	s.setDuty(d)
	return Answer{Status: http.StatusOK, Token: d.Token, Note: d.Note, Term: d.Term}
}

func (s *State) hasWarden(name string) bool {
	for _, x := range s.Sessions {
		if x.Warden == name {
			return true
		}
	}
	return false
}

// DutyList is what wardens and operators see of all duties.
type DutyList struct {
	Revision int64     `json:"revision"`
	Duties   []Duty    `json:"duties"`
	Sessions []Session `json:"sessions"`
}

func (s *State) dutyList() DutyList {
	l := DutyList{Revision: s.DutyRev, Duties: []Duty{}, Sessions: []Session{}}
	for _, d := range s.Duties {
		l.Duties = append(l.Duties, d)
	}
	for _, x := range s.Sessions {
		l.Sessions = append(l.Sessions, x)
	}
	slices.SortFunc(l.Duties, func(a, b Duty) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(l.Sessions, func(a, b Session) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// SessionBeats is what a leader has heard of sessions. It reads no clock: now is
// any that only goes forward.
type SessionBeats map[string]time.Duration

// Heard books that a session was heard of.
func (b SessionBeats) Heard(id string, now time.Duration) { b[id] = now }

// Overdue gives the sessions that were not heard of for a whole time to live. One
// that this leader never heard of counts as heard of now.
func (b SessionBeats) Overdue(sessions map[string]Session, now time.Duration) (ids []string) {
	for id, x := range sessions {
		at, ok := b[id]
		if !ok {
			b[id] = now
		} else if now-at > x.TTL {
			ids = append(ids, id)
		}
	}
	for id := range b {
		if _, ok := sessions[id]; !ok {
			delete(b, id)
		}
	}
	slices.Sort(ids)
	return ids
}

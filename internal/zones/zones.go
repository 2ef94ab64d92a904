// Package zones is the duty that moves traffic out of a zone and back. It promises
// that a zone's endpoints are drained and put back one after the other at the rate
// that was asked for, that each destination keeps the share of its endpoints that
// was asked for unless it is forced, that one zone at a time is out unless it is
// forced, and that what it drained, and nothing else, is put back, whichever
// warden began it. It knows sizes, not load: what a zone left serves is seen by the
// relays and by operators. Whether relays leave a zone by themselves is the
// module's (decide).
package zones

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// Role is its name, and the kind of its orders. An order that is aborted puts back
// what it has drained.
const Role = "zone-warden"

// Spec is an order's.
type Spec struct {
	Zone        string  `json:"zone"`
	Rate        float64 `json:"rate"`  // endpoints a second
	MinFraction float64 `json:"keep"`  // share of each destination's endpoints, by size, that has to stay up
	Force       bool    `json:"force"` // whatever would be left, and whichever zone is out already
}

// Validate tells what is wrong with a spec.
func (s *Spec) Validate() error {
	switch {
	case s.Zone == "":
		return errors.New("zone: a name is wanted")
	case !(s.Rate > 0 && s.Rate <= 1000):
		return fmt.Errorf("rate: %v; above 0, up to 1000 endpoints a second", s.Rate)
	case !(s.MinFraction >= 0 && s.MinFraction <= 1):
		return fmt.Errorf("keep: %v; from 0 to 1", s.MinFraction)
	}
	return nil
}

// Progress is how far an order has come. What is to be drained next is noted
// before it is, and what was put back after, so that the next holder knows all
// that may be out.
type Progress struct {
	Started bool            `json:"begun"`
	Total   int             `json:"total"`  // endpoints that were up at the beginning
	Before  map[int]float64 `json:"before"` // what each destination had then, by size
	Drained []string        `json:"out"`    // drained by this order, in turn
}

const lookEvery = 100 * time.Millisecond

// worker is one holder's work.
type worker struct {
	c *client.Client
	g *leader.Grant
	// When the next step of each order may be done. A new holder waits a whole
	// interval first, since it cannot know when the last step was.
	due map[string]time.Time
}

// Work is the duty's.
func Work(c *client.Client) leader.Work {
	return func(ctx context.Context, g *leader.Grant) error {
		w := &worker{c: c, g: g, due: map[string]time.Time{}}
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		for {
			if err := w.turn(ctx); err != nil {
				return leader.IgnoreCancellation(ctx, err)
			}
			select {
			case <-t.C:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// turn brings each order on by a step, where it is due.
func (w *worker) turn(ctx context.Context) error {
	var orders []registry.Operation
	if _, err := w.c.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &orders); err != nil {
		return err
	}
	out := "" // the zone that is being moved, or was moved and is not back
	var mine []registry.Operation
	for _, o := range orders {
		if o.Kind == Role && !o.Done {
			mine = append(mine, o)
			if len(o.Progress) > 0 {
				out = o.Name
			}
		}
	}
	// Those that are under way come first: a new one has to see them.
	slices.SortStableFunc(mine, func(a, b registry.Operation) int { return len(b.Progress) - len(a.Progress) })
	for _, o := range mine {
		var s Spec
		var p Progress
		err := json.Unmarshal(o.Spec, &s)
		if err == nil && len(o.Progress) > 0 {
			err = json.Unmarshal(o.Progress, &p)
		}
		if err == nil {
			err = s.Validate()
		}
		switch {
		case err != nil:
			err = w.tell(ctx, o, p, "cannot be used: "+err.Error(), true)
		case o.DesiredState == registry.DesiredPause:
			err = w.wait(ctx, o, p, "held")
		case !p.Started && out != "" && !s.Force && o.DesiredState != registry.DesiredAbort:
			err = w.wait(ctx, o, p, "waits: "+out+" is out")
		default:
			if !p.Started {
				out = o.Name
			}
			err = w.step(ctx, o, s, p)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) step(ctx context.Context, o registry.Operation, s Spec, p Progress) error {
	if !p.Started && o.DesiredState == registry.DesiredAbort {
		return w.tell(ctx, o, p, "called off", true)
	}
	every := time.Duration(float64(time.Second) / s.Rate)
	due, known := w.due[o.Name]
	if p.Started && !known {
		w.due[o.Name] = time.Now().Add(every)
		if n := len(p.Drained); n > 0 && o.DesiredState != registry.DesiredAbort { // the holder before may have died between its note and its step
			return w.phase(ctx, p.Drained[n-1], discovery.Draining)
		}
		return nil
	}
	if p.Started && time.Now().Before(due) {
		return nil
	}
	if o.DesiredState == registry.DesiredAbort {
		n := len(p.Drained)
		if n == 0 {
			return w.tell(ctx, o, p, "returned", true)
		}
		if err := w.phase(ctx, p.Drained[n-1], discovery.Up); err != nil {
			return err
		}
		w.due[o.Name] = time.Now().Add(every)
		p.Drained = p.Drained[:n-1]
		return w.tell(ctx, o, p, fmt.Sprintf("returns: %d of %d are out", n-1, p.Total), false)
	}
	var members []registry.Member
	if _, err := w.c.Do(ctx, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &members); err != nil {
		return err
	}
	rooms := CapacitiesWithout(members, s.Zone)
	if !p.Started {
		short := Insufficient(rooms, s.MinFraction)
		switch {
		case len(rooms) == 0:
			return w.tell(ctx, o, p, "nothing of the zone is up", true)
		case len(short) > 0 && !s.Force:
			return w.tell(ctx, o, p, fmt.Sprintf("refused: %s; %.3g of it is wanted", join(short), s.MinFraction), true)
		}
		p.Started, p.Before = true, map[int]float64{}
		for _, r := range rooms {
			p.Before[r.Cell] = r.Now
		}
		for _, m := range members {
			if m.Locality == s.Zone && m.Phase == discovery.Up {
				p.Total++
			}
		}
		w.due[o.Name] = time.Now()
		return w.tell(ctx, o, p, "begins", false)
	}
	if len(rooms) == 0 {
		return w.wait(ctx, o, p, fmt.Sprintf("out: all %d", len(p.Drained)))
	}
	next, short := pick(members, rooms, s, p)
	if next < 0 {
		return w.wait(ctx, o, p, "waits: "+join(short))
	}
	id := members[next].ID
	if !slices.Contains(p.Drained, id) {
		p.Drained = append(p.Drained, id)
	}
	if err := w.tell(ctx, o, p, fmt.Sprintf("drains: %d of %d are out", len(p.Drained), p.Total), false); err != nil {
		return err
	}
	w.due[o.Name] = time.Now().Add(every)
	return w.phase(ctx, id, discovery.Draining)
}

// pick gives the endpoint to drain next, by id, of those whose destination keeps
// its share without it; below 0 for none, with those that would not. What is left
// elsewhere may have shrunk since the beginning.
func pick(members []registry.Member, rooms []Capacity, s Spec, p Progress) (next int, short []Capacity) {
	next = -1
	for i, m := range members {
		if m.Locality != s.Zone || m.Phase != discovery.Up {
			continue
		}
		r := rooms[slices.IndexFunc(rooms, func(r Capacity) bool { return r.Cell == m.Cell })]
		r.Remaining, r.Now = r.Now-size(m), max(p.Before[m.Cell], r.Now)
		switch {
		case !s.Force && !r.Retains(s.MinFraction):
			short = append(short, r)
		case next < 0 || m.ID < members[next].ID:
			next = i
		}
	}
	return next, short
}

// phase is the effect: a member that is gone meanwhile needs none.
func (w *worker) phase(ctx context.Context, id, phase string) error {
	err := w.g.Do(ctx, http.MethodPost, registry.MembersPath+"/"+url.PathEscape(id)+"/phase", map[string]string{"phase": phase}, nil)
	var no *client.RejectedError
	if errors.As(err, &no) && no.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// wait tells why nothing is done, once.
func (w *worker) wait(ctx context.Context, o registry.Operation, p Progress, says string) error {
	if o.Message == says {
		return nil
	}
	if !p.Started { // an order with progress is under way
		return w.g.Do(ctx, http.MethodPost, progressPath(o), registry.Operation{Message: says}, nil)
	}
	return w.tell(ctx, o, p, says, false)
}

func (w *worker) tell(ctx context.Context, o registry.Operation, p Progress, says string, done bool) error {
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("zones: %w", err)
	}
	return w.g.Do(ctx, http.MethodPost, progressPath(o), registry.Operation{Progress: text, Message: says, Done: done}, nil)
}

func progressPath(o registry.Operation) string {
	return strings.Join([]string{registry.OperationsPath, o.Kind, url.PathEscape(o.Name), "progress"}, "/")
}

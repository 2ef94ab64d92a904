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

// Duty is its name, and the kind of its orders. An order that is aborted puts back
// what it has drained.
const Duty = "zone-warden"

// Spec is an order's.
type Spec struct {
	Zone  string  `json:"zone"`
	Rate  float64 `json:"rate"`  // endpoints a second
	Keep  float64 `json:"keep"`  // share of each destination's endpoints, by size, that has to stay up
	Force bool    `json:"force"` // whatever would be left, and whichever zone is out already
}

// Check tells what is wrong with a spec.
func (s *Spec) Check() error {
	switch {
	case s.Zone == "":
		return errors.New("zone: a name is wanted")
	case !(s.Rate > 0 && s.Rate <= 1000):
		return fmt.Errorf("rate: %v; above 0, up to 1000 endpoints a second", s.Rate)
	case !(s.Keep >= 0 && s.Keep <= 1):
		return fmt.Errorf("keep: %v; from 0 to 1", s.Keep)
	}
	return nil
}

// Progress is how far an order has come. What is to be drained next is noted
// before it is, and what was put back after, so that the next holder knows all
// that may be out.
type Progress struct {
	Begun  bool            `json:"begun"`
	Total  int             `json:"total"`  // endpoints that were up at the beginning
	Before map[int]float64 `json:"before"` // what each destination had then, by size
	Out    []string        `json:"out"`    // drained by this order, in turn
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
				return leader.Ended(ctx, err)
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
	var orders []registry.Order
	if _, err := w.c.Do(ctx, http.MethodGet, registry.OrdersPath, nil, &orders); err != nil {
		return err
	}
	out := "" // the zone that is being moved, or was moved and is not back
	var mine []registry.Order
	for _, o := range orders {
		if o.Kind == Duty && !o.Done {
			mine = append(mine, o)
			if len(o.Progress) > 0 {
				out = o.Name
			}
		}
	}
	// Those that are under way come first: a new one has to see them.
	slices.SortStableFunc(mine, func(a, b registry.Order) int { return len(b.Progress) - len(a.Progress) })
	for _, o := range mine {
		var s Spec
		var p Progress
		err := json.Unmarshal(o.Spec, &s)
		if err == nil && len(o.Progress) > 0 {
			err = json.Unmarshal(o.Progress, &p)
		}
		if err == nil {
			err = s.Check()
		}
		switch {
		case err != nil:
			err = w.tell(ctx, o, p, "cannot be used: "+err.Error(), true)
		case o.Wish == registry.WishPause:
			err = w.wait(ctx, o, p, "held")
		case !p.Begun && out != "" && !s.Force && o.Wish != registry.WishAbort:
			err = w.wait(ctx, o, p, "waits: "+out+" is out")
		default:
			if !p.Begun {
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

func (w *worker) step(ctx context.Context, o registry.Order, s Spec, p Progress) error {
	if !p.Begun && o.Wish == registry.WishAbort {
		return w.tell(ctx, o, p, "called off", true)
	}
	every := time.Duration(float64(time.Second) / s.Rate)
	due, known := w.due[o.Name]
	if p.Begun && !known {
		w.due[o.Name] = time.Now().Add(every)
		if n := len(p.Out); n > 0 && o.Wish != registry.WishAbort { // the holder before may have died between its note and its step
			return w.phase(ctx, p.Out[n-1], discovery.Draining)
		}
		return nil
	}
	if p.Begun && time.Now().Before(due) {
		return nil
	}
	if o.Wish == registry.WishAbort {
		n := len(p.Out)
		if n == 0 {
			return w.tell(ctx, o, p, "returned", true)
		}
		if err := w.phase(ctx, p.Out[n-1], discovery.Up); err != nil {
			return err
		}
		w.due[o.Name] = time.Now().Add(every)
		p.Out = p.Out[:n-1]
		return w.tell(ctx, o, p, fmt.Sprintf("returns: %d of %d are out", n-1, p.Total), false)
	}
	var members []registry.Member
	if _, err := w.c.Do(ctx, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &members); err != nil {
		return err
	}
	rooms := Rooms(members, s.Zone)
	if !p.Begun {
		short := Short(rooms, s.Keep)
		switch {
		case len(rooms) == 0:
			return w.tell(ctx, o, p, "nothing of the zone is up", true)
		case len(short) > 0 && !s.Force:
			return w.tell(ctx, o, p, fmt.Sprintf("refused: %s; %.3g of it is wanted", join(short), s.Keep), true)
		}
		p.Begun, p.Before = true, map[int]float64{}
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
		return w.wait(ctx, o, p, fmt.Sprintf("out: all %d", len(p.Out)))
	}
	next, short := pick(members, rooms, s, p)
	if next < 0 {
		return w.wait(ctx, o, p, "waits: "+join(short))
	}
	id := members[next].ID
	if !slices.Contains(p.Out, id) {
		p.Out = append(p.Out, id)
	}
	if err := w.tell(ctx, o, p, fmt.Sprintf("drains: %d of %d are out", len(p.Out), p.Total), false); err != nil {
		return err
	}
	w.due[o.Name] = time.Now().Add(every)
	return w.phase(ctx, id, discovery.Draining)
}

// pick gives the endpoint to drain next, by id, of those whose destination keeps
// its share without it; below 0 for none, with those that would not. What is left
// elsewhere may have shrunk since the beginning.
func pick(members []registry.Member, rooms []Room, s Spec, p Progress) (next int, short []Room) {
	next = -1
	for i, m := range members {
		if m.Locality != s.Zone || m.Phase != discovery.Up {
			continue
		}
		r := rooms[slices.IndexFunc(rooms, func(r Room) bool { return r.Cell == m.Cell })]
		r.Left, r.Now = r.Now-size(m), max(p.Before[m.Cell], r.Now)
		switch {
		case !s.Force && !r.Keeps(s.Keep):
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
	var no *client.Refused
	if errors.As(err, &no) && no.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// wait tells why nothing is done, once.
func (w *worker) wait(ctx context.Context, o registry.Order, p Progress, says string) error {
	if o.Says == says {
		return nil
	}
	if !p.Begun { // an order with progress is under way
		return w.g.Do(ctx, http.MethodPost, progressPath(o), registry.Order{Says: says}, nil)
	}
	return w.tell(ctx, o, p, says, false)
}

func (w *worker) tell(ctx context.Context, o registry.Order, p Progress, says string, done bool) error {
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("zones: %w", err)
	}
	return w.g.Do(ctx, http.MethodPost, progressPath(o), registry.Order{Progress: text, Says: says, Done: done}, nil)
}

func progressPath(o registry.Order) string {
	return strings.Join([]string{registry.OrdersPath, o.Kind, url.PathEscape(o.Name), "progress"}, "/")
}

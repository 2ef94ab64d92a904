package model

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
)

// Limit is what a destination takes from all relays together.
type Limit struct {
	Rate    float64       // calls a second; 0 for no limit
	Span    time.Duration // counted over fixed spans of this length; 0 for a plain rate
	Tells   float64       // share of refusals that tell how long to wait
	WaitMin time.Duration // told by a plain rate, drawn up to WaitMax
	WaitMax time.Duration
	Spends  bool // refused calls use the limit up
}

// Spell is a trouble that a destination or an endpoint has for a while.
type Spell struct {
	Slow   float64 // calls take so many times as long; 0 for once
	Fail   float64 // share of calls that end in 500, half of them with their effect
	Shut   bool    // every call is refused, and told to wait until it opens
	Silent bool    // calls are taken and never answered
	Lose   float64 // share of answers that are lost: effect, and no word of it
	Spoil  float64 // share of answers that cannot be read
	Reset  float64 // share of connections reset under the request, before it is whole
}

func (s Spell) bad() bool { return s.Shut || s.Silent || s.Fail >= 0.5 }

// with adds another spell.
func (s Spell) with(o Spell) Spell {
	s.Slow = max(s.Slow, 1) * max(o.Slow, 1)
	s.Fail, s.Lose, s.Spoil, s.Reset = max(s.Fail, o.Fail), max(s.Lose, o.Lose), max(s.Spoil, o.Spoil), max(s.Reset, o.Reset)
	s.Shut, s.Silent = s.Shut || o.Shut, s.Silent || o.Silent
	return s
}

// Partner is a destination: one to four endpoints that share one limit, and
// whose outages are the whole partner's.
type Partner struct {
	Cell  int
	Kind  string
	Limit Limit
	Pace  float64 // times the usual time that a call takes
	Every time.Duration
	rules Rules
	rec   *history.Recorder
	rand  *rand.Rand

	mu       sync.Mutex
	spells   []Spell
	scale    float64
	opens    time.Time // when a shut one opens
	down     int       // endpoints that are down
	members  int
	out      bool
	refusing bool      // during the outage its connections were refused
	cold     time.Time // since when it is back; zero for warm
	fell     bool
	began    time.Time // of the present span
	used     float64   // of the span's count, or of the plain rate's bucket
	filled   time.Time
	pushes   []push // of the last Fall, while it is cold
	x0       float64
	fresh    time.Time
}

type push struct {
	at    time.Time
	relay string
}

// refusal says why a call is turned away.
type refusal struct {
	away bool
	wait time.Duration // told; 0 for none
}

// NewPartner makes a destination whose reports are refreshed at the given pace.
func NewPartner(cell int, kind string, l Limit, pace float64, every time.Duration, rules Rules, rec *history.Recorder, seed uint64) *Partner {
	now := time.Now()
	return &Partner{Cell: cell, Kind: kind, Limit: l, Pace: pace, Every: every, rules: rules, rec: rec,
		rand: rand.New(rand.NewPCG(seed, uint64(cell))), began: now, filled: now, x0: 1, scale: 1}
}

func (p *Partner) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64()
}

// Add puts a trouble on the whole destination, beside those that it has. A
// shut one tells callers to wait until opens.
func (p *Partner) Add(s Spell, opens time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spells = append(p.spells, s)
	if s.Shut {
		p.opens = opens
	}
	p.settle(false)
}

// Remove ends a trouble that was added.
func (p *Partner) Remove(s Spell) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.spells, s); i >= 0 {
		p.spells = slices.Delete(p.spells, i, i+1)
	}
	p.settle(false)
}

// Scale sets the limit to so many times what it is on a usual day.
func (p *Partner) Scale(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scale = factor
}

// spell is all of its troubles together.
func (p *Partner) spell() (all Spell) {
	for _, s := range p.spells {
		all = all.with(s)
	}
	return all
}

// limit is what it takes on a usual day, as it is scaled now.
func (p *Partner) limit() float64 { return p.Limit.Rate * p.scale }

// endpointDown books that one more of its endpoints is down, or one less.
func (p *Partner) endpointDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.down++
	} else {
		p.down--
	}
	p.settle(true)
}

// settle notes where an outage of the whole destination begins and ends.
func (p *Partner) settle(refusing bool) {
	gone := p.members > 0 && p.down >= p.members
	out := p.spell().bad() || gone
	if out == p.out {
		return
	}
	p.out = out
	if out {
		p.refusing = refusing
	} else {
		p.cold, p.pushes = time.Now(), nil
	}
	p.rec.Put(history.Event{Kind: history.Outage, Dest: p.Cell, On: out, Refusing: p.refusing})
}

// share is how much of its capacity it has now.
func (p *Partner) share(now time.Time) float64 {
	if p.cold.IsZero() {
		return 1
	}
	after := now.Sub(p.cold)
	if after >= p.rules.Ramp {
		p.cold, p.pushes = time.Time{}, nil
		return 1
	}
	return p.rules.Start + (1-p.rules.Start)*float64(after)/float64(p.rules.Ramp)
}

// admit counts a call that has come and says whether it is turned away.
func (p *Partner) admit(relay string, now time.Time) refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.share(now)
	if !p.out && !p.cold.IsZero() {
		p.pushed(relay, now, share)
	}
	if p.spell().Shut {
		wait := time.Duration(0)
		if p.rand.Float64() < p.Limit.Tells {
			wait = max(p.opens.Sub(now), 10*time.Millisecond)
		}
		return refusal{true, wait}
	}
	if p.Limit.Rate <= 0 {
		return refusal{}
	}
	rate := p.limit() * share
	var room bool
	var wait time.Duration
	if p.Limit.Span > 0 {
		for now.Sub(p.began) >= p.Limit.Span {
			p.began, p.used = p.began.Add(p.Limit.Span), 0
		}
		room = p.used+1 <= max(1, rate*p.Limit.Span.Seconds())
		wait = p.began.Add(p.Limit.Span).Sub(now)
	} else {
		p.used = max(0, p.used-now.Sub(p.filled).Seconds()*rate)
		p.filled = now
		room = p.used+1 <= max(1, rate*0.5)
		wait = p.Limit.WaitMin + time.Duration(p.rand.Float64()*float64(p.Limit.WaitMax-p.Limit.WaitMin))
	}
	if room || p.Limit.Spends {
		p.used++
	}
	if room {
		return refusal{}
	}
	if p.rand.Float64() >= p.Limit.Tells {
		wait = 0
	}
	return refusal{true, wait}
}

// pushed counts what comes to a cold destination: too much of it and it falls
// over and stays down.
func (p *Partner) pushed(relay string, now time.Time, share float64) {
	if p.fell || p.Limit.Rate <= 0 {
		return
	}
	p.pushes = append(p.pushes, push{now, relay})
	for now.Sub(p.pushes[0].at) > p.rules.Fall {
		p.pushes = p.pushes[1:]
	}
	budget := p.rules.Overload * share * p.limit() * p.rules.Fall.Seconds()
	if float64(len(p.pushes)) <= budget*1.1+3 { // a little slack for chance
		return
	}
	p.fell = true
	by := map[string]int{}
	for _, x := range p.pushes {
		by[x.relay]++
	}
	p.rec.Put(history.Event{Kind: history.Fell, Dest: p.Cell, Relays: by})
}

// report is what an answer tells of the limit: refreshed late, so often old.
func (p *Partner) report(now time.Time) (x0, x1 float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.fresh) >= p.Every {
		p.fresh = now
		all := p.limit() * 0.5
		if p.Limit.Span > 0 {
			all = p.limit() * p.Limit.Span.Seconds()
		}
		p.x0 = 1
		if all > 0 {
			p.x0 = min(1, max(0, 1-p.used/max(1, all)))
		}
	}
	return p.x0, p.limit()
}

// trouble is what a call to one of its endpoints meets.
func (p *Partner) trouble(own Spell) (Spell, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spell().with(own), p.fell
}

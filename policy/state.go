package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// What a policy remembers; nothing is decided here.

// Policy decides for one relay.
type Policy struct {
	set     Settings
	rng     *rand.Rand
	now     Time
	out     []Action
	dests   []*dest // by number
	eps     map[Endpoint]*endpoint
	msgs    map[uint32]*message
	live    []*message // not yet ended
	lines   map[uint64]*line
	later   agenda[task] // what is put off
	touched []*dest      // to be looked at in this turn
	ready   []*dest      // wait for nothing but a slot
	backlog
	tenants     []bucket
	calls       int
	lastCall    uint32
	aloft       int // messages not ended with an attempt out
	shedLooks   int // looks for the message that is worth least
	armed       Time
	asked       Time
	tight       []float64    // share of calls that found no connection, by kind of destination
	leastLimits []leastLimit // by kind of destination
	lat         latency      // of all answers
	silent      float64      // share of calls that ended with no answer
	pressed     Time         // since when messages wait and every slot is taken; 0 for not
	drained     Time         // since when the operators have it emptied; 0 for not
}

// dest is a destination: a queue, and a lane for each thing that limits it.
type dest struct {
	id      int
	kind    DestinationKind
	kindAt  int // its place in the settings
	lanes   []*lane
	queue   []*message
	flying  int
	touched bool
	waits   bool // is in Policy.ready
	wakeAt  Time // next moment in wakes
	clearAt Time // when what waits there will have gone, as last looked at
	clearIn int  // the look in which that was, of Policy.shedLooks
	spilled int  // messages that the log alone has
	asked   int  // of these, asked for
	lacking bool // in Policy.lacking
	pick    *message
	pickAt  *endpoint
	pickVal float64
}

// lane is what one limit, one wait and one history bind: a destination, or a route where they are apart.
type lane struct {
	dest       *dest
	eps        []*endpoint
	hist       counter
	window     float64
	flying     int
	waitUntil  Time // told to wait
	pauseUntil Time // refused without a wait
	nominal    float64
	limit      float64
	boost      float64
	boostAt    Time // when it last changed
	tokens     bucket
	bound      bool // the pace, not the traffic, decided when the last call went
	fullRun    int
	fullAt     Time // the first of the run
	unmadeRun  int  // calls in a row that this machine could not make
	lat        latency
}

// leastLimit is the lowest limit that any lane of a kind has reported; 0 for none. It is kept up by reports,
// so that its cost does not grow with the list, and stale where the lane that had it reported a higher one or is gone.
type leastLimit struct {
	limit float64
	stale bool
}

// reported takes in that a lane which reported one limit before reports another.
func (x *leastLimit) reported(before, limit float64) {
	x.stale = x.stale || before == x.limit && limit > before
	x.lower(limit)
}

func (x *leastLimit) lower(limit float64) {
	if limit > 0 && (x.limit == 0 || limit < x.limit) {
		x.limit = limit
	}
}

// endpoint is one address, with what this relay saw of its health.
type endpoint struct {
	id        Endpoint
	zone      int
	lane      *lane
	state     Readiness
	flying    int
	conns     int
	restUntil Time // failing, but not yet held to be out
	idleAt    Time // end of the last call
	watched   bool // a look at its idle connections is put off
	crowd     int  // calls in a row that found no room for a connection
	crowdAt   Time // the first of them
	score     float64
	sick      bool
	firstBad  Time
	badAt     Time
	goodAt    Time // first success since the last failure; 0 for none
	goodSent  Time
	okAt      Time
	okSent    Time // when the newest call that was answered left
	budget    bucket
	need      float64 // what the next call takes out of the budget
	mute      bool    // the last failure was a silence, not an answer
	lat       latency
}

// message is held until it is ended, and known until its last attempt is over.
type message struct {
	id        uint32
	key       uint64
	class     *Class
	dest      *dest
	aimAt     Time
	deadline  Time
	worth     float64
	loss      float64 // of worth, if it waits: as last weighed
	over      bool
	overShare bool // its tenant was over its share
	stays     bool // it is never spilled
	kept      bool // an earlier process took it on, it has surely not run, and no call has reached anybody since
	place     int  // in Policy.live
	tries     int
	doubtAt   Time      // send of the first attempt that may have run; 0 for none
	doubtIn   int       // its zone
	failedAt  *endpoint // where its last attempt failed
	call      *call
}

// call is one call out, with the messages that share it.
type call struct {
	ep     *endpoint
	sent   Time
	last   Time // before the time of the first of its messages is up
	enough Time // until which the one that takes longest is waited for
	left   int
	noted  bool
	unmade bool // for one of its messages at least
	msgs   []*message
}

// line is the turn of one key in the classes that keep order.
type line struct {
	turns   []*message
	rest    Time
	spilled int   // messages of it that the log alone has
	gap     int   // their place in turns
	to      *dest // all of them go there
}

func (p *Policy) act(a Action) { p.out = append(p.out, a) }

func (p *Policy) dest(id int) *dest {
	at, ok := slices.BinarySearchFunc(p.dests, id, func(d *dest, id int) int { return d.id - id })
	if !ok {
		p.dests = slices.Insert(p.dests, at, &dest{id: id, kind: DestinationKind{MaxBatch: 1}})
	}
	return p.dests[at]
}

// resume gives a message that an earlier process took on its past back. It may have nothing left but its end.
func (p *Policy) resume(m *message, e *Event) {
	if m.tries = e.Attempts; m.tries > 0 {
		p.lookAt(p.now, m)
	}
	if e.UnknownOutcomeAt > 0 {
		p.doubt(m, e.UnknownOutcomeAt, e.UnknownOutcomeZone)
	}
	if e.InFlightEndpoint != 0 {
		p.rejoin(m, e)
	}
}

// rejoin books a call that another process has out for a message, with its place in the windows. Messages that
// were sent there at one moment share one. An endpoint that has left the list since has books of its own.
func (p *Policy) rejoin(m *message, e *Event) {
	for _, x := range p.live {
		if c := x.call; c != nil && c.ep.id == e.InFlightEndpoint && c.sent == e.InFlightSince {
			m.call = c
		}
	}
	if m.call == nil {
		ep := p.eps[e.InFlightEndpoint]
		if ep == nil {
			ep = &endpoint{id: e.InFlightEndpoint, lane: &lane{dest: m.dest, window: 1, boost: 1, hist: newCounter(historySpan, historyBins)}}
		}
		m.call = &call{ep: ep, sent: e.InFlightSince}
		p.calls++
		ep.flying++
		ep.conns = max(ep.conns, ep.flying)
		ep.lane.flying++
		ep.lane.dest.flying++
	}
	m.call.left++
	m.call.msgs = append(m.call.msgs, m)
	p.aloft++
}

// doubt keeps the first attempt of a message that may have run; the message is looked at when its window ends.
func (p *Policy) doubt(m *message, sent Time, zone int) {
	m.doubtAt, m.doubtIn = sent, zone
	p.lookAt(max(m.doubtAt+m.class.DedupWindow-2*p.set.Tick+1, p.now+1), m)
}

func (p *Policy) logf(format string, args ...any) {
	p.act(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
}

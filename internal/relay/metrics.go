package relay

import (
	"bytes"
	"fmt"
	"strconv"
	"sync/atomic"

	"plovershore/internal/discovery"
	"plovershore/policy"
)

// metrics are what the operators are shown. Counts start at 0 with the process
// and are raised at the one place where the fact happens; gauges are as the
// loop last published them. All may be read at any time, by anyone.
type metrics struct {
	lanes []laneMetrics // by class, as in the settings
	// Gauges.
	pending         atomic.Int64
	members         atomic.Int64
	unavailable     atomic.Int64
	spilled, loaded atomic.Int64 // messages that the log alone has, and how many came back so far
	// Of the log.
	logUnread, logDamaged, logLost, logAffected atomic.Int64
	waitingFor                                  atomic.Value // what keeps the relay from being ready; a string
	rejections                                  map[rejection]*atomic.Int64
	overdue                                     atomic.Int64 // messages held past their time
	clockSteps                                  atomic.Int64 // of the wall clock since the start
	localFailures                               atomic.Int64 // calls that this machine could not make
	logWaiting                                  atomic.Int64 // records that the log could not write yet
}

// rejection is why a request was not taken on, as log and figures name it.
type rejection string

// Refusals.
const (
	rejectedStopping  rejection = "stopping" // the process ends
	rejectedFull      rejection = "full"     // as many are held as may be
	rejectedDuplicate rejection = "twice"    // its id is being handed in already
	rejectedLog       rejection = "log"      // the log could not take it
	rejectedPolicy    rejection = "policy"   // shed, to come again
	rejectedExpired   rejection = "hopeless" // given up before it was taken on
)

var rejections = []rejection{rejectedStopping, rejectedFull, rejectedDuplicate, rejectedLog, rejectedPolicy, rejectedExpired}

type laneMetrics struct {
	name                                  string
	completed, rejected, failed, upstream atomic.Int64
}

func newMetrics(classes []policy.Class) *metrics {
	f := &metrics{lanes: make([]laneMetrics, len(classes)), rejections: map[rejection]*atomic.Int64{}}
	for _, why := range rejections {
		f.rejections[why] = &atomic.Int64{}
	}
	for i := range classes {
		f.lanes[i].name = classes[i].Name
	}
	return f
}

// countUndelivered counts the end of a message that was not delivered. One of a class that
// the settings no longer name has no lane.
func (f *metrics) countUndelivered(class int, outcome string) {
	if class < 0 {
		return
	}
	if outcome == discovery.Returned {
		f.lanes[class].rejected.Add(1)
	} else {
		f.lanes[class].failed.Add(1)
	}
}

func (f *metrics) countDelivered(class int) {
	if class >= 0 {
		f.lanes[class].completed.Add(1)
	}
}

// countWritten counts a message whose call has gone out whole.
func (f *metrics) countWritten(class int) {
	if class >= 0 {
		f.lanes[class].upstream.Add(1)
	}
}

// text writes the figures in the Prometheus text format.
func (f *metrics) text() []byte {
	var b bytes.Buffer
	counts := []struct {
		name, help string
		of         func(*laneMetrics) *atomic.Int64
	}{
		{"app_completed", "Messages delivered.", func(l *laneMetrics) *atomic.Int64 { return &l.completed }},
		{"app_rejected", "Messages refused or handed back.", func(l *laneMetrics) *atomic.Int64 { return &l.rejected }},
		{"app_failed", "Messages failed.", func(l *laneMetrics) *atomic.Int64 { return &l.failed }},
		{"app_upstream_requests", "Messages written whole to endpoints.", func(l *laneMetrics) *atomic.Int64 { return &l.upstream }},
	}
	for _, c := range counts {
		fmt.Fprintf(&b, "# HELP %s %s\n# TYPE %s counter\n", c.name, c.help, c.name)
		for i := range f.lanes {
			l := &f.lanes[i]
			fmt.Fprintf(&b, "%s{lane=%s} %d\n", c.name, strconv.Quote(l.name), c.of(l).Load())
		}
	}
	for _, why := range rejections {
		fmt.Fprintf(&b, "# HELP app_refused_%[1]s Requests that were not taken on: %[1]s.\n# TYPE app_refused_%[1]s counter\napp_refused_%[1]s %[2]d\n", why, f.rejections[why].Load())
	}
	fmt.Fprintf(&b, "# HELP app_clock_steps Steps of the machine's wall clock since the start.\n# TYPE app_clock_steps counter\napp_clock_steps %d\n", f.clockSteps.Load())
	fmt.Fprintf(&b, "# HELP app_unmade Attempts that this machine could not make: no record in the log, or no connection from here.\n# TYPE app_unmade counter\napp_unmade %d\n", f.localFailures.Load())
	fmt.Fprintf(&b, "# HELP app_loaded Messages read back from the log after they were spilled.\n# TYPE app_loaded counter\napp_loaded %d\n", f.loaded.Load())
	for _, g := range []struct {
		name, help string
		v          *atomic.Int64
	}{
		{"app_pending", "Messages taken and not ended.", &f.pending},
		{"app_members", "Endpoints on the list.", &f.members},
		{"app_members_unavailable", "Endpoints on the list that the relay avoids now.", &f.unavailable},
		{"app_spilled", "Messages pending that are in the log alone, not in memory.", &f.spilled},
		{"app_overdue", "Messages held past their time.", &f.overdue},
		{"app_log_waiting", "Records of what has happened that the disk has not taken yet.", &f.logWaiting},
		{"app_log_unread", "Messages owed at the start that are still to be read.", &f.logUnread},
		{"app_log_damaged", "Damaged stretches found in the log at the start.", &f.logDamaged},
		{"app_log_lost", "Messages that damage to the log took; each was given up.", &f.logLost},
		{"app_log_concerned", "Messages held to have been sent, since damage may have concerned them.", &f.logAffected},
	} {
		fmt.Fprintf(&b, "# HELP %s %s\n# TYPE %s gauge\n%s %d\n", g.name, g.help, g.name, g.name, g.v.Load())
	}
	return b.Bytes()
}

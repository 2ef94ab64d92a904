package relay

import (
	"bytes"
	"fmt"
	"strconv"
	"sync/atomic"

	"plovershore/internal/discovery"
	"plovershore/policy"
)

// figures are what the operators are shown. Counts start at 0 with the process
// and are raised at the one place where the fact happens; gauges are as the
// loop last published them. All may be read at any time, by anyone.
type figures struct {
	lanes []laneFigures // by class, as in the settings
	// Gauges.
	pending         atomic.Int64
	members         atomic.Int64
	unavailable     atomic.Int64
	spilled, loaded atomic.Int64 // messages that the log alone has, and how many came back so far
	// Of the log.
	unread, damaged, lost, concerned atomic.Int64
	waits                            atomic.Value // what keeps the relay from being ready; a string
	refused                          map[refusal]*atomic.Int64
	overdue                          atomic.Int64 // messages held past their time
	clockSteps                       atomic.Int64 // of the wall clock since the start
	unmade                           atomic.Int64 // calls that this machine could not make
	logWaits                         atomic.Int64 // records that the log could not write yet
}

// refusal is why a request was not taken on, as log and figures name it.
type refusal string

// Refusals.
const (
	refusedStopping refusal = "stopping" // the process ends
	refusedFull     refusal = "full"     // as many are held as may be
	refusedTwice    refusal = "twice"    // its id is being handed in already
	refusedLog      refusal = "log"      // the log could not take it
	refusedPolicy   refusal = "policy"   // shed, to come again
	refusedHopeless refusal = "hopeless" // given up before it was taken on
)

var refusals = []refusal{refusedStopping, refusedFull, refusedTwice, refusedLog, refusedPolicy, refusedHopeless}

type laneFigures struct {
	name                                  string
	completed, rejected, failed, upstream atomic.Int64
}

func newFigures(classes []policy.Class) *figures {
	f := &figures{lanes: make([]laneFigures, len(classes)), refused: map[refusal]*atomic.Int64{}}
	for _, why := range refusals {
		f.refused[why] = &atomic.Int64{}
	}
	for i := range classes {
		f.lanes[i].name = classes[i].Name
	}
	return f
}

// ended counts the end of a message that was not delivered. One of a class that
// the settings no longer name has no lane.
func (f *figures) ended(class int, word string) {
	if class < 0 {
		return
	}
	if word == discovery.Returned {
		f.lanes[class].rejected.Add(1)
	} else {
		f.lanes[class].failed.Add(1)
	}
}

func (f *figures) delivered(class int) {
	if class >= 0 {
		f.lanes[class].completed.Add(1)
	}
}

// written counts a message whose call has gone out whole.
func (f *figures) written(class int) {
	if class >= 0 {
		f.lanes[class].upstream.Add(1)
	}
}

// text writes the figures in the Prometheus text format.
func (f *figures) text() []byte {
	var b bytes.Buffer
	counts := []struct {
		name, help string
		of         func(*laneFigures) *atomic.Int64
	}{
		{"app_completed", "Messages delivered.", func(l *laneFigures) *atomic.Int64 { return &l.completed }},
		{"app_rejected", "Messages refused or handed back.", func(l *laneFigures) *atomic.Int64 { return &l.rejected }},
		{"app_failed", "Messages failed.", func(l *laneFigures) *atomic.Int64 { return &l.failed }},
		{"app_upstream_requests", "Messages written whole to endpoints.", func(l *laneFigures) *atomic.Int64 { return &l.upstream }},
	}
	for _, c := range counts {
		fmt.Fprintf(&b, "# HELP %s %s\n# TYPE %s counter\n", c.name, c.help, c.name)
		for i := range f.lanes {
			l := &f.lanes[i]
			fmt.Fprintf(&b, "%s{lane=%s} %d\n", c.name, strconv.Quote(l.name), c.of(l).Load())
		}
	}
	for _, why := range refusals {
		fmt.Fprintf(&b, "# HELP app_refused_%[1]s Requests that were not taken on: %[1]s.\n# TYPE app_refused_%[1]s counter\napp_refused_%[1]s %[2]d\n", why, f.refused[why].Load())
	}
	fmt.Fprintf(&b, "# HELP app_clock_steps Steps of the machine's wall clock since the start.\n# TYPE app_clock_steps counter\napp_clock_steps %d\n", f.clockSteps.Load())
	fmt.Fprintf(&b, "# HELP app_unmade Attempts that this machine could not make: no record in the log, or no connection from here.\n# TYPE app_unmade counter\napp_unmade %d\n", f.unmade.Load())
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
		{"app_log_waiting", "Records of what has happened that the disk has not taken yet.", &f.logWaits},
		{"app_log_unread", "Messages owed at the start that are still to be read.", &f.unread},
		{"app_log_damaged", "Damaged stretches found in the log at the start.", &f.damaged},
		{"app_log_lost", "Messages that damage to the log took; each was given up.", &f.lost},
		{"app_log_concerned", "Messages held to have been sent, since damage may have concerned them.", &f.concerned},
	} {
		fmt.Fprintf(&b, "# HELP %s %s\n# TYPE %s gauge\n%s %d\n", g.name, g.help, g.name, g.name, g.v.Load())
	}
	return b.Bytes()
}

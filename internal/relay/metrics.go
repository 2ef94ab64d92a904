package relay

import (
	"bytes"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
	"plovershore/policy"
)

const (
	metricsMaxAge      = 250 * time.Millisecond // maximum age of the published gauges
	metricsMinInterval = policy.Time(100e3)     // minimum time between two publications of the gauges
)

// metrics holds the metrics that the operator address serves. Counters start at 0 with
// the process; gauges have the values that the loop last published. Any goroutine may read
// them at any time.
type metrics struct {
	classes []classMetrics // by the index of the class in the settings

	// Counters.
	rejections    map[rejection]*atomic.Int64
	clockSteps    atomic.Int64 // steps of the wall clock
	localFailures atomic.Int64 // attempts that this machine could not make
	loaded        atomic.Int64 // spilled messages that were read back
	dropped       atomic.Int64 // commands of clients that were dropped for want of memory

	// Gauges.
	pending     atomic.Int64
	members     atomic.Int64
	unavailable atomic.Int64
	spilled     atomic.Int64
	overdue     atomic.Int64 // messages pending past their deadlines
	logWaiting  atomic.Int64 // records not yet written to the log
	logUnread   atomic.Int64 // messages pending at the start that are not yet read
	logDamaged  atomic.Int64
	logLost     atomic.Int64
	logAffected atomic.Int64

	waitingFor atomic.Value // a string that says why the relay is not ready; empty if it is
}

// rejection is the reason why a message was not accepted. Its text is part of metric
// names and log lines.
type rejection string

const (
	rejectedStopping      rejection = "stopping" // the process is shutting down
	rejectedFull          rejection = "full"     // the number of pending messages has reached the limit in the settings
	rejectedDuplicate     rejection = "twice"    // an earlier submission of the same id has no response yet
	rejectedNotLogged     rejection = "log"      // the message could not be written to the log
	rejectedPolicy        rejection = "policy"   // the policy rejects the message, and the client may retry it
	rejectedUndeliverable rejection = "hopeless" // the message can't be delivered before its deadline
)

// rejections lists all reasons in the order of their metrics.
var rejections = []rejection{rejectedStopping, rejectedFull, rejectedDuplicate, rejectedNotLogged, rejectedPolicy, rejectedUndeliverable}

// classMetrics holds the counters of one class of messages.
type classMetrics struct {
	name                                 string
	completed, rejected, failed, written atomic.Int64
}

func newMetrics(classes []policy.Class) *metrics {
	m := &metrics{classes: make([]classMetrics, len(classes)), rejections: map[rejection]*atomic.Int64{}}
	for _, reason := range rejections {
		m.rejections[reason] = &atomic.Int64{}
	}
	for i := range classes {
		m.classes[i].name = classes[i].Name
	}
	return m
}

// countUndelivered counts a message that was rejected, or that was completed without being
// delivered. A class that is no longer in the settings has index -1 and no counters.
func (m *metrics) countUndelivered(class int, outcome string) {
	if class < 0 {
		return
	}
	if outcome == discovery.Returned {
		m.classes[class].rejected.Add(1)
	} else {
		m.classes[class].failed.Add(1)
	}
}

func (m *metrics) countDelivered(class int) {
	if class >= 0 {
		m.classes[class].completed.Add(1)
	}
}

// countWritten counts a message whose call was written completely to an endpoint.
func (m *metrics) countWritten(class int) {
	if class >= 0 {
		m.classes[class].written.Add(1)
	}
}

// publishedGauges records the last publication of the gauges.
type publishedGauges struct {
	publishedAt policy.Time // time of the last publication
	overdue     int         // overdue messages at that time
}

// publishDueMetrics publishes the gauges if there is an operator address and
// metricsMinInterval has passed since the last publication.
func (r *Relay) publishDueMetrics() {
	if r.cfg.Operator != "" && r.clock.now()-r.published.publishedAt >= metricsMinInterval {
		r.publishMetrics()
	}
}

// publishMetrics updates the gauges to the loop's current state.
func (r *Relay) publishMetrics() {
	r.published.publishedAt = r.clock.now()
	r.metrics.members.Store(int64(r.endpoints.listed))
	r.metrics.unavailable.Store(int64(r.countUnavailable(r.published.publishedAt)))
	r.metrics.pending.Store(int64(r.messages.pending - len(r.messages.remoteCalls))) // the other process counts messages whose calls it has in flight
	r.metrics.logWaiting.Store(r.wal.UnwrittenRecords())
	r.publishOverdue()
}

// publishOverdue publishes the number of overdue messages. It logs when the number changes
// from 0 or to 0.
func (r *Relay) publishOverdue() {
	n := r.overdue.count(r.published.publishedAt)
	if (n > 0) != (r.published.overdue > 0) {
		r.log.Warn("overdue messages", "count", n, "pending", r.messages.pending)
	}
	r.published.overdue = n
	r.metrics.overdue.Store(int64(n))
}

// metricsWriter encodes metrics in the Prometheus text format.
type metricsWriter struct{ bytes.Buffer }

func (w *metricsWriter) header(name, kind, help string) {
	fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, kind)
}

func (w *metricsWriter) counter(name, help string, value *atomic.Int64) {
	w.header(name, "counter", help)
	fmt.Fprintf(w, "%s %d\n", name, value.Load())
}

func (w *metricsWriter) gauge(name, help string, value *atomic.Int64) {
	w.header(name, "gauge", help)
	fmt.Fprintf(w, "%s %d\n", name, value.Load())
}

// classCounter writes a counter of each class of messages.
func (w *metricsWriter) classCounter(classes []classMetrics, name, help string, value func(*classMetrics) *atomic.Int64) {
	w.header(name, "counter", help)
	for i := range classes {
		fmt.Fprintf(w, "%s{lane=%s} %d\n", name, strconv.Quote(classes[i].name), value(&classes[i]).Load())
	}
}

// prometheusText returns all metrics in the Prometheus text format. docs/on-call.md explains them.
func (m *metrics) prometheusText() []byte {
	w := &metricsWriter{}
	w.classCounter(m.classes, "app_completed", "Messages delivered.", func(c *classMetrics) *atomic.Int64 { return &c.completed })
	w.classCounter(m.classes, "app_rejected", "Messages refused or handed back.", func(c *classMetrics) *atomic.Int64 { return &c.rejected })
	w.classCounter(m.classes, "app_failed", "Messages failed.", func(c *classMetrics) *atomic.Int64 { return &c.failed })
	w.classCounter(m.classes, "app_upstream_requests", "Messages written whole to endpoints.", func(c *classMetrics) *atomic.Int64 { return &c.written })
	for _, reason := range rejections {
		w.counter("app_refused_"+string(reason), "Requests that were not taken on: "+string(reason)+".", m.rejections[reason])
	}
	w.counter("app_clock_steps", "Steps of the machine's wall clock since the start.", &m.clockSteps)
	w.counter("app_unmade", "Attempts that this machine could not make: no record in the log, or no connection from here.", &m.localFailures)
	w.counter("app_loaded", "Messages read back from the log after they were spilled.", &m.loaded)
	w.gauge("app_pending", "Messages taken and not ended.", &m.pending)
	w.gauge("app_members", "Endpoints on the list.", &m.members)
	w.gauge("app_members_unavailable", "Endpoints on the list that the relay avoids now.", &m.unavailable)
	w.gauge("app_spilled", "Messages pending that are in the log alone, not in memory.", &m.spilled)
	w.gauge("app_overdue", "Messages held past their time.", &m.overdue)
	w.gauge("app_log_waiting", "Records of what has happened that the disk has not taken yet.", &m.logWaiting)
	w.gauge("app_log_unread", "Messages owed at the start that are still to be read.", &m.logUnread)
	w.gauge("app_log_damaged", "Damaged stretches found in the log at the start.", &m.logDamaged)
	w.gauge("app_log_lost", "Messages that damage to the log took; each was given up.", &m.logLost)
	w.gauge("app_log_concerned", "Messages held to have been sent, since damage may have concerned them.", &m.logAffected)
	w.counter("app_refused_memory", "Requests that were not taken on: no memory to read them.", &m.dropped)
	return w.Bytes()
}

// Package report presents histories: the figures of a run, tables that compare several
// runs, and a self-contained page with plots. It checks nothing.
package report

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/model"
)

const (
	maxLatencyMicros = 60_000_000 // a higher latency is recorded as this
	windowSeconds    = 10         // length of the window of Stats.WorstWindow

	// Weights of the score.
	scoreServed      = 0.4
	scoreWorstWindow = 0.25
	scoreWorstClass  = 0.35
)

// Stats holds the figures of one run. Values are fractions of the weight of all
// messages. Latencies are measured from when a message was due.
type Stats struct {
	Seconds       float64            `json:"seconds"`
	Messages      int                `json:"messages"`         // messages of clients: their first requests, without retries
	Requests      int                `json:"requests"`         // all requests of clients, retries included
	Delivered     int                `json:"delivered"`        // messages that were delivered, with the first request or a retry
	Rejected      int                `json:"refused"`          // requests that a relay rejected, or handed back by a notice
	Failed        int                `json:"given_up"`         // messages with a notice that they were not delivered
	Unanswered    int                `json:"unheard"`          // requests that got no answer
	Calls         int                `json:"calls"`            // calls that reached an endpoint
	RejectedCalls int                `json:"turned_away"`      // calls answered with 429 or 503
	FailedCalls   int                `json:"failed"`           // calls answered with 500, with a response that cannot be parsed, or not at all
	ValueServed   float64            `json:"served"`           // value over the whole run
	WorstWindow   float64            `json:"served_worst_10s"` // the lowest value over any 10 s
	Classes       map[string]float64 `json:"served_by_class"`  // value of each class, as a fraction of the weight of its messages
	Score         float64            `json:"score"`            // weighted mean of ValueServed, WorstWindow and the value of the worst class
	P50MS         float64            `json:"p50_ms"`
	P90MS         float64            `json:"p90_ms"`
	P99MS         float64            `json:"p99_ms"`
	MaxRSS        map[string]int64   `json:"max_rss_bytes"`
	MaxFDs        map[string]int     `json:"max_fds"`
	CPU           map[string]float64 `json:"cpu_s"`
	OwnFigures    []Figure           `json:"own,omitempty"` // figures of a scale run, which replace all others
	series        series
}

// series holds the values of each second from the start of the load, for plots.
type series struct {
	startTime                         int64
	offered, served                   []float64 // weight of messages due, and value of those delivered, by the second in which they were due
	calls, rejectedCalls, failedCalls []float64
	rejected, failed                  []float64
	latency                           []*hdrhistogram.Histogram // by the second of delivery
	rss, fds                          map[string][][2]float64   // by relay, pairs of the time in seconds and the value in MB or descriptors
	faults                            []faultSpan
	lastByName                        map[string]int // index in faults of the last fault with a name
}

// faultSpan is a span of time in which a fault was active, in seconds from the start of
// the load.
type faultSpan struct {
	name     string
	from, to float64
}

// firstRequest holds what is known of a message from its first request, and whether the
// message was delivered.
type firstRequest struct {
	due   int64
	class int
	done  bool
}

// secondOf returns the second of the load in which a time of the history, in
// microseconds, lies; 0 for a time before the load.
func (s *series) secondOf(timestamp int64) int { return int(max(0, (timestamp-s.startTime)/1e6)) }

// addToSecond adds to the value of one second, and extends the slice up to it.
func addToSecond(values *[]float64, second int, value float64) {
	for len(*values) <= second {
		*values = append(*values, 0)
	}
	(*values)[second] += value
}

// finish computes the figures that need the whole history. latency holds all
// deliveries.
func (s *Stats) finish(firstRequests map[string]*firstRequest, classes []model.Class, latency *hdrhistogram.Histogram) {
	byClass := map[string]float64{}
	for _, request := range firstRequests {
		addToSecond(&s.series.offered, s.series.secondOf(request.due), classes[request.class].Weight)
		byClass[classes[request.class].Name] += classes[request.class].Weight
	}
	for len(s.series.served) < len(s.series.offered) {
		s.series.served = append(s.series.served, 0)
	}
	s.ValueServed = fractionOf(s.series.served, s.series.offered)
	s.WorstWindow = s.ValueServed
	for i := 0; i+windowSeconds <= len(s.series.offered); i++ {
		s.WorstWindow = min(s.WorstWindow, fractionOf(s.series.served[i:i+windowSeconds], s.series.offered[i:i+windowSeconds]))
	}
	worstClass := 1.0
	for name, total := range byClass {
		s.Classes[name] /= total
		worstClass = min(worstClass, s.Classes[name])
	}
	s.Score = scoreServed*s.ValueServed + scoreWorstWindow*s.WorstWindow + scoreWorstClass*worstClass
	s.P50MS, s.P90MS, s.P99MS = float64(latency.ValueAtQuantile(50))/1e3, float64(latency.ValueAtQuantile(90))/1e3, float64(latency.ValueAtQuantile(99))/1e3
	for i := range s.series.faults {
		if s.series.faults[i].to < 0 {
			s.series.faults[i].to = s.Seconds
		}
	}
	slices.SortFunc(s.series.faults, func(a, b faultSpan) int { return int(a.from*1e3 - b.from*1e3) })
}

// fractionOf returns the sum of parts divided by the sum of wholes, or 1 if the latter
// is 0. Missing parts count as 0.
func fractionOf(parts, wholes []float64) float64 {
	partSum, wholeSum := 0.0, 0.0
	for i := range wholes {
		wholeSum += wholes[i]
		if i < len(parts) {
			partSum += parts[i]
		}
	}
	if wholeSum == 0 {
		return 1
	}
	return partSum / wholeSum
}

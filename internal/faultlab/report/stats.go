// Package report presents histories: figures of a run, tables of several, and a page
// with plots that stands alone. It checks nothing.
package report

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/model"
)

const (
	maxLatencyMicros = 60_000_000 // a later delivery counts as this
	windowSeconds    = 10         // of Stats.WorstWindow

	// Weights of the score.
	scoreServed      = 0.4
	scoreWorstWindow = 0.25
	scoreWorstClass  = 0.35
)

// Stats are the figures of one run. Values are fractions of the weight of all
// messages, latencies count from when a message was due.
type Stats struct {
	Seconds       float64            `json:"seconds"`
	Messages      int                `json:"messages"`  // first requests of clients
	Requests      int                `json:"requests"`  // with the clients' retries
	Delivered     int                `json:"delivered"` // first requests of clients that arrived, by any repeat
	Rejected      int                `json:"refused"`   // requests that were rejected or returned
	Failed        int                `json:"given_up"`
	Unanswered    int                `json:"unheard"`
	Calls         int                `json:"calls"`
	RejectedCalls int                `json:"turned_away"` // answered 429 or 503
	FailedCalls   int                `json:"failed"`      // answered 500, unreadably, or not at all
	ValueServed   float64            `json:"served"`      // over the whole run
	WorstWindow   float64            `json:"served_worst_10s"`
	Classes       map[string]float64 `json:"served_by_class"`
	Score         float64            `json:"score"` // see finish
	P50MS         float64            `json:"p50_ms"`
	P90MS         float64            `json:"p90_ms"`
	P99MS         float64            `json:"p99_ms"`
	MaxRSS        map[string]int64   `json:"max_rss_bytes"`
	MaxFDs        map[string]int     `json:"max_fds"`
	CPU           map[string]float64 `json:"cpu_s"`
	Own           []Figure           `json:"own,omitempty"` // of a scale run: in place of all others
	series        series
}

// series are the values of each second from the load's begin.
type series struct {
	startTime                         int64
	offered, served                   []float64 // weight, by the second in which a message was due
	calls, rejectedCalls, failedCalls []float64
	rejected, failed                  []float64
	latency                           []*hdrhistogram.Histogram // by the second of arrival
	rss, fds                          map[string][][2]float64   // seconds and value
	faults                            []faultSpan
	lastByName                        map[string]int // place in faults of the last with a name
}

// shade is a time in which a fault was active, in seconds.
type faultSpan struct {
	name     string
	from, to float64
}

// first is the first request of a message.
type firstRequest struct {
	due   int64
	class int
	done  bool
}

// secondOf is the second in which a moment of the history lies.
func (s *series) secondOf(timestamp int64) int { return int(max(0, (timestamp-s.startTime)/1e6)) }

// add adds to the value of one second.
func addToSecond(values *[]float64, second int, value float64) {
	for len(*values) <= second {
		*values = append(*values, 0)
	}
	(*values)[second] += value
}

// finish makes the figures that need the whole history.
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

// fractionOf is the sum of parts over the sum of wholes; 1 for nothing.
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

// Package report makes of a history what a person reads: figures, a table
// beside another, and a page with plots that stands alone. It judges nothing.
package report

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// Stats are the figures of one run. Shares are of worth asked for, latencies
// are counted from when a message was due.
type Stats struct {
	Seconds       float64            `json:"seconds"`
	Messages      int                `json:"messages"`  // first tries
	Requests      int                `json:"requests"`  // with the clients' repeats
	Delivered     int                `json:"delivered"` // first tries that arrived, by any repeat
	Rejected      int                `json:"refused"`   // requests, at the door or by a notice
	Failed        int                `json:"given_up"`
	Unanswered    int                `json:"unheard"`
	Calls         int                `json:"calls"`
	RejectedCalls int                `json:"turned_away"` // calls answered 429 or 503
	FailedCalls   int                `json:"failed"`      // calls answered 500, unreadable, or not at all
	ValueServed   float64            `json:"served"`      // share of worth, whole run
	WorstWindow   float64            `json:"served_worst_10s"`
	Classes       map[string]float64 `json:"served_by_class"`
	Score         float64            `json:"score"` // 0.4 whole, 0.25 worst 10 s, 0.35 worst class
	P50MS         float64            `json:"p50_ms"`
	P90MS         float64            `json:"p90_ms"`
	P99MS         float64            `json:"p99_ms"`
	MaxRSS        map[string]int64   `json:"max_rss_bytes"`
	MaxFDs        map[string]int     `json:"max_fds"`
	CPU           map[string]float64 `json:"cpu_s"`
	Own           []Figure           `json:"own,omitempty"` // of a kind of run that has figures of its own
	series        series
}

// series are the values a second from the load's begin.
type series struct {
	from                              int64
	offered, served                   []float64 // worth, by the second in which a message was due
	calls, rejectedCalls, failedCalls []float64
	rejected, failed                  []float64
	latency                           []*hdrhistogram.Histogram // by the second of arrival
	rss, fds                          map[string][][2]float64   // seconds and value
	faults                            []shade
	open                              map[string]int // place in faults of the last with a name
}

type shade struct {
	name     string
	from, to float64
}

type first struct {
	due   int64
	class int
	done  bool
}

// Collect makes the figures of a history file.
func Collect(path string) (*Stats, error) {
	s := &Stats{Classes: map[string]float64{}, MaxRSS: map[string]int64{}, MaxFDs: map[string]int{}, CPU: map[string]float64{},
		series: series{from: -1, rss: map[string][][2]float64{}, fds: map[string][][2]float64{}, open: map[string]int{}}}
	firsts, of := map[string]*first{}, map[string]string{}
	calls, answers := map[int64]history.Event{}, map[int64]history.Event{}
	all := hdrhistogram.New(1, 60_000_000, 3)
	classes := model.Classes()
	names := map[string]int{}
	for i, c := range classes {
		names[c.Name] = i
	}
	ended := map[int64]bool{}
	cpu := map[int]float64{}
	err := history.Read(path, func(e history.Event) {
		if e.Kind == history.Run {
			s.series.from = e.Time
		}
		if s.series.from < 0 {
			return
		}
		at := float64(e.Time-s.series.from) / 1e6
		sec := int(max(0, at))
		s.Seconds = max(s.Seconds, at)
		switch e.Kind {
		case history.MessageSubmitted:
			s.Requests++
			of[e.Message] = e.FirstMessage
			if firsts[e.FirstMessage] == nil {
				s.Messages++
				firsts[e.FirstMessage] = &first{due: e.DueAt, class: names[e.Class]}
			}
		case history.MessageRejected:
			s.Rejected++
			add(&s.series.rejected, sec, 1)
		case history.SubmitUnanswered:
			s.Unanswered++
		case history.Notice:
			if e.Text == "handed_back" {
				s.Rejected++
				add(&s.series.rejected, sec, 1)
			} else {
				s.Failed++
				add(&s.series.failed, sec, 1)
			}
		case history.CallReceived:
			s.Calls++
			calls[e.Call] = e
			add(&s.series.calls, sec, 1)
		case history.ResponseSent:
			answers[e.Call] = e
		case history.CallAborted, history.CallBroken:
			if !ended[e.Call] && calls[e.Call].Kind != "" {
				ended[e.Call] = true
				s.FailedCalls++
				add(&s.series.failedCalls, sec, 1)
			}
		case history.ResponseReceived:
			c, a := calls[e.Call], answers[e.Call]
			if ended[e.Call] { // it left as soon as it had its answer
				s.FailedCalls--
				add(&s.series.failedCalls, sec, -1)
			}
			delete(calls, e.Call)
			delete(answers, e.Call)
			switch a.Status {
			case 200:
				for i, id := range c.Messages {
					f := firsts[of[id]]
					if f == nil || f.done || len(a.States) > 0 && (i >= len(a.States) || a.States[i] != "accepted") {
						continue
					}
					f.done = true
					s.Delivered++
					took := e.Time - f.due
					all.RecordValue(min(max(1, took), 60_000_000))
					for len(s.series.latency) <= sec {
						s.series.latency = append(s.series.latency, nil)
					}
					if s.series.latency[sec] == nil {
						s.series.latency[sec] = hdrhistogram.New(1, 60_000_000, 2)
					}
					s.series.latency[sec].RecordValue(min(max(1, took), 60_000_000))
					add(&s.series.served, int(max(0, (f.due-s.series.from)/1e6)), classes[f.class].Value(time.Duration(took)*time.Microsecond))
					s.Classes[classes[f.class].Name] += classes[f.class].Value(time.Duration(took) * time.Microsecond)
				}
			case 429, 503:
				s.RejectedCalls++
				add(&s.series.rejectedCalls, sec, 1)
			case 0, 500:
				s.FailedCalls++
				add(&s.series.failedCalls, sec, 1)
			}
		case history.UsageSampled:
			s.MaxRSS[e.Relay] = max(s.MaxRSS[e.Relay], e.RSS)
			s.MaxFDs[e.Relay] = max(s.MaxFDs[e.Relay], e.FDs)
			s.CPU[e.Relay] += float64(e.CPU)/1e6 - cpu[e.PID]
			cpu[e.PID] = float64(e.CPU) / 1e6
			s.series.rss[e.Relay] = append(s.series.rss[e.Relay], [2]float64{at, float64(e.RSS) / (1 << 20)})
			s.series.fds[e.Relay] = append(s.series.fds[e.Relay], [2]float64{at, float64(e.FDs)})
		case history.Fault:
			if e.Active {
				s.series.open[e.Text] = len(s.series.faults)
				s.series.faults = append(s.series.faults, shade{e.Text, at, -1})
			} else if i, ok := s.series.open[e.Text]; ok {
				s.series.faults[i].to = at
			}
		}
	})
	if err != nil {
		return nil, err
	}
	s.finish(firsts, classes, all)
	return s, nil
}

func add(v *[]float64, at int, x float64) {
	for len(*v) <= at {
		*v = append(*v, 0)
	}
	(*v)[at] += x
}

func (s *Stats) finish(firsts map[string]*first, classes []model.Class, all *hdrhistogram.Histogram) {
	byClass := map[string]float64{}
	for _, f := range firsts {
		add(&s.series.offered, int(max(0, (f.due-s.series.from)/1e6)), classes[f.class].Weight)
		byClass[classes[f.class].Name] += classes[f.class].Weight
	}
	for len(s.series.served) < len(s.series.offered) {
		s.series.served = append(s.series.served, 0)
	}
	s.ValueServed = fractionOf(s.series.served, s.series.offered)
	s.WorstWindow = s.ValueServed
	for i := 0; i+10 <= len(s.series.offered); i++ {
		s.WorstWindow = min(s.WorstWindow, fractionOf(s.series.served[i:i+10], s.series.offered[i:i+10]))
	}
	worstClass := 1.0
	for name, asked := range byClass {
		s.Classes[name] /= asked
		worstClass = min(worstClass, s.Classes[name])
	}
	s.Score = 0.4*s.ValueServed + 0.25*s.WorstWindow + 0.35*worstClass
	s.P50MS, s.P90MS, s.P99MS = float64(all.ValueAtQuantile(50))/1e3, float64(all.ValueAtQuantile(90))/1e3, float64(all.ValueAtQuantile(99))/1e3
	for i := range s.series.faults {
		if s.series.faults[i].to < 0 {
			s.series.faults[i].to = s.Seconds
		}
	}
	slices.SortFunc(s.series.faults, func(a, b shade) int { return int(a.from*1e3 - b.from*1e3) })
}

func fractionOf(parts, wholes []float64) float64 {
	p, o := 0.0, 0.0
	for i := range wholes {
		o += wholes[i]
		if i < len(parts) {
			p += parts[i]
		}
	}
	if o == 0 {
		return 1
	}
	return p / o
}

// Row is one figure with the values of several runs.
type Row struct {
	Name   string
	Unit   string
	Values []float64
}

// Figures are those that are set side by side.
func Figures(runs []*Stats) []Row {
	if len(runs) > 0 && len(runs[0].Own) > 0 {
		return ownFigures(runs)
	}
	rows := []Row{}
	for _, f := range []struct {
		name, unit string
		of         func(*Stats) float64
	}{
		{"score", "", func(s *Stats) float64 { return s.Score }},
		{"worth served, whole run", "", func(s *Stats) float64 { return s.ValueServed }},
		{"worth served, worst 10 s", "", func(s *Stats) float64 { return s.WorstWindow }},
		{"latency p50", "ms", func(s *Stats) float64 { return s.P50MS }},
		{"latency p90", "ms", func(s *Stats) float64 { return s.P90MS }},
		{"latency p99", "ms", func(s *Stats) float64 { return s.P99MS }},
		{"calls a message", "", func(s *Stats) float64 { return ratio(s.Calls, s.Messages) }},
		{"calls turned away, of all", "", func(s *Stats) float64 { return ratio(s.RejectedCalls, s.Calls) }},
		{"calls failed, of all", "", func(s *Stats) float64 { return ratio(s.FailedCalls, s.Calls) }},
		{"requests refused, of all", "", func(s *Stats) float64 { return ratio(s.Rejected, s.Requests) }},
		{"messages given up, of all", "", func(s *Stats) float64 { return ratio(s.Failed, s.Messages) }},
		{"memory, largest relay", "MB", func(s *Stats) float64 { return float64(maxOf(s.MaxRSS)) / (1 << 20) }},
		{"descriptors, largest relay", "", func(s *Stats) float64 { return float64(maxOf(s.MaxFDs)) }},
		{"CPU, all relays", "s", func(s *Stats) float64 {
			all := 0.0
			for _, c := range s.CPU {
				all += c
			}
			return all
		}},
	} {
		r := Row{Name: f.name, Unit: f.unit}
		for _, s := range runs {
			r.Values = append(r.Values, f.of(s))
		}
		rows = append(rows, r)
	}
	return rows
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func maxOf[T int | int64](m map[string]T) (most T) {
	for _, v := range m {
		most = max(most, v)
	}
	return most
}

// Mean is the mean of a row's values, with the lowest and the highest.
func (r Row) Mean() (mean, low, high float64) {
	if len(r.Values) == 0 {
		return 0, 0, 0
	}
	for _, v := range r.Values {
		mean += v
	}
	return mean / float64(len(r.Values)), slices.Min(r.Values), slices.Max(r.Values)
}

// Figure is one that a kind of run has in place of the usual ones.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// ownFigures are the rows of runs that have figures of their own: a figure that a
// run lacks has no value in its row.
func ownFigures(runs []*Stats) (rows []Row) {
	place := map[string]int{}
	for _, s := range runs {
		for _, f := range s.Own {
			if _, known := place[f.Name]; !known {
				place[f.Name] = len(rows)
				rows = append(rows, Row{Name: f.Name, Unit: f.Unit})
			}
			row := &rows[place[f.Name]]
			row.Values = append(row.Values, f.Value)
		}
	}
	return rows
}

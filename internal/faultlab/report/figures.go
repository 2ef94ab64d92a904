package report

import "slices"

// Row is one figure with its values from several runs.
type Row struct {
	Name   string
	Unit   string
	Values []float64
}

// Figures returns the figures with which runs are compared, each with its values from
// all runs. If the first run has figures of its own, these are compared instead.
func Figures(runs []*Stats) []Row {
	if len(runs) > 0 && len(runs[0].OwnFigures) > 0 {
		return ownFigures(runs)
	}
	rows := []Row{}
	for _, f := range []struct {
		name, unit string
		value      func(*Stats) float64
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
			r.Values = append(r.Values, f.value(s))
		}
		rows = append(rows, r)
	}
	return rows
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func maxOf[T int | int64](m map[string]T) (largest T) {
	for _, v := range m {
		largest = max(largest, v)
	}
	return largest
}

// Mean returns the mean, the lowest and the highest of a row's values.
func (r Row) Mean() (mean, low, high float64) {
	if len(r.Values) == 0 {
		return 0, 0, 0
	}
	for _, v := range r.Values {
		mean += v
	}
	return mean / float64(len(r.Values)), slices.Min(r.Values), slices.Max(r.Values)
}

// Figure is a figure of a run that does not have the usual ones, such as a scale run.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// ownFigures returns the rows of runs that have figures of their own. A run that lacks
// a figure adds no value to its row.
func ownFigures(runs []*Stats) (rows []Row) {
	rowIndex := map[string]int{}
	for _, s := range runs {
		for _, f := range s.OwnFigures {
			if _, known := rowIndex[f.Name]; !known {
				rowIndex[f.Name] = len(rows)
				rows = append(rows, Row{Name: f.Name, Unit: f.Unit})
			}
			row := &rows[rowIndex[f.Name]]
			row.Values = append(row.Values, f.Value)
		}
	}
	return rows
}

package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Table writes a row for each measurement: its slope and the slope's spread, the values
// predicted for the target, and the budget. A line for each failed job follows.
func (r *Result) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "role\tjob\tquantity\tunit\tsizes\tsmallest..largest value\tslope (plays)\tbase\texponent (top)\ttarget\tslope x target\twith base\tpower law\tbudget\tratio")
	for i := range r.Capacity {
		m := &r.Capacity[i]
		n := len(m.Sizes) - 1
		budget, ratio := "-", "-"
		if m.Budget > 0 {
			budget, ratio = fmt.Sprintf("%.4g", m.Budget), fmt.Sprintf("%.3g", m.Ratio)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.0f..%.0f %s\t%.4g..%.4g\t%.4g (%.4g..%.4g)\t%.4g\t%.2f (%.2f)\t%.0f\t%.4g\t%.4g\t%.4g\t%s\t%s\n",
			m.Role, m.Job, m.Name, m.Unit, m.Sizes[0], m.Sizes[n], m.SizeUnit, stat.Mean(m.Values[0], nil), stat.Mean(m.Values[n], nil),
			m.Slope, m.SlopeMin, m.SlopeMax, m.Intercept, m.Exponent, m.TopExponent, m.Target, m.AtTarget, m.WithBase, m.ByPower, budget, ratio)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	for _, note := range r.Notes {
		fmt.Fprintln(w, "NOT MEASURED:", note)
	}
	return nil
}

// Save writes the result to a file as JSON. It replaces an existing file only when the new
// one is complete.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return nil
}

// Load reads a file written by Save. A file without measurements is an error.
func Load(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", path, err)
	}
	if len(r.Capacity) == 0 {
		return nil, fmt.Errorf("capacity: %s: no measurement", path)
	}
	return r, nil
}

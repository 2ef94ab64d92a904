package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// line is one curve of a plot.
type line struct {
	name string
	xy   plotter.XYs
}

// chart is the contents of one plot over time.
type chart struct {
	title, unit string
	lines       []line
}

// charts returns the plots over time of a run.
func (s *Stats) charts() []chart {
	v := &s.series
	return []chart{
		{"Worth served, by when it was due", "share of worth asked for", []line{s.servedLine()}},
		{"Latency from when due, by when it arrived", "ms", []line{s.latencyLine("p50", 50), s.latencyLine("p99", 99)}},
		{"Calls to endpoints", "a second", []line{perSecond("calls", v.calls), perSecond("turned away", v.rejectedCalls), perSecond("failed", v.failedCalls)}},
		{"Refusals", "a second", []line{perSecond("refused", v.rejected), perSecond("given up", v.failed)}},
		{"Memory of each relay", "MB", processLines(v.rss)},
		{"Descriptors of each relay", "", processLines(v.fds)},
	}
}

// secondMiddle returns the position on the time axis at which the value of a second is
// drawn.
func secondMiddle(second int) float64 { return float64(second) + 0.5 }

// servedLine returns, for each second, the value that was served as a fraction of the
// weight of the messages that were due.
func (s *Stats) servedLine() line {
	l := line{name: "served"}
	for i, offered := range s.series.offered {
		if offered > 0 {
			l.xy = append(l.xy, plotter.XY{X: secondMiddle(i), Y: s.series.served[i] / offered})
		}
	}
	return l
}

// latencyLine returns a quantile of the latency in each second, in milliseconds.
func (s *Stats) latencyLine(name string, quantile float64) line {
	l := line{name: name}
	for i, histogram := range s.series.latency {
		if histogram != nil {
			l.xy = append(l.xy, plotter.XY{X: secondMiddle(i), Y: float64(histogram.ValueAtQuantile(quantile)) / 1e3})
		}
	}
	return l
}

// perSecond returns a line with one value for each second.
func perSecond(name string, values []float64) line {
	l := line{name: name}
	for i, value := range values {
		l.xy = append(l.xy, plotter.XY{X: secondMiddle(i), Y: value})
	}
	return l
}

// svg draws one plot, with the spans of the faults shaded behind it.
func (s *Stats) svg(c chart) (template.HTML, error) {
	title, lines := c.title, c.lines
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", c.unit
	top := 0.0
	for _, l := range lines {
		for _, xy := range l.xy {
			top = max(top, xy.Y)
		}
	}
	if top == 0 {
		top = 1
	}
	for _, f := range s.series.faults {
		box, err := plotter.NewPolygon(plotter.XYs{{X: f.from, Y: 0}, {X: max(f.to, f.from+0.1), Y: 0}, {X: max(f.to, f.from+0.1), Y: top * 1.05}, {X: f.from, Y: top * 1.05}})
		if err != nil {
			return "", fmt.Errorf("report: %s: %w", title, err)
		}
		box.Color, box.LineStyle.Width = color.NRGBA{220, 120, 60, 40}, 0
		p.Add(box)
	}
	for i, l := range lines {
		if len(l.xy) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.xy)
		if err != nil {
			return "", fmt.Errorf("report: %s: %w", title, err)
		}
		curve.Color, curve.Width = plotutil.Color(i), vg.Points(1.2)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Legend.Top = true
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, max(1, s.Seconds), 0, top*1.05
	return render(p)
}

// render returns a plot as SVG that can be embedded in an HTML page.
func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	text := b.String()
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil // without the XML declaration before <svg
}

// maxLines limits the lines of a plot to a number that can be told apart.
const maxLines = 12

// processLines returns a line for each process, in the order of their names, but at
// most maxLines.
func processLines(valuesByProcess map[string][][2]float64) (lines []line) {
	for name, values := range valuesByProcess {
		l := line{name: name}
		for _, xy := range values {
			l.xy = append(l.xy, plotter.XY{X: xy[0], Y: xy[1]})
		}
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(a, b line) int { return strings.Compare(a.name, b.name) })
	return lines[:min(len(lines), maxLines)]
}

// Sweep draws one figure over the values of a scenario key and writes it to path as
// SVG. Each run is a point; a line joins the means.
func Sweep(path, key, figure string, values []string, runs [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = figure+" by "+key, key, figure
	var points, means plotter.XYs
	for i, v := range runs {
		mean, _, _ := Row{Values: v}.Mean()
		means = append(means, plotter.XY{X: float64(i), Y: mean})
		for _, y := range v {
			points = append(points, plotter.XY{X: float64(i), Y: y})
		}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	mean, err := plotter.NewLine(means)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	p.Add(mean, dots)
	p.NominalX(values...)
	svg, err := render(p)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(svg), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

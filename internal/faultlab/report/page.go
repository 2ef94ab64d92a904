package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"plovershore/internal/faultlab/checker"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// line is one of a plot's curves.
type line struct {
	name string
	xy   plotter.XYs
}

func perSecond(name string, v []float64, scale float64) line {
	l := line{name: name}
	for i, x := range v {
		l.xy = append(l.xy, plotter.XY{X: float64(i) + 0.5, Y: x * scale})
	}
	return l
}

// svg draws one plot with the faults shaded behind it.
func (s *Stats) svg(title, unit string, lines ...line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
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
		c, err := plotter.NewLine(l.xy)
		if err != nil {
			return "", fmt.Errorf("report: %s: %w", title, err)
		}
		c.Color, c.Width = plotutil.Color(i), vg.Points(1.2)
		p.Add(c)
		p.Legend.Add(l.name, c)
	}
	p.Legend.Top = true
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, max(1, s.Seconds), 0, top*1.05
	return render(p)
}

// render gives a plot as SVG that can stand within a page.
func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	text := b.String()
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil // without the XML header
}

// Page is what report.html shows.
type Page struct {
	Title   string
	Seed    uint64
	Late    string
	Verdict checker.Verdict
	Plan    []string
	Stats   *Stats
	Rows    []Row
	Plots   []template.HTML
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"mean": func(r Row) string { m, _, _ := r.Mean(); return fmt.Sprintf("%.4g", m) },
}).Parse(`<!doctype html><meta charset="utf-8"><title>{{.Title}}, seed {{.Seed}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse}td,th{padding:.15em .8em .15em 0;text-align:left;border-bottom:1px solid #ddd}
.kept{color:#176b2c}.broken{color:#a11}code{background:#f3f3f3;padding:0 .2em}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}, seed {{.Seed}}</h1>
{{if .Verdict.Counts}}<p class="broken"><b>Broken:</b> {{range $k, $n := .Verdict.Counts}}{{$k}} ({{$n}}) {{end}}</p>
<ul>{{range .Verdict.Broken}}<li>{{.String}}</li>{{end}}</ul>{{else}}<p class="kept"><b>Every promise was kept.</b></p>{{end}}
<p>The lab's own lateness, from due to done: {{.Late}}.</p>
<h2>Figures</h2><table>{{range .Rows}}<tr><td>{{.Name}}<td>{{mean .}} {{.Unit}}{{end}}</table>
<h2>Over time</h2><p>Shaded: faults, as the schedule below has them.</p>
{{range .Plots}}{{.}}{{end}}
<h2>Schedule</h2>{{if .Plan}}<ol>{{range .Plan}}<li><code>{{.}}</code>{{end}}</ol>{{else}}<p>No faults.</p>{{end}}
<h2>Judged</h2><table><tr><th>promise<th>looked at<th>broken{{range $k, $n := .Verdict.Judged}}<tr><td>{{$k}}<td>{{$n}}<td>{{index $.Verdict.Counts $k}}{{end}}</table>
{{if .Verdict.Excused}}<p>Not held against a relay: {{range $k, $n := .Verdict.Excused}}{{$k}}: {{$n}}; {{end}}</p>{{end}}
`))

// Write makes report.html in a folder.
func Write(folder string, p Page) error {
	s := p.Stats
	p.Rows = Figures([]*Stats{s})
	var p50, p99 line
	p50.name, p99.name = "p50", "p99"
	for i, h := range s.series.latency {
		if h != nil {
			p50.xy = append(p50.xy, plotter.XY{X: float64(i) + 0.5, Y: float64(h.ValueAtQuantile(50)) / 1e3})
			p99.xy = append(p99.xy, plotter.XY{X: float64(i) + 0.5, Y: float64(h.ValueAtQuantile(99)) / 1e3})
		}
	}
	share := line{name: "served"}
	for i, asked := range s.series.offered {
		if asked > 0 {
			share.xy = append(share.xy, plotter.XY{X: float64(i) + 0.5, Y: s.series.served[i] / asked})
		}
	}
	for _, x := range []struct {
		title, unit string
		lines       []line
	}{
		{"Worth served, by when it was due", "share of worth asked for", []line{share}},
		{"Latency from when due, by when it arrived", "ms", []line{p50, p99}},
		{"Calls to endpoints", "a second", []line{perSecond("calls", s.series.calls, 1), perSecond("turned away", s.series.rejectedCalls, 1), perSecond("failed", s.series.failedCalls, 1)}},
		{"Refusals", "a second", []line{perSecond("refused", s.series.rejected, 1), perSecond("given up", s.series.failed, 1)}},
		{"Memory of each relay", "MB", processes(s.series.rss)},
		{"Descriptors of each relay", "", processes(s.series.fds)},
	} {
		svg, err := s.svg(x.title, x.unit, x.lines...)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	var b bytes.Buffer
	if err := page.Execute(&b, p); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.html"), b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func processes(of map[string][][2]float64) (lines []line) {
	for name, v := range of {
		l := line{name: name}
		for _, xy := range v {
			l.xy = append(l.xy, plotter.XY{X: xy[0], Y: xy[1]})
		}
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(a, b line) int { return strings.Compare(a.name, b.name) })
	if len(lines) > 12 { // more cannot be told apart
		lines = lines[:12]
	}
	return lines
}

// Sweep draws one figure over the values of a key, with each run as a point.
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

package report

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"plovershore/internal/faultlab/checker"
)

// Page holds what report.html shows. Write sets Rows and Plots.
type Page struct {
	Title   string
	Seed    uint64
	Late    string // the lab's own lateness, as text
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
<ul>{{range .Verdict.Violations}}<li>{{.String}}</li>{{end}}</ul>{{else}}<p class="kept"><b>Every promise was kept.</b></p>{{end}}
<p>The lab's own lateness, from due to done: {{.Late}}.</p>
<h2>Figures</h2><table>{{range .Rows}}<tr><td>{{.Name}}<td>{{mean .}} {{.Unit}}{{end}}</table>
<h2>Over time</h2><p>Shaded: faults, as the schedule below has them.</p>
{{range .Plots}}{{.}}{{end}}
<h2>Schedule</h2>{{if .Plan}}<ol>{{range .Plan}}<li><code>{{.}}</code>{{end}}</ol>{{else}}<p>No faults.</p>{{end}}
<h2>Judged</h2><table><tr><th>promise<th>looked at<th>broken{{range $k, $n := .Verdict.Checked}}<tr><td>{{$k}}<td>{{$n}}<td>{{index $.Verdict.Counts $k}}{{end}}</table>
{{if .Verdict.Excused}}<p>Not held against a relay: {{range $k, $n := .Verdict.Excused}}{{$k}}: {{$n}}; {{end}}</p>{{end}}
`))

// Write writes report.html to a folder.
func Write(folder string, p Page) error {
	p.Rows = Figures([]*Stats{p.Stats})
	for _, chart := range p.Stats.charts() {
		svg, err := p.Stats.svg(chart)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	var text bytes.Buffer
	if err := page.Execute(&text, p); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.html"), text.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

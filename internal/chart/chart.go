// Package chart renders the report on burn rates as one HTML page that loads no other
// resources.
//
// # Usage
//
//	page, err := chart.Page(reports, answered, daemons)
package chart

import (
	"bytes"
	"fmt"
	"html/template"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/window"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

// minuteTicks are the ticks of the x axis, which covers the last hour.
var minuteTicks = []plot.Tick{
	{Value: -60, Label: "60"},
	{Value: -45, Label: "45"},
	{Value: -30, Label: "30"},
	{Value: -15, Label: "15"},
	{Value: 0, Label: "0"},
}

// pageData is the data of the page template.
type pageData struct {
	Answered, Daemons int
	Services          []serviceData
}

// serviceData is the report of one service and its plot as SVG.
type serviceData struct {
	burn.ServiceReport
	Plot template.HTML
}

var pageTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em;max-width:60em}
table{border-collapse:collapse;margin:.5em 0}
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}
.page{color:#a00000}.ticket{color:#8a5a00}.quiet{color:#006020}
</style></head><body>
<h1>Service-level burn</h1>
<p>Counts of {{.Answered}} of {{.Daemons}} daemons. A burn rate of 1 spends the error budget in exactly 30 days.</p>
{{range .Services}}
<h2>{{.Service}} <span class="{{.Alarm}}">{{.Alarm}}</span></h2>
<table><tr><th>window</th><th>good</th><th>bad</th><th>burn rate</th></tr>
{{range .Windows}}<tr><td>{{.Span}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .Rate}}</td></tr>{{end}}
</table>
{{if .Accounts}}<table><tr><th>client account</th><th>bad</th><th>share</th></tr>
{{range .Accounts}}<tr><td>{{if .Name}}{{.Name}}{{else}}(none){{end}}</td><td>{{.Bad}}</td><td>{{printf "%.0f%%" .Percent}}</td></tr>{{end}}
</table>{{end}}
{{if .Targets}}<table><tr><th>target</th><th>bad</th><th>share</th></tr>
{{range .Targets}}<tr><td>{{if .Name}}{{.Name}}{{else}}(none){{end}}</td><td>{{.Bad}}</td><td>{{printf "%.0f%%" .Percent}}</td></tr>{{end}}
</table>{{end}}
{{.Plot}}
{{else}}<p>No service has had a request yet.</p>{{end}}
</body></html>
`))

// Page returns the reports as HTML. The page states how many of the daemons answered with
// their counts.
func Page(reports []burn.ServiceReport, answered, daemons int) ([]byte, error) {
	data := pageData{Answered: answered, Daemons: daemons}
	for _, r := range reports {
		svg, err := renderPlot(r)
		if err != nil {
			return nil, errorx.Decorate(err, "plot burn rate of %s", r.Service)
		}
		data.Services = append(data.Services, serviceData{ServiceReport: r, Plot: template.HTML(svg)})
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, data); err != nil {
		return nil, errorx.Decorate(err, "execute template of the burn page")
	}
	return b.Bytes(), nil
}

// renderPlot returns an SVG element with the burn rate of each minute of the last hour.
func renderPlot(r burn.ServiceReport) (string, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: burn rate by minute", r.Service)
	p.X.Label.Text = "minutes ago"
	p.X.Tick.Marker = plot.ConstantTicks(minuteTicks)
	line, err := plotter.NewLine(burnRates(r.Series, float64(r.Objective)))
	if err != nil {
		return "", err
	}
	p.Add(plotter.NewGrid(), line)
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // an SVG inside HTML has no XML declaration
	}
	return string(svg), nil
}

// burnRates returns the burn rate of each count over the minutes before now, which are 0 or
// negative. The objective is in percent and must be below 100.
func burnRates(series []window.Count, objective float64) plotter.XYs {
	budget := (100 - objective) / 100
	points := make(plotter.XYs, 0, len(series))
	for i, c := range series {
		points = append(points, plotter.XY{X: float64(i - len(series) + 1), Y: c.BadShare() / budget})
	}
	return points
}

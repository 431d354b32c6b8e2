package cftrial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Summary is a group's figures.
type Summary struct {
	Group          string  `json:"group"`
	Steps          int     `json:"steps"`
	StepsCompleted int     `json:"steps_whole"`
	StepP50        float64 `json:"step_p50_ms"`
	StepP90        float64 `json:"step_p90_ms"`
	MeanIdle       float64 `json:"trainer_idle_mean_ms"`
	MeanStaleness  float64 `json:"staleness_mean_versions"`
	MaxStaleness   int     `json:"staleness_most_versions"`
	Calls          int     `json:"requests"`
	CallsOK        int     `json:"requests_ok"`
	CallP50        float64 `json:"request_p50_ms"`
	CallP99        float64 `json:"request_p99_ms"`
	StoreCalls     int     `json:"store_calls"`
	WeightLoads    int     `json:"weight_loads"`
	ItemRuns       int     `json:"item_runs"`
	Violations     int     `json:"broken_rules"`
}

// Summaries returns the figures of each group.
func (r *Report) Summaries() []Summary {
	var out []Summary
	for _, g := range r.Groups {
		s := Summary{Group: g.Name, Steps: len(g.Steps), Calls: len(g.Calls), WeightLoads: g.WeightLoads, ItemRuns: g.ItemRuns}
		var took, calls []float64
		for _, st := range g.Steps {
			took = append(took, st.TookMs)
			s.MeanIdle += st.IdleMs / float64(len(g.Steps))
			s.MeanStaleness += st.MeanStaleness / float64(len(g.Steps))
			s.MaxStaleness = max(s.MaxStaleness, st.MaxStaleness)
			s.Violations += len(st.Faults)
			if st.Completed {
				s.StepsCompleted++
			}
		}
		for _, c := range g.Calls {
			calls = append(calls, c.TookMs)
			if c.Status/100 == 2 {
				s.CallsOK++
			}
		}
		for _, n := range g.StoreCalls {
			s.StoreCalls += n
		}
		s.StepP50, s.StepP90 = quantile(took, 0.5), quantile(took, 0.9)
		s.CallP50, s.CallP99 = quantile(calls, 0.5), quantile(calls, 0.99)
		out = append(out, s)
	}
	return out
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// WriteJSON writes the whole report.
func (r *Report) WriteJSON(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(path, raw, 0o600), "write report")
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Plan.Name}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em .8em;text-align:right}th:first-child,td:first-child{text-align:left}</style>
<h1>{{.Plan.Name}}</h1>
<p>{{.Plan.Seconds}} s a seed, seeds {{.Plan.Seeds}}, {{.Plan.Site.Engines}} engines of {{.Plan.Site.Slots}} slots,
steps of {{.Plan.Step.Groups}} x {{.Plan.Step.GroupSize}} items, {{len .Plan.Faults}} faults.</p>
<table><tr><th></th>{{range .Rows}}<th>{{.Group}}</th>{{end}}</tr>
{{range .Table}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</html>
`))

type (
	row struct {
		Name   string
		Values []string
	}

	figure struct {
		Title string
		SVG   template.HTML
	}
)

// WriteHTML writes a page with the figures side by side and the plots.
func (r *Report) WriteHTML(path string) error {
	var plots []figure
	for _, p := range []struct {
		title, axis string
		values      func(GroupReport) []float64
	}{
		{"Time of a step, from its submission to its wanted groups", "ms", stepTimes},
		{"Time of a single request", "ms", callTimes},
		{"Staleness of a step's samples when read, mean", "versions", staleness},
	} {
		svg, err := r.cdf(p.axis, p.values)
		if err != nil {
			return err
		}
		plots = append(plots, figure{p.title, svg})
	}
	rows := r.Summaries()
	var buf bytes.Buffer
	err := page.Execute(&buf, struct {
		Plan  Plan
		Rows  []Summary
		Table []row
		Plots []figure
	}{r.Plan, rows, table(rows), plots})
	if err != nil {
		return eris.Wrap(err, "fill report")
	}
	return eris.Wrap(os.WriteFile(path, buf.Bytes(), 0o600), "write report")
}

func table(rows []Summary) []row {
	lines := []struct {
		name  string
		value func(Summary) string
	}{
		{"steps, whole in time", func(s Summary) string { return fmt.Sprintf("%d, %d", s.Steps, s.StepsCompleted) }},
		{"step p50 / p90, ms", func(s Summary) string { return fmt.Sprintf("%.0f / %.0f", s.StepP50, s.StepP90) }},
		{"trainer idle a step, ms", func(s Summary) string { return fmt.Sprintf("%.0f", s.MeanIdle) }},
		{"staleness mean / most, versions", func(s Summary) string { return fmt.Sprintf("%.2f / %d", s.MeanStaleness, s.MaxStaleness) }},
		{"requests, answered", func(s Summary) string { return fmt.Sprintf("%d, %d", s.Calls, s.CallsOK) }},
		{"request p50 / p99, ms", func(s Summary) string { return fmt.Sprintf("%.0f / %.0f", s.CallP50, s.CallP99) }},
		{"calls to the store", func(s Summary) string { return fmt.Sprint(s.StoreCalls) }},
		{"loads of weights", func(s Summary) string { return fmt.Sprint(s.WeightLoads) }},
		{"item runs", func(s Summary) string { return fmt.Sprint(s.ItemRuns) }},
		{"broken rules", func(s Summary) string { return fmt.Sprint(s.Violations) }},
	}
	var out []row
	for _, l := range lines {
		r := row{Name: l.name}
		for _, s := range rows {
			r.Values = append(r.Values, l.value(s))
		}
		out = append(out, r)
	}
	return out
}

func stepTimes(g GroupReport) (out []float64) {
	for _, s := range g.Steps {
		out = append(out, s.TookMs)
	}
	return out
}

func callTimes(g GroupReport) (out []float64) {
	for _, c := range g.Calls {
		out = append(out, c.TookMs)
	}
	return out
}

func staleness(g GroupReport) (out []float64) {
	for _, s := range g.Steps {
		out = append(out, s.MeanStaleness)
	}
	return out
}

// cdf plots the part of the values up to x, a line a group.
func (r *Report) cdf(axis string, values func(GroupReport) []float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = axis, "part"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, g := range r.Groups {
		sorted := slices.Sorted(slices.Values(values(g)))
		if len(sorted) == 0 {
			continue
		}
		pts := make(plotter.XYs, len(sorted))
		for i, v := range sorted {
			pts[i] = plotter.XY{X: v, Y: float64(i+1) / float64(len(sorted))}
		}
		lines = append(lines, g.Name, pts)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", eris.Wrap(err, "plot")
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", eris.Wrap(err, "write plot")
	}
	// The drawing is the library's own output, not anybody's input.
	return template.HTML(buf.String()), nil
}

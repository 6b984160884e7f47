package explain

import (
	"html/template"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// Sizes of the timeline in SVG units.
const (
	timelineWidth = 900
	labelWidth    = 140
	laneHeight    = 34
	axisHeight    = 24
)

// HTML returns the page as one HTML document with an inline SVG timeline. The
// document refers to no other resources.
func HTML(page Page) (string, error) {
	var text strings.Builder
	err := pageTemplate.Execute(&text, struct {
		Page
		Timeline timeline
	}{Page: page, Timeline: newTimeline(page.Did)})
	return text.String(), err
}

// timeline is the layout of the steps in SVG units, with one lane for each host.
// The template uses its fields and those of lane and mark by name.
type timeline struct {
	Width, Height, LabelWidth, AxisY int
	Lanes                            []lane
	Marks                            []mark
	End                              string
}

type lane struct {
	Host model.HostID
	Y    int
}

type mark struct {
	X, Y  int
	Title string
}

func newTimeline(steps []Step) timeline {
	drawing := timeline{Width: timelineWidth, LabelWidth: labelWidth}
	var total time.Duration
	for _, step := range steps {
		total = max(total, step.Offset)
	}
	rows := make(map[model.HostID]int)
	for _, step := range steps {
		row, found := rows[step.Host]
		if !found {
			row = len(rows)
			rows[step.Host] = row
			drawing.Lanes = append(drawing.Lanes, lane{Host: step.Host, Y: laneY(row)})
		}
		drawing.Marks = append(drawing.Marks, mark{
			X: markX(step.Offset, total), Y: laneY(row), Title: "+" + formatDuration(step.Offset) + " " + step.Name + ": " + step.Text,
		})
	}
	drawing.AxisY = len(rows)*laneHeight + axisHeight/2
	drawing.Height = len(rows)*laneHeight + axisHeight
	drawing.End = "+" + formatDuration(total)
	return drawing
}

// laneY returns the vertical centre of a lane.
func laneY(row int) int { return row*laneHeight + laneHeight/2 }

// markX returns the x coordinate of an offset on a time axis of length total.
// The axis begins a margin to the right of the labels and ends a margin before the
// right edge.
func markX(offset, total time.Duration) int {
	const margin = 20
	left, right := labelWidth+margin, timelineWidth-margin
	if total == 0 {
		return left
	}
	return left + int(float64(right-left)*float64(offset)/float64(total))
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"span": formatDuration, "clock": formatTime}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #1b1f24; }
table { border-collapse: collapse; width: 100%; }
td, th { text-align: left; vertical-align: top; padding: 0.3em 0.6em; border-bottom: 1px solid #d5dae0; }
svg { width: 100%; height: auto; }
.missing { background: #fff4d6; padding: 0.5em 1em; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
{{if .Missing}}<div class="missing">{{range .Missing}}<p>{{.}}</p>{{end}}</div>{{end}}
<h2>What happened</h2>
<ul>{{range .Happened}}<li>{{.}}</li>{{end}}</ul>
{{if .Did}}{{with .Timeline}}<svg viewBox="0 0 {{.Width}} {{.Height}}" role="img" aria-label="timeline of the events">
{{$t := .}}{{range .Lanes}}<text x="4" y="{{.Y}}" dominant-baseline="middle" font-size="13">{{.Host}}</text>
<line x1="{{$t.LabelWidth}}" x2="{{$t.Width}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#d5dae0"/>
{{end}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="6" fill="#0b63c5" fill-opacity="0.75"><title>{{.Title}}</title></circle>
{{end}}<text x="{{.LabelWidth}}" y="{{.AxisY}}" font-size="12">+0s</text>
<text x="{{.Width}}" y="{{.AxisY}}" font-size="12" text-anchor="end">{{.End}}</text>
</svg>{{end}}{{end}}
<h2>Why</h2>
<ul>{{range .Why}}<li>{{.}}</li>{{end}}</ul>
<h2>What the system did</h2>
{{if .Did}}<table>
<tr><th>time</th><th>after</th><th>entry host</th><th>step</th></tr>
{{range .Did}}<tr><td>{{clock .At}}</td><td>+{{span .Offset}}</td><td>{{.Host}}</td><td><b>{{.Name}}</b>: {{.Text}}{{if gt .Count 1}} ({{.Count}} times){{end}}</td></tr>
{{end}}</table>{{else}}<p>nothing</p>{{end}}
<h2>What to do</h2>
<ul>{{range .Do}}<li>{{.}}</li>{{end}}</ul>
</body>
</html>
`))

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

// HTML returns the page as one HTML document with an inline SVG timeline. It
// loads nothing else.
func HTML(page Page) (string, error) {
	var text strings.Builder
	err := pageTemplate.Execute(&text, struct {
		Page
		Timeline timeline
	}{Page: page, Timeline: newTimeline(page.Did)})
	return text.String(), err
}

// timeline is the drawing of the steps: one lane for each host.
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
	var whole time.Duration
	for _, step := range steps {
		whole = max(whole, step.Offset)
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
			X: position(step.Offset, whole), Y: laneY(row), Title: "+" + span(step.Offset) + " " + step.Name + ": " + step.Text,
		})
	}
	drawing.AxisY = len(rows)*laneHeight + axisHeight/2
	drawing.Height = len(rows)*laneHeight + axisHeight
	drawing.End = "+" + span(whole)
	return drawing
}

func laneY(row int) int { return row*laneHeight + laneHeight/2 }

// position places an offset between the labels and the right margin.
func position(offset, whole time.Duration) int {
	const margin = 20
	left, right := labelWidth+margin, timelineWidth-margin
	if whole == 0 {
		return left
	}
	return left + int(float64(right-left)*float64(offset)/float64(whole))
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"span": span, "clock": clock}).Parse(`<!DOCTYPE html>
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

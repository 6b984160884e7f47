package commands

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
)

// table is the output format for people.
type table struct {
	headings []string
	rows     [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes the value in the chosen output format. asTable is called only for
// the table format.
func (g *globals) print(value any, asTable func() table) error {
	if g.output == "table" {
		return g.printTable(asTable())
	}
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	if g.output == "yaml" {
		if content, err = yaml.JSONToYAML(content); err != nil {
			return Error.Wrap(err)
		}
	}
	_, err = fmt.Fprintln(g.streams.Out, strings.TrimRight(string(content), "\n"))
	return Error.Wrap(err)
}

func (g *globals) printTable(t table) error {
	writer := tabwriter.NewWriter(g.streams.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(t.headings, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return Error.Wrap(writer.Flush())
}

// printMessage writes a line for people to the error stream, so that the output
// stays a single JSON or YAML value.
func (g *globals) printMessage(format string, arguments ...any) {
	fmt.Fprintf(g.streams.Err, format+"\n", arguments...)
}

func formatTime(at time.Time) string { return at.Local().Format("2006-01-02 15:04:05") }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

package explain

import (
	"fmt"
	"strings"
)

// Text returns the page as plain text for a terminal.
func Text(page Page) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n%s\n", page.Title, strings.Repeat("=", len(page.Title)))
	writeSection(&text, "What happened", page.Happened)
	writeSection(&text, "Why", page.Why)
	writeSection(&text, "What the system did", stepLines(page.Did))
	writeSection(&text, "What to do", page.Do)
	if len(page.Missing) > 0 {
		writeSection(&text, "What is missing", page.Missing)
	}
	return text.String()
}

func writeSection(text *strings.Builder, title string, lines []string) {
	fmt.Fprintf(text, "\n%s\n", title)
	if len(lines) == 0 {
		lines = []string{"nothing"}
	}
	for _, line := range lines {
		fmt.Fprintf(text, "  - %s\n", line)
	}
}

func stepLines(steps []Step) []string {
	lines := make([]string, len(steps))
	for i, step := range steps {
		lines[i] = fmt.Sprintf("%9s  %-12s %s: %s", "+"+formatDuration(step.Offset), step.Host, step.Name, step.Text)
		if step.Count > 1 {
			lines[i] += fmt.Sprintf(" (%d times)", step.Count)
		}
	}
	return lines
}

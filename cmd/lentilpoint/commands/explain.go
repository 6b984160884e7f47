package commands

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/explain"
)

const archiveHelp = "also read flushed events from the object store, for hosts that died or restarted"

// outputHTML is an output format of the explain commands only.
const outputHTML = "html"

func statusCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the entry hosts with their state and revision", Args: cobra.NoArgs,
		Example: "  lentilpoint status --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := fetch[operators.StatusAnswer](cmd, g, operators.PathStatus, nil)
			if err != nil {
				return err
			}
			return g.print(status, func() table {
				t := table{headings: []string{"HOST", "DATA CENTRE", "ALIVE", "LEAVING", "REVISION", "ANSWERS"}}
				for _, host := range status.Hosts {
					t.add(host.ID, host.DataCentre, yesNo(host.Alive), yesNo(host.Leaving), host.Revision, yesNo(host.Answering))
				}
				return t
			})
		},
	}
}

func eventsCommand(g *globals) *cobra.Command {
	var since time.Duration
	var limit int
	var archive bool
	cmd := &cobra.Command{
		Use: "events", Short: "List recent events of all entry hosts", Args: cobra.NoArgs,
		Example: "  lentilpoint events --since 10m",
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := g.fetchEvents(cmd, url.Values{"limit": {strconv.Itoa(limit)}, "archive": {strconv.FormatBool(archive)}}, since)
			if err != nil {
				return err
			}
			return g.print(answer, func() table {
				t := table{headings: []string{"TIME", "HOST", "EVENT", "SUBJECT", "CAUSE"}}
				for _, event := range answer.Events {
					subject := orDash(string(event.Request) + string(event.Move))
					t.add(formatTime(event.At), event.Host, eventcode.Name(event.Code), subject, orDash(event.Cause))
				}
				return t
			})
		},
	}
	cmd.Flags().DurationVar(&since, "since", time.Hour, "how far to look back")
	cmd.Flags().IntVar(&limit, "limit", 1000, "number of events, newest ones")
	cmd.Flags().BoolVar(&archive, "archive", false, archiveHelp)
	return cmd
}

// fetchEvents reads events and prints a message if events of some hosts or of the
// object store are missing.
func (g *globals) fetchEvents(cmd *cobra.Command, query url.Values, since time.Duration) (operators.EventsAnswer, error) {
	if since <= 0 {
		return operators.EventsAnswer{}, asUsageError(Error.New("--since must be positive, as in 10m"))
	}
	query.Set("since", time.Now().Add(-since).UTC().Format(time.RFC3339Nano))
	answer, err := fetch[operators.EventsAnswer](cmd, g, operators.PathEvents, query)
	if err == nil && len(answer.Unanswered) > 0 {
		g.printMessage("these entry hosts did not answer, so their newest events are missing: %v", answer.Unanswered)
	}
	if err == nil && answer.ArchiveIncomplete {
		g.printMessage("the object store has more events, or did not answer; use a shorter --since")
	}
	return answer, err
}

func explainCommand(g *globals) *cobra.Command {
	return commandGroup("explain", "Explain what happened, why, what the system did and what to do",
		explainSubjectCommand(g, explain.SubjectRequest), explainSubjectCommand(g, explain.SubjectMove),
		explainSubjectCommand(g, explain.SubjectOrganisation))
}

func explainSubjectCommand(g *globals, subject explain.Subject) *cobra.Command {
	var since time.Duration
	var html, archive bool
	cmd := &cobra.Command{
		Use: string(subject) + " ID", Short: "Explain a " + string(subject), Args: cobra.ExactArgs(1),
		Example: fmt.Sprintf("  lentilpoint explain %s ID\n  lentilpoint explain %s ID --output html > page.html", subject, subject),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			input, err := g.explainInput(cmd, subject, arguments[0], since, archive)
			if err != nil {
				return err
			}
			return g.printExplanation(explain.Build(input), html)
		},
	}
	cmd.Flags().DurationVar(&since, "since", 24*time.Hour, "how far to look back")
	cmd.Flags().BoolVar(&archive, "archive", false, archiveHelp)
	// Overrides the check of the root command, which rejects the html format.
	cmd.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		err := g.prepareWithFormats(cmd, outputHTML)
		html = g.output == outputHTML
		return err
	}
	return cmd
}

// explainInput fetches the events of the subject, and the move itself if it still
// exists.
func (g *globals) explainInput(cmd *cobra.Command, subject explain.Subject, id string, since time.Duration, archive bool) (explain.Input, error) {
	answer, err := g.fetchEvents(cmd, url.Values{string(subject): {id}, "archive": {strconv.FormatBool(archive)}}, since)
	if err != nil {
		return explain.Input{}, err
	}
	input := explain.Input{Subject: subject, ID: id, Events: answer.Events, Unanswered: answer.Unanswered}
	if subject != explain.SubjectMove {
		return input, nil
	}
	move, err := g.fetchMove(cmd, id)
	switch {
	case err == nil:
		input.Move = &move
	case ExitCode(err) != ExitNotFound:
		return input, err
	}
	return input, nil
}

func (g *globals) printExplanation(page explain.Page, html bool) error {
	switch {
	case html:
		text, err := explain.HTML(page)
		if err != nil {
			return Error.Wrap(err)
		}
		_, err = fmt.Fprint(g.streams.Out, text)
		return Error.Wrap(err)
	case g.output == "table":
		_, err := fmt.Fprint(g.streams.Out, explain.Text(page))
		return Error.Wrap(err)
	}
	return g.print(page, nil)
}

package commands

import (
	"fmt"
	"net/url"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/questionnaire"
)

func configCommand(g *globals) *cobra.Command {
	return commandGroup("config", "Read and check the configuration",
		configStatusCommand(g), configShowCommand(g), configHistoryCommand(g), configCheckCommand(g))
}

func configStatusCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show which revision is in force on each entry host", Args: cobra.NoArgs,
		Example: "  lentilpoint config status",
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := fetch[operators.StatusAnswer](cmd, g, operators.PathStatus, nil)
			if err != nil {
				return err
			}
			return g.print(status, func() table { return revisionTable(status) })
		},
	}
}

// revisionTable shows how far each host is behind the newest known revision.
func revisionTable(status operators.StatusAnswer) table {
	var newest model.Revision
	for _, host := range status.Hosts {
		newest = max(newest, host.Revision)
	}
	t := table{headings: []string{"HOST", "DATA CENTRE", "REVISION", "STATE"}}
	for _, host := range status.Hosts {
		state := "in force"
		switch {
		case !host.Alive:
			state = "not reachable"
		case host.Revision == 0:
			state = "not known"
		case host.Revision < newest:
			state = fmt.Sprintf("%d behind", newest-host.Revision)
		}
		t.add(host.ID, host.DataCentre, host.Revision, state)
	}
	return t
}

func configShowCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use: "show", Short: "Show the configuration in force", Args: cobra.NoArgs,
		Example: "  lentilpoint config show --output yaml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := fetch[operators.ConfigurationBody](cmd, g, operators.PathConfiguration, nil)
			if err != nil {
				return err
			}
			return g.print(body, func() table {
				t := table{headings: []string{"REVISION", "SERVICES", "ORGANISATIONS", "MOVES"}}
				t.add(body.Revision, len(body.Services), len(body.Organisations), len(body.Moves))
				return t
			})
		},
	}
}

func configHistoryCommand(g *globals) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use: "history", Short: "List accepted revisions with author and change", Args: cobra.NoArgs,
		Example: "  lentilpoint config history --limit 50",
		RunE: func(cmd *cobra.Command, _ []string) error {
			history, err := fetch[operators.HistoryAnswer](cmd, g, operators.PathHistory, url.Values{"limit": {strconv.Itoa(limit)}})
			if err != nil {
				return err
			}
			return g.print(history, func() table {
				t := table{headings: []string{"REVISION", "TIME", "AUTHOR", "CHANGE", "NOTE", "ID"}}
				for _, record := range history.Records {
					t.add(record.Revision, formatTime(record.At), record.Author, config.Describe(record.Changes), record.Note, record.ID)
				}
				return t
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of revisions, newest ones")
	return cmd
}

func configCheckCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a questionnaire file and name every problem", Args: cobra.ExactArgs(1),
		Example: "  lentilpoint config check examples/bubblewell.yaml",
		RunE: func(_ *cobra.Command, arguments []string) error {
			answers, err := readAnswers(arguments[0])
			if err != nil {
				return err
			}
			plan, problems := questionnaire.Generate(answers)
			if len(problems) > 0 {
				return invalidAnswersError(problems)
			}
			g.printMessage("%s: no problem; %d services, %d organisations", arguments[0], len(plan.Services), len(plan.Organisations))
			return nil
		},
	}
}

func readAnswers(name string) (questionnaire.Answers, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return questionnaire.Answers{}, asUsageError(Error.New("the file cannot be read: %v", err))
	}
	answers, err := questionnaire.Decode(content)
	if err != nil {
		return answers, invalidInputError(err.Error(), "correct the file and run the command again")
	}
	return answers, nil
}

// invalidAnswersError returns an error that lists all problems of the answers.
func invalidAnswersError(problems []questionnaire.Problem) error {
	detail := operators.ErrorDetail{Kind: model.KindInvalid, Reason: model.ReasonBadField, Executed: model.ExecutedNo, Message: "the answers have problems"}
	for _, problem := range problems {
		detail.Problems = append(detail.Problems, config.Problem{Field: problem.Answer, Message: problem.Message, Remedy: problem.Remedy})
	}
	return &requestError{detail: detail}
}

// fetch sends a GET request to the operator API and decodes its response.
func fetch[T any](cmd *cobra.Command, g *globals, path string, query url.Values) (T, error) {
	var answer T
	client, err := g.client()
	if err != nil {
		return answer, err
	}
	err = client.get(cmd.Context(), path, query, &answer)
	return answer, err
}

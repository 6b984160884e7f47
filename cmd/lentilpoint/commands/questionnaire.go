package commands

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/questionnaire"
)

type questionnaireFlags struct {
	file string
	save string
	yes  bool
	note string
}

func questionnaireCommand(g *globals) *cobra.Command {
	var flags questionnaireFlags
	cmd := &cobra.Command{
		Use: "questionnaire", Short: "Generate the configuration from a team's answers", Args: cobra.NoArgs,
		Long: "Asks about callers, organisations and backend servers, or reads the answers from a file.\n" +
			"It shows what would change and why, asks for confirmation, and submits all as one revision.\n" +
			"New organisations get an API key, which is shown once; only its SHA-256 is kept.",
		Example: "  lentilpoint questionnaire\n  lentilpoint questionnaire --file examples/bubblewell.yaml --yes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			input := bufio.NewReader(g.streams.In)
			answers, err := g.obtainAnswers(flags, input)
			if err != nil {
				return err
			}
			return g.submitAnswers(cmd, answers, flags, input)
		},
	}
	cmd.Flags().StringVar(&flags.file, "file", "", "YAML file with the answers; empty asks in the terminal")
	cmd.Flags().StringVar(&flags.save, "save", "", "file to write the answers to")
	cmd.Flags().BoolVar(&flags.yes, "yes", false, "submit without asking for confirmation")
	cmd.Flags().StringVar(&flags.note, "note", "", "note that the history keeps")
	return cmd
}

// obtainAnswers reads the answers from a file or asks for them in the terminal. With
// --save it writes answers from the terminal to a file, also invalid ones, so that
// they can be corrected there.
func (g *globals) obtainAnswers(flags questionnaireFlags, input *bufio.Reader) (questionnaire.Answers, error) {
	if flags.file != "" {
		return readAnswers(flags.file)
	}
	answers, err := newInterview(input, g.streams.Err).askAll()
	if err != nil || flags.save == "" {
		return answers, err
	}
	content, err := questionnaire.Encode(answers)
	if err != nil {
		return answers, err
	}
	return answers, Error.Wrap(os.WriteFile(flags.save, content, 0o600))
}

// submitAnswers shows how the configuration would change, asks for confirmation and
// commits all changes as one revision.
func (g *globals) submitAnswers(cmd *cobra.Command, answers questionnaire.Answers, flags questionnaireFlags, input *bufio.Reader) error {
	plan, problems := questionnaire.Generate(answers)
	if len(problems) > 0 {
		return invalidAnswersError(problems)
	}
	body, err := fetch[operators.ConfigurationBody](cmd, g, operators.PathConfiguration, nil)
	if err != nil {
		return err
	}
	difference := questionnaire.Compare(plan, body.Configuration())
	g.showPlan(plan, difference)
	if len(difference.Steps) == 0 {
		g.printMessage("the configuration in force, revision %d, already equals the answers", body.Revision)
		return nil
	}
	changes, keys := changesOf(difference)
	if !flags.yes {
		if err := g.confirm(input, fmt.Sprintf("Submit %d changes on top of revision %d?", len(changes), body.Revision)); err != nil {
			return err
		}
	}
	note := flags.note
	if note == "" {
		note = "questionnaire of " + answers.Team
	}
	return g.submit(cmd, operators.CommitBody{Expected: body.Revision, ID: generateID("questionnaire"), Note: note, Changes: changes}, keys)
}

func (g *globals) showPlan(plan questionnaire.Plan, difference questionnaire.Difference) {
	g.printMessage("Settings and reasons")
	for _, setting := range plan.Settings {
		g.printMessage("  %s: %s = %s\n      because %s", setting.Target, setting.Name, setting.Value, setting.Reason)
	}
	g.printMessage("Difference to the configuration in force")
	for _, step := range difference.Steps {
		verb := "change"
		if step.New {
			verb = "add"
		}
		g.printMessage("  %s %s", verb, step.Target())
		for _, line := range step.Lines {
			g.printMessage("      %s", line)
		}
	}
	for _, note := range difference.Notes {
		g.printMessage("  note: %s", note)
	}
}

// issuedKey is a new API key of an organisation in plain text.
type issuedKey struct {
	Organisation model.OrganisationID `json:"organisation"`
	Key          string               `json:"key"`
}

// changesOf returns the configuration changes for a difference, and the API keys that
// it generated for new organisations.
func changesOf(difference questionnaire.Difference) ([]config.Change, []issuedKey) {
	var keys []issuedKey
	changes := make([]config.Change, 0, len(difference.Steps))
	for _, step := range difference.Steps {
		if step.New && step.Organisation != nil {
			key, digest := generateAPIKey()
			step.Organisation.KeySHA256 = []string{digest}
			keys = append(keys, issuedKey{Organisation: step.Organisation.ID, Key: key})
		}
		changes = append(changes, config.Change{PutService: step.Service, PutOrganisation: step.Organisation})
	}
	return changes, keys
}

// generateAPIKey returns an API key with 128 random bits, and its SHA-256 in
// hexadecimal digits.
func generateAPIKey() (key, digest string) {
	key = "lp-" + strings.ToLower(rand.Text())
	sum := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(sum[:])
}

// generateID returns a random id with the prefix for a commit or a move.
func generateID(prefix string) string { return prefix + "-" + strings.ToLower(rand.Text())[:12] }

// commitResult is the output of a commit. Revision is 0 if the outcome is unknown.
type commitResult struct {
	Revision model.Revision `json:"revision"`
	ID       string         `json:"id"`
	Keys     []issuedKey    `json:"keys,omitempty"`
}

// submit commits the changes and prints the new keys. It prints them also when the
// outcome is unknown, because the revision may be in force and the keys are stored
// nowhere else.
func (g *globals) submit(cmd *cobra.Command, body operators.CommitBody, keys []issuedKey) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	var answer operators.CommitAnswer
	if err := client.post(cmd.Context(), operators.PathCommit, body, &answer); err != nil {
		if ExitCode(err) == ExitUnknown && len(keys) > 0 {
			g.printMessage("the outcome is unknown; keep these keys until the history shows whether commit %s is in force", body.ID)
			_ = g.printKeys(commitResult{ID: body.ID, Keys: keys})
		}
		return err
	}
	result := commitResult{Revision: answer.Revision, ID: answer.ID, Keys: keys}
	g.printMessage("revision %d is accepted", answer.Revision)
	if len(keys) == 0 && g.output == "table" {
		return nil
	}
	if len(keys) > 0 {
		g.printMessage("store these API keys now; they are not shown again")
	}
	return g.printKeys(result)
}

func (g *globals) printKeys(result commitResult) error {
	return g.print(result, func() table {
		t := table{headings: []string{"ORGANISATION", "API KEY"}}
		for _, key := range result.Keys {
			t.add(key.Organisation, key.Key)
		}
		return t
	})
}

// confirm asks for confirmation. Any answer but "y" or "yes" is returned as an error.
func (g *globals) confirm(input *bufio.Reader, question string) error {
	fmt.Fprintf(g.streams.Err, "%s [y/N] ", question)
	line, err := input.ReadString('\n')
	if err != nil && err != io.EOF {
		return Error.Wrap(err)
	}
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return nil
	}
	return asUsageError(Error.New("not confirmed, so nothing was changed; answer y or pass --yes"))
}

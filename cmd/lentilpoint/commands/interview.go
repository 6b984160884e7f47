package commands

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/lentilpoint/lentilpoint/questionnaire"
)

// interview asks the questions in a terminal. It only checks that numbers are whole
// numbers; afterwards questionnaire.Check reports all problems at once. After an
// input error, which err keeps, it asks nothing more.
type interview struct {
	input  *bufio.Reader
	output io.Writer
	err    error
}

func newInterview(input *bufio.Reader, output io.Writer) *interview {
	return &interview{input: input, output: output}
}

func (i *interview) askAll() (questionnaire.Answers, error) {
	var answers questionnaire.Answers
	answers.Team = i.askText("Name of the team", "")
	answers.Callers.Sites = i.askSites()
	answers.Callers.DelayTolerance = i.askText("Longest silence in an answer that callers accept", "2s")
	answers.Callers.Deadline = i.askText("How long callers wait for a whole answer", "5m")
	answers.Organisations = i.askOrganisations()
	answers.Services = i.askServices()
	answers.Prefer = questionnaire.Preference(i.askText("When low delay costs extra servers: low_delay or few_servers", string(questionnaire.PreferLowDelay)))
	return answers, i.err
}

// askText prints the question and returns the answer, or the default for an empty
// line.
func (i *interview) askText(question, defaultAnswer string) string {
	if i.err != nil {
		return ""
	}
	if defaultAnswer != "" {
		question += " [" + defaultAnswer + "]"
	}
	fmt.Fprint(i.output, question+": ")
	line, err := i.input.ReadString('\n')
	if err != nil && (err != io.EOF || line == "") {
		i.err = asUsageError(Error.New("the input ended before the last question; answer all, or use --file"))
		return ""
	}
	if line = strings.TrimSpace(line); line == "" {
		return defaultAnswer
	}
	return line
}

// askNumber repeats the question until the answer is a whole number.
func (i *interview) askNumber(question string, defaultAnswer int) int {
	for {
		value, err := strconv.Atoi(i.askText(question, strconv.Itoa(defaultAnswer)))
		if err == nil || i.err != nil {
			return value
		}
		fmt.Fprintln(i.output, "  write a whole number")
	}
}

// askList asks for a list that is separated by commas or spaces.
func (i *interview) askList(question, defaultAnswer string) []string {
	return strings.FieldsFunc(i.askText(question, defaultAnswer), func(r rune) bool { return r == ',' || r == ' ' })
}

func (i *interview) askSites() []questionnaire.Site {
	var sites []questionnaire.Site
	for _, name := range i.askList("Data centres that callers reach, separated by commas", "") {
		sites = append(sites, questionnaire.Site{Name: name, EntryHosts: i.askNumber("  Entry hosts in "+name, 2)})
	}
	return sites
}

func (i *interview) askOrganisations() []questionnaire.Organisation {
	var organisations []questionnaire.Organisation
	for _, name := range i.askList("Organisations, separated by commas", "") {
		organisations = append(organisations, questionnaire.Organisation{
			Name:     name,
			Weight:   i.askNumber("  Weight of "+name+" against the others", 1),
			PeakOpen: i.askNumber("  Most requests of "+name+" that are open at once, 0 for no limit", 0),
		})
	}
	return organisations
}

func (i *interview) askServices() []questionnaire.Service {
	var services []questionnaire.Service
	for _, name := range i.askList("Model services, separated by commas", "") {
		services = append(services, questionnaire.Service{
			Name: name, Kind: questionnaire.KindModel,
			Version:       i.askText("  First version of "+name, name+"-v1"),
			ChecksFencing: i.askText("  Do its servers refuse orders with an old fencing number, yes or no", "no") == "yes",
		})
	}
	for _, name := range i.askList("Plain services, separated by commas", "-") {
		if name == "-" {
			continue
		}
		services = append(services, questionnaire.Service{
			Name: name, Kind: questionnaire.KindPlain,
			Deadline:          i.askText("  Deadline of a call to "+name, "10s"),
			RepeatableMethods: i.askList("  Methods of "+name+" that may run twice without harm", "GET,HEAD"),
		})
	}
	return services
}

package commands

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/lentilpoint/lentilpoint/questionnaire"
)

// interview asks the questions in a terminal. It judges no answer except that a
// number is one; questionnaire.Check names all problems at once afterwards.
type interview struct {
	input  *bufio.Reader
	output io.Writer
	err    error
}

func newInterview(input *bufio.Reader, output io.Writer) *interview {
	return &interview{input: input, output: output}
}

func (i *interview) run() (questionnaire.Answers, error) {
	var answers questionnaire.Answers
	answers.Team = i.ask("Name of the team", "")
	answers.Callers.Sites = i.sites()
	answers.Callers.DelayTolerance = i.ask("Longest silence in an answer that callers accept", "2s")
	answers.Callers.Deadline = i.ask("How long callers wait for a whole answer", "5m")
	answers.Organisations = i.organisations()
	answers.Services = i.services()
	answers.Prefer = questionnaire.Preference(i.ask("When low delay costs extra servers: low_delay or few_servers", string(questionnaire.PreferLowDelay)))
	return answers, i.err
}

// ask returns the answer, or the default for an empty line.
func (i *interview) ask(question, byDefault string) string {
	if i.err != nil {
		return ""
	}
	if byDefault != "" {
		question += " [" + byDefault + "]"
	}
	fmt.Fprint(i.output, question+": ")
	line, err := i.input.ReadString('\n')
	if err != nil && (err != io.EOF || line == "") {
		i.err = usage(Error.New("the input ended before the last question; answer all, or use --file"))
		return ""
	}
	if line = strings.TrimSpace(line); line == "" {
		return byDefault
	}
	return line
}

// number asks until the answer is a whole number.
func (i *interview) number(question string, byDefault int) int {
	for {
		value, err := strconv.Atoi(i.ask(question, strconv.Itoa(byDefault)))
		if err == nil || i.err != nil {
			return value
		}
		fmt.Fprintln(i.output, "  write a whole number")
	}
}

// list asks for words separated by commas or spaces.
func (i *interview) list(question, byDefault string) []string {
	return strings.FieldsFunc(i.ask(question, byDefault), func(r rune) bool { return r == ',' || r == ' ' })
}

func (i *interview) sites() []questionnaire.Site {
	var sites []questionnaire.Site
	for _, name := range i.list("Data centres that callers reach, separated by commas", "") {
		sites = append(sites, questionnaire.Site{Name: name, EntryHosts: i.number("  Entry hosts in "+name, 2)})
	}
	return sites
}

func (i *interview) organisations() []questionnaire.Organisation {
	var organisations []questionnaire.Organisation
	for _, name := range i.list("Organisations, separated by commas", "") {
		organisations = append(organisations, questionnaire.Organisation{
			Name:     name,
			Weight:   i.number("  Weight of "+name+" against the others", 1),
			PeakOpen: i.number("  Most requests of "+name+" that are open at once, 0 for no limit", 0),
		})
	}
	return organisations
}

func (i *interview) services() []questionnaire.Service {
	var services []questionnaire.Service
	for _, name := range i.list("Model services, separated by commas", "") {
		services = append(services, questionnaire.Service{
			Name: name, Kind: questionnaire.KindModel,
			Version:       i.ask("  First version of "+name, name+"-v1"),
			ChecksFencing: i.ask("  Do its servers refuse orders with an old fencing number, yes or no", "no") == "yes",
		})
	}
	for _, name := range i.list("Plain services, separated by commas", "-") {
		if name == "-" {
			continue
		}
		services = append(services, questionnaire.Service{
			Name: name, Kind: questionnaire.KindPlain,
			Deadline:          i.ask("  Deadline of a call to "+name, "10s"),
			RepeatableMethods: i.list("  Methods of "+name+" that may run twice without harm", "GET,HEAD"),
		})
	}
	return services
}

package questionnaire

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"time"
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	knownMethods = []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch,
	}
)

// Problem is one bad answer.
type Problem struct {
	Answer  string `json:"answer"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String describes the problem in one line.
func (p Problem) String() string { return p.Answer + ": " + p.Message + "; " + p.Remedy }

// Check returns every problem of the answers.
func Check(answers Answers) []Problem {
	c := &checker{}
	c.name("team", answers.Team)
	c.callers(answers.Callers)
	c.organisations(answers.Organisations)
	c.services(answers)
	c.preference(answers)
	return c.problems
}

type checker struct{ problems []Problem }

func (c *checker) report(answer, message, remedy string) {
	c.problems = append(c.problems, Problem{Answer: answer, Message: message, Remedy: remedy})
}

func (c *checker) name(answer, name string) {
	if !namePattern.MatchString(name) {
		c.report(answer, fmt.Sprintf("%q is not a name", name), "use 1 to 63 letters, digits, dots, hyphens or underscores, starting with a letter or digit")
	}
}

// unique reports a name that was used before.
func (c *checker) unique(answer, name string, seen map[string]bool) {
	if seen[name] {
		c.report(answer, fmt.Sprintf("%q is used twice", name), "give each one its own name")
	}
	seen[name] = true
}

func (c *checker) duration(answer, text string, low, top time.Duration) {
	value, err := time.ParseDuration(text)
	switch {
	case err != nil:
		c.report(answer, fmt.Sprintf("%q is not a duration", text), "write it as in 500ms, 10s or 5m")
	case value < low || value > top:
		c.report(answer, text+" is out of bounds", fmt.Sprintf("set it between %s and %s", low, top))
	}
}

func (c *checker) callers(callers Callers) {
	if len(callers.Sites) == 0 {
		c.report("callers.sites", "there is no site", "name the data centres that callers reach")
	}
	seen := make(map[string]bool)
	for i, site := range callers.Sites {
		answer := fmt.Sprintf("callers.sites[%d]", i)
		c.name(answer+".name", site.Name)
		c.unique(answer+".name", site.Name, seen)
		if site.EntryHosts < 1 {
			c.report(answer+".entry_hosts", "there is no entry host", "give the number of entry hosts of the site, at least 1")
		}
	}
	c.duration("callers.delay_tolerance", callers.DelayTolerance, minTolerance, maxDeadline)
	c.duration("callers.deadline", callers.Deadline, minDeadline, maxDeadline)
}

func (c *checker) organisations(organisations []Organisation) {
	if len(organisations) == 0 {
		c.report("organisations", "there is no organisation", "name at least one; each gets an API key")
	}
	seen := make(map[string]bool)
	for i, organisation := range organisations {
		answer := fmt.Sprintf("organisations[%d]", i)
		c.name(answer+".name", organisation.Name)
		c.unique(answer+".name", organisation.Name, seen)
		if organisation.Weight < 1 || organisation.Weight > maxWeight {
			c.report(answer+".weight", fmt.Sprintf("%d is out of bounds", organisation.Weight), fmt.Sprintf("use 1 to %d; 1 for each is equal shares", maxWeight))
		}
		if organisation.PeakOpen < 0 {
			c.report(answer+".peak_open", "it is negative", "use 0 for no limit")
		}
	}
}

func (c *checker) services(answers Answers) {
	if len(answers.Services) == 0 {
		c.report("services", "there is no service", "name at least one group of backend servers")
	}
	seen := make(map[string]bool)
	for i, service := range answers.Services {
		answer := fmt.Sprintf("services[%d]", i)
		c.name(answer+".name", service.Name)
		c.unique(answer+".name", service.Name, seen)
		if service.Deadline != "" {
			c.duration(answer+".deadline", service.Deadline, minDeadline, maxDeadline)
		}
		c.kind(answer, service)
	}
}

func (c *checker) kind(answer string, service Service) {
	switch service.Kind {
	case KindModel:
		c.name(answer+".version", service.Version)
		if len(service.RepeatableMethods) > 0 {
			c.report(answer+".repeatable_methods", "a model service has no methods", "leave the answer out; generations are continued after a loss")
		}
	case KindPlain:
		if service.Version != "" {
			c.name(answer+".version", service.Version)
		}
	default:
		c.report(answer+".kind", fmt.Sprintf("%q is not a kind", service.Kind), "use model or plain")
	}
	for _, method := range service.RepeatableMethods {
		if !slices.Contains(knownMethods, method) {
			c.report(answer+".repeatable_methods", fmt.Sprintf("%q is not an HTTP method", method), "use upper-case methods such as GET")
		}
	}
}

// preference refuses answers that contradict each other: fewer servers means
// waiting up to 2 s before a silent stream is continued elsewhere.
func (c *checker) preference(answers Answers) {
	if answers.Prefer != PreferLowDelay && answers.Prefer != PreferFewServers {
		c.report("prefer", fmt.Sprintf("%q is not a preference", answers.Prefer), "use low_delay or few_servers")
	}
	tolerance, err := time.ParseDuration(answers.Callers.DelayTolerance)
	if err == nil && tolerance < patientTolerance && answers.Prefer == PreferFewServers {
		c.report("prefer", "few_servers needs callers that accept a silence of "+patientTolerance.String(),
			"raise callers.delay_tolerance to at least "+patientTolerance.String()+", or prefer low_delay")
	}
}

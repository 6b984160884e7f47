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

// Problem is one bad answer: its path, what is wrong and how to correct it.
type Problem struct {
	Answer  string `json:"answer"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String describes the problem in one line.
func (p Problem) String() string { return p.Answer + ": " + p.Message + "; " + p.Remedy }

// Check returns every problem of the answers, and none if they are valid.
func Check(answers Answers) []Problem {
	c := &checker{}
	c.checkName("team", answers.Team)
	c.checkCallers(answers.Callers)
	c.checkOrganisations(answers.Organisations)
	c.checkServices(answers)
	c.checkPreference(answers)
	return c.problems
}

// checker collects the problems of one set of answers.
type checker struct{ problems []Problem }

func (c *checker) report(path, message, remedy string) {
	c.problems = append(c.problems, Problem{Answer: path, Message: message, Remedy: remedy})
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.report(path, fmt.Sprintf("%q is not a name", name), "use 1 to 63 letters, digits, dots, hyphens or underscores, starting with a letter or digit")
	}
}

// checkUnique reports a name that is in seen and adds it.
func (c *checker) checkUnique(path, name string, seen map[string]bool) {
	if seen[name] {
		c.report(path, fmt.Sprintf("%q is used twice", name), "give each one its own name")
	}
	seen[name] = true
}

func (c *checker) checkDuration(path, text string, minimum, maximum time.Duration) {
	value, err := time.ParseDuration(text)
	switch {
	case err != nil:
		c.report(path, fmt.Sprintf("%q is not a duration", text), "write it as in 500ms, 10s or 5m")
	case value < minimum || value > maximum:
		c.report(path, text+" is out of bounds", fmt.Sprintf("set it between %s and %s", minimum, maximum))
	}
}

func (c *checker) checkCallers(callers Callers) {
	if len(callers.Sites) == 0 {
		c.report("callers.sites", "there is no site", "name the data centres that callers reach")
	}
	seen := make(map[string]bool)
	for i, site := range callers.Sites {
		path := fmt.Sprintf("callers.sites[%d]", i)
		c.checkName(path+".name", site.Name)
		c.checkUnique(path+".name", site.Name, seen)
		if site.EntryHosts < 1 {
			c.report(path+".entry_hosts", "there is no entry host", "give the number of entry hosts of the site, at least 1")
		}
	}
	c.checkDuration("callers.delay_tolerance", callers.DelayTolerance, minDelayTolerance, maxDeadline)
	c.checkDuration("callers.deadline", callers.Deadline, minDeadline, maxDeadline)
}

func (c *checker) checkOrganisations(organisations []Organisation) {
	if len(organisations) == 0 {
		c.report("organisations", "there is no organisation", "name at least one; each gets an API key")
	}
	seen := make(map[string]bool)
	for i, organisation := range organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		c.checkName(path+".name", organisation.Name)
		c.checkUnique(path+".name", organisation.Name, seen)
		if organisation.Weight < 1 || organisation.Weight > maxWeight {
			c.report(path+".weight", fmt.Sprintf("%d is out of bounds", organisation.Weight), fmt.Sprintf("use 1 to %d; 1 for each is equal shares", maxWeight))
		}
		if organisation.PeakOpen < 0 {
			c.report(path+".peak_open", "it is negative", "use 0 for no limit")
		}
	}
}

func (c *checker) checkServices(answers Answers) {
	if len(answers.Services) == 0 {
		c.report("services", "there is no service", "name at least one group of backend servers")
	}
	seen := make(map[string]bool)
	for i, service := range answers.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path+".name", service.Name)
		c.checkUnique(path+".name", service.Name, seen)
		if service.Deadline != "" {
			c.checkDuration(path+".deadline", service.Deadline, minDeadline, maxDeadline)
		}
		c.checkKind(path, service)
	}
}

func (c *checker) checkKind(path string, service Service) {
	switch service.Kind {
	case KindModel:
		c.checkName(path+".version", service.Version)
		if len(service.RepeatableMethods) > 0 {
			c.report(path+".repeatable_methods", "a model service has no methods", "leave the answer out; generations are continued after a loss")
		}
	case KindPlain:
		if service.Version != "" {
			c.checkName(path+".version", service.Version)
		}
	default:
		c.report(path+".kind", fmt.Sprintf("%q is not a kind", service.Kind), "use model or plain")
	}
	for _, method := range service.RepeatableMethods {
		if !slices.Contains(knownMethods, method) {
			c.report(path+".repeatable_methods", fmt.Sprintf("%q is not an HTTP method", method), "use upper-case methods such as GET")
		}
	}
}

// checkPreference also reports answers that contradict each other: with few_servers
// a silent stream is continued elsewhere only after up to 2 s.
func (c *checker) checkPreference(answers Answers) {
	if answers.Prefer != PreferLowDelay && answers.Prefer != PreferFewServers {
		c.report("prefer", fmt.Sprintf("%q is not a preference", answers.Prefer), "use low_delay or few_servers")
	}
	tolerance, err := time.ParseDuration(answers.Callers.DelayTolerance)
	if err == nil && tolerance < maxSilenceWithoutEagerResume && answers.Prefer == PreferFewServers {
		c.report("prefer", "few_servers needs callers that accept a silence of "+maxSilenceWithoutEagerResume.String(),
			"raise callers.delay_tolerance to at least "+maxSilenceWithoutEagerResume.String()+", or prefer low_delay")
	}
}

package questionnaire

import "time"

// Answers describe a team's callers, organisations and services. Durations are
// written as Go durations, such as 500ms, 10s or 5m.
type Answers struct {
	Team          string         `yaml:"team" json:"team"`
	Callers       Callers        `yaml:"callers" json:"callers"`
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Services      []Service      `yaml:"services" json:"services"`
	// Prefer decides between low delay and few servers where low delay needs extra
	// servers.
	Prefer Preference `yaml:"prefer" json:"prefer"`
}

// Callers describes where callers are and how long they wait.
type Callers struct {
	Sites []Site `yaml:"sites" json:"sites"`
	// DelayTolerance is the longest silence in the middle of an answer that
	// callers accept.
	DelayTolerance string `yaml:"delay_tolerance" json:"delay_tolerance"`
	// Deadline is how long callers wait for a whole answer.
	Deadline string `yaml:"deadline" json:"deadline"`
}

// Site is a data centre that callers reach, with its number of entry hosts.
type Site struct {
	Name       string `yaml:"name" json:"name"`
	EntryHosts int    `yaml:"entry_hosts" json:"entry_hosts"`
}

// Organisation is a customer of the team.
type Organisation struct {
	Name string `yaml:"name" json:"name"`
	// Weight is the organisation's share of the servers relative to the others while
	// several organisations wait.
	Weight int `yaml:"weight" json:"weight"`
	// PeakOpen is the most requests that are open at once over all sites; 0 means
	// no limit.
	PeakOpen int `yaml:"peak_open,omitempty" json:"peak_open,omitempty"`
}

// Kind is the kind of a service in an answer.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a group of backend servers that do the same work.
type Service struct {
	Name    string `yaml:"name" json:"name"`
	Kind    Kind   `yaml:"kind" json:"kind"`
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	// Deadline replaces Callers.Deadline for this service, unless it is empty.
	Deadline string `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// RepeatableMethods lists the HTTP methods that may run twice without harm.
	RepeatableMethods []string `yaml:"repeatable_methods,omitempty" json:"repeatable_methods,omitempty"`
	// ChecksFencing is set when the servers refuse orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
}

// Preference is the choice between low delay and few servers.
type Preference string

// The preferences.
const (
	PreferLowDelay   Preference = "low_delay"
	PreferFewServers Preference = "few_servers"
)

// Limits of answers. Those of deadlines equal the limits of the configuration.
const (
	minDeadline       = 10 * time.Millisecond
	maxDeadline       = time.Hour
	maxWeight         = 1_000_000
	minDelayTolerance = 300 * time.Millisecond
	// maxSilenceWithoutEagerResume is the longest silence before a stream is treated
	// as interrupted when eager resumption is off.
	maxSilenceWithoutEagerResume = 2 * time.Second
)

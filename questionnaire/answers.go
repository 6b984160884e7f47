package questionnaire

import "time"

// Answers are what a team tells about its callers and backend servers.
// Durations are written as in 500ms, 10s or 5m.
type Answers struct {
	Team          string         `yaml:"team" json:"team"`
	Callers       Callers        `yaml:"callers" json:"callers"`
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Services      []Service      `yaml:"services" json:"services"`
	// Prefer is the answer when low delay costs extra servers.
	Prefer Preference `yaml:"prefer" json:"prefer"`
}

// Callers describes who calls.
type Callers struct {
	Sites []Site `yaml:"sites" json:"sites"`
	// DelayTolerance is the longest silence in the middle of an answer that
	// callers accept.
	DelayTolerance string `yaml:"delay_tolerance" json:"delay_tolerance"`
	// Deadline is how long callers wait for a whole answer.
	Deadline string `yaml:"deadline" json:"deadline"`
}

// Site is a data centre that callers reach.
type Site struct {
	Name       string `yaml:"name" json:"name"`
	EntryHosts int    `yaml:"entry_hosts" json:"entry_hosts"`
}

// Organisation is a customer of the team.
type Organisation struct {
	Name   string `yaml:"name" json:"name"`
	Weight int    `yaml:"weight" json:"weight"`
	// PeakOpen is the largest number of requests open at once over all sites; 0
	// means no limit.
	PeakOpen int `yaml:"peak_open,omitempty" json:"peak_open,omitempty"`
}

// Kind is the kind of a service in an answer.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a group of backend servers with one task.
type Service struct {
	Name    string `yaml:"name" json:"name"`
	Kind    Kind   `yaml:"kind" json:"kind"`
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	// Deadline replaces the callers' deadline for this service.
	Deadline string `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// RepeatableMethods lists the HTTP methods that may run twice without harm.
	RepeatableMethods []string `yaml:"repeatable_methods,omitempty" json:"repeatable_methods,omitempty"`
	// ChecksFencing tells that the servers refuse orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
}

// Preference weighs delay against extra servers.
type Preference string

// The preferences.
const (
	PreferLowDelay   Preference = "low_delay"
	PreferFewServers Preference = "few_servers"
)

// Bounds of answers. The deadlines are those of the configuration.
const (
	minDeadline  = 10 * time.Millisecond
	maxDeadline  = time.Hour
	maxWeight    = 1_000_000
	minTolerance = 300 * time.Millisecond
	// patientTolerance is the longest silence before a stream is suspected
	// without eager resumption.
	patientTolerance = 2 * time.Second
)

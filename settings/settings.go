// Package settings reads the daemon's settings from flags and environment
// variables and checks them all at once.
package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// EnvironmentPrefix starts the name of the environment variable of each flag.
const EnvironmentPrefix = "LENTILPOINT_"

// Secret is a value that logs and error messages never show.
type Secret string

// String hides the value.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "[hidden]"
}

// LogValue hides the value in structured logs.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Settings are the checked settings of one entry host.
type Settings struct {
	HostID          string
	DataCentre      string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	PlatformURL     string
	// CursorKeys are the keys that authenticate resume cursors, newest first.
	CursorKeys []string
	// PeerSecret authenticates entry hosts to each other.
	PeerSecret Secret
	// OperatorTokens are the bearer tokens that the operator API accepts.
	OperatorTokens []string
	LogFormat      string
	LogLevel       string
	DrainTimeout   time.Duration
	// OperatorTLSCertificate and OperatorTLSKey are files; empty ones turn TLS off.
	OperatorTLSCertificate string
	OperatorTLSKey         string
	ConfigInterval         time.Duration
	// ConfigFallbackInterval is the time between reads of the configuration on
	// hosts that peers push revisions to; 0 means 10 times ConfigInterval.
	ConfigFallbackInterval time.Duration
	HostsInterval          time.Duration
	LoadInterval           time.Duration
	// LoadRate bounds the reads of load of all backend servers in a second.
	LoadRate float64
	// RemoteServers bounds the backend servers of other data centres for each service.
	RemoteServers int
	RandomSeed    uint64
}

// Register adds the flags with their defaults to the set.
func Register(flags *pflag.FlagSet, target *Settings) {
	flags.StringVar(&target.HostID, "host-id", "", "id of this entry host in the platform's host list")
	flags.StringVar(&target.DataCentre, "data-centre", "", "data centre of this entry host")
	flags.StringVar(&target.CallerAddress, "caller-address", "0.0.0.0:8080", "IP address and port for callers")
	flags.StringVar(&target.PeerAddress, "peer-address", "", "IP address and port for other entry hosts; empty turns peers off")
	flags.StringVar(&target.OperatorAddress, "operator-address", "", "IP address and port for operators; empty turns the operator API off")
	flags.StringVar(&target.PlatformURL, "platform-url", "", "URL of the platform's store")
	flags.StringSliceVar(&target.CursorKeys, "cursor-keys", nil, "keys that authenticate resume cursors as id=hex, newest first (secret)")
	flags.StringVar((*string)(&target.PeerSecret), "peer-secret", "", "secret shared by all entry hosts (secret)")
	flags.StringSliceVar(&target.OperatorTokens, "operator-tokens", nil, "bearer tokens of operators, as token or name=token; the name is recorded as the author of changes (secret)")
	flags.StringVar(&target.LogFormat, "log-format", "json", "log format: json or text")
	flags.StringVar(&target.LogLevel, "log-level", "info", "log level: debug, info, warn or error")
	flags.DurationVar(&target.DrainTimeout, "drain-timeout", 10*time.Minute, "longest wait for open requests during a graceful shutdown")
	flags.DurationVar(&target.ConfigInterval, "config-interval", 500*time.Millisecond, "time between reads of the configuration on the readers of a data centre")
	flags.DurationVar(&target.ConfigFallbackInterval, "config-fallback-interval", 5*time.Second, "time between reads of the configuration on other hosts; 0 means 10 times --config-interval")
	flags.StringVar(&target.OperatorTLSCertificate, "operator-tls-certificate", "", "PEM file with the certificate of the operator API; empty turns TLS off")
	flags.StringVar(&target.OperatorTLSKey, "operator-tls-key", "", "PEM file with the key of that certificate")
	flags.DurationVar(&target.HostsInterval, "hosts-interval", time.Second, "time between reads of the host list")
	flags.DurationVar(&target.LoadInterval, "load-interval", time.Second, "mean time between reads of a backend server's load")
	flags.Float64Var(&target.LoadRate, "load-rate", 2, "reads of load of all backend servers in a second, at most; 0 means no bound")
	flags.IntVar(&target.RemoteServers, "remote-servers", 16, "backend servers of other data centres for each service that this host may use")
	flags.Uint64Var(&target.RandomSeed, "random-seed", 0, "seed of random choices; 0 draws one at start")
}

// ApplyEnvironment sets each flag that was not given on the command line from
// its environment variable.
func ApplyEnvironment(flags *pflag.FlagSet, prefix string, lookup func(string) (string, bool)) error {
	var problems []error
	flags.VisitAll(func(flag *pflag.Flag) {
		name := EnvironmentName(prefix, flag.Name)
		value, found := lookup(name)
		if flag.Changed || !found {
			return
		}
		if err := flags.Set(flag.Name, value); err != nil {
			problems = append(problems, Error.New("%s is invalid: %s", name, reasonOf(err)))
		}
	})
	return errors.Join(problems...)
}

// reasonOf drops the value, which may be a secret, from a flag error.
func reasonOf(err error) string {
	var inner error = err
	for errors.Unwrap(inner) != nil {
		inner = errors.Unwrap(inner)
	}
	text := inner.Error()
	if at := strings.LastIndex(text, ": "); at >= 0 {
		return text[at+2:]
	}
	return "it has the wrong form"
}

// EnvironmentName returns the environment variable of a flag.
func EnvironmentName(prefix, flag string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Lookup reads the process's environment.
func Lookup(name string) (string, bool) { return os.LookupEnv(name) }

// Check returns one error that names every bad setting with its remedy.
func (s Settings) Check() error {
	var problems []error
	report := func(flag, message string) {
		problems = append(problems, Error.New("--%s (%s) %s", flag, EnvironmentName(EnvironmentPrefix, flag), message))
	}
	if s.HostID == "" {
		report("host-id", "is missing; set the id that the platform's host list shows for this host")
	}
	if s.DataCentre == "" {
		report("data-centre", "is missing; set the data centre of this host")
	}
	s.checkAddresses(report)
	if parsed, err := url.Parse(s.PlatformURL); err != nil || parsed.Host == "" {
		report("platform-url", "is not a URL; set it as in http://10.0.0.5:7000")
	}
	if s.PeerAddress != "" && s.PeerSecret == "" {
		report("peer-secret", "is missing; set the same secret on all entry hosts, or leave --peer-address empty")
	}
	if _, err := ParseCursorKeys(s.CursorKeys); err != nil {
		report("cursor-keys", "is invalid: "+err.Error())
	}
	if s.OperatorAddress != "" && len(s.OperatorTokens) == 0 {
		report("operator-tokens", "is missing; set at least one token, or leave --operator-address empty")
	}
	if (s.OperatorTLSCertificate == "") != (s.OperatorTLSKey == "") {
		report("operator-tls-key", "and --operator-tls-certificate belong together; set both or neither")
	}
	if s.LogFormat != "json" && s.LogFormat != "text" {
		report("log-format", "must be json or text")
	}
	if err := new(slog.Level).UnmarshalText([]byte(s.LogLevel)); err != nil {
		report("log-level", "must be debug, info, warn or error")
	}
	s.checkDurations(report)
	return errors.Join(problems...)
}

func (s Settings) checkAddresses(report func(flag, message string)) {
	addresses := []struct {
		flag, value string
		required    bool
	}{
		{"caller-address", s.CallerAddress, true},
		{"peer-address", s.PeerAddress, false},
		{"operator-address", s.OperatorAddress, false},
	}
	for _, address := range addresses {
		if address.value == "" && !address.required {
			continue
		}
		host, _, err := net.SplitHostPort(address.value)
		if err != nil || net.ParseIP(host) == nil {
			report(address.flag, "must be an IP address and a port, as in 10.0.0.7:8080")
		}
	}
}

func (s Settings) checkDurations(report func(flag, message string)) {
	durations := []struct {
		flag     string
		value    time.Duration
		low, top time.Duration
	}{
		{"drain-timeout", s.DrainTimeout, time.Second, 24 * time.Hour},
		{"config-interval", s.ConfigInterval, 10 * time.Millisecond, time.Minute},
		{"config-fallback-interval", s.ConfigFallbackInterval, 0, time.Minute},
		{"hosts-interval", s.HostsInterval, 10 * time.Millisecond, time.Minute},
		{"load-interval", s.LoadInterval, 10 * time.Millisecond, time.Minute},
	}
	for _, duration := range durations {
		if duration.value < duration.low || duration.value > duration.top {
			report(duration.flag, fmt.Sprintf("must be between %s and %s", duration.low, duration.top))
		}
	}
}

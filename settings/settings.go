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

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// EnvironmentPrefix starts the name of the environment variable of each flag.
const EnvironmentPrefix = "LENTILPOINT_"

// Secret is a setting that logs and error messages must not contain.
type Secret string

// String returns a placeholder for a secret, or nothing for an empty one.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "[hidden]"
}

// LogValue returns the placeholder for structured logs.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Settings are the settings of one entry host. Check validates them.
type Settings struct {
	// HostID is the id of this entry host in the platform's host list.
	HostID     string
	DataCentre string
	// CallerAddress, PeerAddress and OperatorAddress are the IP addresses and ports
	// to listen on. An empty PeerAddress or OperatorAddress turns that listener off.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// PlatformURL is the base URL of the platform's store.
	PlatformURL string
	// CursorKeys are the keys that authenticate resume cursors, as id=hex, newest first.
	CursorKeys []string
	// PeerSecret is shared by all entry hosts and authenticates them to each other.
	PeerSecret Secret
	// OperatorTokens are the bearer tokens that the operator API accepts, as token
	// or name=token. The name is recorded as the author of changes.
	OperatorTokens []string
	LogFormat      string
	LogLevel       string
	// DrainTimeout is the longest wait for open requests during a graceful shutdown.
	DrainTimeout time.Duration
	// OperatorTLSCertificate and OperatorTLSKey name PEM files of the operator API;
	// if both are empty, it is served without TLS.
	OperatorTLSCertificate string
	OperatorTLSKey         string
	// ConfigInterval is the time between reads of the configuration on the reader
	// hosts of a data centre.
	ConfigInterval time.Duration
	// ConfigFallbackInterval is the time between reads of the configuration on the
	// other hosts, which receive revisions from peers; 0 means 10 times ConfigInterval.
	ConfigFallbackInterval time.Duration
	// HostsInterval is the time between reads of the host list.
	HostsInterval time.Duration
	// LoadInterval is the mean time between reads of one backend server's load.
	LoadInterval time.Duration
	// LoadRate is the most load reads per second over all backend servers; 0 means
	// no limit.
	LoadRate float64
	// RemoteServers is the most backend servers of other data centres that this host
	// uses for each service.
	RemoteServers int
	// RandomSeed seeds random choices; 0 means that a seed is drawn at start.
	RandomSeed uint64
	// MachineMemoryMB and MachineDescriptors are those of the machine, or 0 if they are not
	// stated.
	MachineMemoryMB    int
	MachineDescriptors int
	// Callers bounds what callers may take of the machine.
	Callers CallerBounds
}

// RegisterFlags adds a flag with its default for each setting to the set. Parsing the
// flags stores their values in target.
func RegisterFlags(flags *pflag.FlagSet, target *Settings) {
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
	flags.IntVar(&target.MachineMemoryMB, "memory-mb", 0, "MB of memory of the machine, from which bounds for callers are derived; 0 assumes 1000 and sets no limit for the process")
	flags.IntVar(&target.MachineDescriptors, "max-descriptors", 0, "descriptors of the machine, from which bounds for callers are derived; 0 assumes 4096")
	target.Callers.RegisterFlags(flags)
	flags.Uint64Var(&target.RandomSeed, "random-seed", 0, "seed of random choices; 0 draws one at start")
}

// ApplyEnvironment sets each flag that the command line does not set from its
// environment variable, if there is one. It reports all invalid values at once.
func ApplyEnvironment(flags *pflag.FlagSet, prefix string, lookup func(string) (string, bool)) error {
	var problems []error
	flags.VisitAll(func(flag *pflag.Flag) {
		name := EnvironmentName(prefix, flag.Name)
		value, found := lookup(name)
		if flag.Changed || !found {
			return
		}
		if err := flags.Set(flag.Name, value); err != nil {
			problems = append(problems, Error.New("%s is invalid: %s", name, causeWithoutValue(err)))
		}
	})
	return errors.Join(problems...)
}

// causeWithoutValue returns the innermost cause of a flag error without the flag's
// value, which may be a secret.
func causeWithoutValue(err error) string {
	var cause error = err
	for errors.Unwrap(cause) != nil {
		cause = errors.Unwrap(cause)
	}
	text := cause.Error()
	if separator := strings.LastIndex(text, ": "); separator >= 0 {
		return text[separator+2:]
	}
	return "it has the wrong form"
}

// EnvironmentName returns the name of the environment variable of a flag.
func EnvironmentName(prefix, flag string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// LookupEnvironment reads a variable of the process's environment, as os.LookupEnv does.
func LookupEnvironment(name string) (string, bool) { return os.LookupEnv(name) }

const (
	// minMemoryMB is twice of what a process takes without callers, and minDescriptors
	// leaves some for sockets beside the 200 for files.
	minMemoryMB    = 64
	minDescriptors = 256
)

// flagError returns the error for a bad flag.
func flagError(flag, message string) error {
	return Error.New("--%s (%s) %s", flag, EnvironmentName(EnvironmentPrefix, flag), message)
}

// Limits returns the bounds of what callers may take of the machine.
func (s Settings) Limits() memory.Limits {
	return s.Callers.Limits(s.machine())
}

func (s Settings) machine() memory.Limits {
	return memory.Limits{Memory: int64(s.MachineMemoryMB) * 1e6, Descriptors: s.MachineDescriptors}
}

// Check validates the settings. Its error names every bad setting and the remedy.
func (s Settings) Check() error {
	var problems []error
	report := func(flag, message string) { problems = append(problems, flagError(flag, message)) }
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
	if s.MachineMemoryMB != 0 && s.MachineMemoryMB < minMemoryMB {
		report("memory-mb", fmt.Sprintf("must be %d or more, or 0", minMemoryMB))
	}
	if s.MachineDescriptors != 0 && s.MachineDescriptors < minDescriptors {
		report("max-descriptors", fmt.Sprintf("must be %d or more, or 0", minDescriptors))
	}
	problems = append(problems, s.Callers.Check(s.machine()))
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
		flag             string
		value            time.Duration
		minimum, maximum time.Duration
	}{
		{"drain-timeout", s.DrainTimeout, time.Second, 24 * time.Hour},
		{"config-interval", s.ConfigInterval, 10 * time.Millisecond, time.Minute},
		{"config-fallback-interval", s.ConfigFallbackInterval, 0, time.Minute},
		{"hosts-interval", s.HostsInterval, 10 * time.Millisecond, time.Minute},
		{"load-interval", s.LoadInterval, 10 * time.Millisecond, time.Minute},
	}
	for _, duration := range durations {
		if duration.value < duration.minimum || duration.value > duration.maximum {
			report(duration.flag, fmt.Sprintf("must be between %s and %s", duration.minimum, duration.maximum))
		}
	}
}

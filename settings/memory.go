package settings

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/pflag"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// CallerBounds are the settings that bound what clients may take of a host. They apply to
// the daemon and to its relay command.
type CallerBounds struct {
	// Connections and MemoryMB are derived from the machine if they are 0.
	Connections int
	MemoryMB    int
	HeadLines   int
	// BodyRate is in bytes per second.
	BodyRate  int64
	StallTime time.Duration
}

// RegisterFlags adds a flag with its default for each bound to the set.
func (b *CallerBounds) RegisterFlags(flags *pflag.FlagSet) {
	flags.IntVar(&b.Connections, "max-caller-connections", 0, "open connections of callers, beyond which those without a request are closed; 0 derives it from descriptors and memory")
	flags.IntVar(&b.MemoryMB, "caller-memory-mb", 0, "MB for large heads and bodies of requests; 0 means 15 % of the memory of the machine")
	flags.IntVar(&b.HeadLines, "max-head-lines", memory.DefaultHeadLines, "lines of a request's head; builds with Go 1.27 or later take no more than 500")
	flags.Int64Var(&b.BodyRate, "min-body-rate", memory.DefaultBodyRate, "bytes per second below which a body gives way when others need its memory")
	flags.DurationVar(&b.StallTime, "body-stall-time", memory.DefaultStallTime, "time without progress after which a body gives way when others need its memory")
}

// Check validates the bounds for a machine. Its error names every bad one and the remedy.
func (b *CallerBounds) Check(machine memory.Limits) error {
	var problems []error
	// The rest is for the process itself, for connections and for garbage.
	largestMB := machine.Complete().Memory / 2e6
	for _, bound := range []struct {
		flag                    string
		value, minimum, maximum int64
		unit                    string
		derived                 bool
	}{
		{"max-caller-connections", int64(b.Connections), 16, 1 << 20, "", true},
		{"caller-memory-mb", int64(b.MemoryMB), 1, largestMB, " MB, half of the memory of the machine", true},
		{"max-head-lines", int64(b.HeadLines), 50, 1 << 16, " lines", false},
		{"min-body-rate", b.BodyRate, 1, 1 << 30, " bytes per second", false},
		{"body-stall-time", b.StallTime.Milliseconds(), 100, time.Minute.Milliseconds(), " ms", false},
	} {
		if bound.derived && bound.value == 0 || bound.minimum <= bound.value && bound.value <= bound.maximum {
			continue
		}
		message := fmt.Sprintf("must be between %d and %d%s", bound.minimum, bound.maximum, bound.unit)
		if bound.derived {
			message += ", or 0 to derive it"
		}
		problems = append(problems, flagError(bound.flag, message))
	}
	return errors.Join(problems...)
}

// Limits returns the limits of a machine with these bounds.
func (b *CallerBounds) Limits(machine memory.Limits) memory.Limits {
	machine.Connections, machine.Budget, machine.HeadLines = b.Connections, int64(b.MemoryMB)*1e6, b.HeadLines
	machine.BodyRate, machine.StallTime = b.BodyRate, b.StallTime
	return machine.Complete()
}

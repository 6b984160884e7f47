package settings_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/pflag"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("settings", func() {
	It("names every bad setting in one error, so that an operator can correct all of them at once", func() {
		err := settings.Settings{LogFormat: "xml", LogLevel: "info"}.Check()
		for _, flag := range []string{"--host-id", "--data-centre", "--caller-address", "--platform-url", "--log-format", "--drain-timeout"} {
			Expect(err).To(MatchError(ContainSubstring(flag)))
		}
		Expect(err).NotTo(MatchError(ContainSubstring("--log-level")))
	})

	It("names every bad bound for callers, so that a host does not start without one", func() {
		bounds := settings.CallerBounds{Connections: 3, MemoryMB: 100, HeadLines: 1, StallTime: time.Second}
		err := bounds.Check(memory.Limits{Memory: 144_000_000})
		for _, flag := range []string{"--max-caller-connections", "--caller-memory-mb", "--max-head-lines", "--min-body-rate"} {
			Expect(err).To(MatchError(ContainSubstring(flag)))
		}
		Expect(err).NotTo(MatchError(ContainSubstring("--body-stall-time")))
	})

	It("rejects a TLS certificate without its key, which would leave the operator API without TLS or not served", func() {
		err := settings.Settings{OperatorTLSCertificate: "cert.pem"}.Check()
		Expect(err).To(MatchError(ContainSubstring("--operator-tls-key")))
	})

	It("uses a flag rather than its environment variable", func() {
		var values settings.Settings
		flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
		settings.RegisterFlags(flags, &values)
		Expect(flags.Parse([]string{"--host-id", "from-flag"})).To(Succeed())
		environment := map[string]string{"LENTILPOINT_HOST_ID": "from-environment", "LENTILPOINT_DATA_CENTRE": "jkt"}
		lookup := func(name string) (string, bool) { value, found := environment[name]; return value, found }
		Expect(settings.ApplyEnvironment(flags, settings.EnvironmentPrefix, lookup)).To(Succeed())
		Expect(values.HostID).To(Equal("from-flag"))
		Expect(values.DataCentre).To(Equal("jkt"))
	})

	It("never shows a secret in a log or error", func() {
		Expect(settings.Secret("hunter2").String()).NotTo(ContainSubstring("hunter2"))
	})
})

var _ = Describe("the settings page", func() {
	It("equals docs/operators/settings.md, which would otherwise mislead operators", func() {
		page, err := os.ReadFile("../docs/operators/settings.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(settings.Page()), "run: go run ./cmd/lentilpoint-bench pages")
	})
})

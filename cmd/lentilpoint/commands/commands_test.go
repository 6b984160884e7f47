package commands_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint/commands"
	"github.com/lentilpoint/lentilpoint/settings"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

const token = "s3cret"

// result is the exit code and the output of one run of the command line.
type result struct {
	code     int
	out, err string
}

func runWith(environment map[string]string, input string, arguments ...string) result {
	var out, errors bytes.Buffer
	code := commands.Run(context.Background(), arguments, commands.Streams{
		In: strings.NewReader(input), Out: &out, Err: &errors,
		LookupEnvironment: func(name string) (string, bool) { value, found := environment[name]; return value, found },
	})
	return result{code: code, out: out.String(), err: errors.String()}
}

func startCluster(hosts int) (*cluster.Cluster, map[string]string) {
	GinkgoHelper()
	c, err := cluster.Start(context.Background(), cluster.Options{Seed: 1, EntryHosts: hosts, Settings: func(values *settings.Settings) {
		values.OperatorAddress = "127.0.0.1:0"
		values.OperatorTokens = []string{"maria=" + token}
	}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Stop)
	return c, map[string]string{
		"LENTILPOINT_CLI_SERVER": "http://127.0.0.1:1,http://" + c.Hosts[0].OperatorAddress(),
		"LENTILPOINT_CLI_TOKEN":  token,
	}
}

var _ = Describe("the command line", Ordered, func() {
	var c *cluster.Cluster
	var environment map[string]string
	run := func(arguments ...string) result { return runWith(environment, "", arguments...) }
	succeed := func(arguments ...string) result {
		GinkgoHelper()
		r := run(arguments...)
		Expect(r.code).To(Equal(commands.ExitDone), r.err)
		return r
	}

	BeforeAll(func() { c, environment = startCluster(1) })

	It("tries the next server when one does not answer", func() {
		Expect(succeed("status").out).To(ContainSubstring("entry-0"))
		Expect(succeed("config", "status").out).To(ContainSubstring("in force"))
	})

	It("adds and removes an organisation, and stores only the digest of its API key", func() {
		var added struct{ Keys []struct{ Key string } }
		Expect(json.Unmarshal([]byte(succeed("organisations", "add", "stalls", "--weight", "3", "--output", "json").out), &added)).To(Succeed())
		shown := succeed("config", "show", "--output", "yaml").out
		Expect(shown).To(ContainSubstring("stalls"))
		Expect(shown).NotTo(ContainSubstring(added.Keys[0].Key))
		history := succeed("config", "history")
		Expect(history.out).To(MatchRegexp(`maria\s+put organisation stalls`))
		Expect(run("organisations", "add", "stalls").code).To(Equal(commands.ExitInvalid))
		Expect(runWith(environment, "n\n", "organisations", "remove", "stalls").code).To(Equal(commands.ExitUsage))
		Expect(runWith(environment, "y\n", "organisations", "remove", "stalls").code).To(Equal(commands.ExitDone))
		Expect(succeed("organisations", "list").out).NotTo(ContainSubstring("stalls"))
	})

	It("submits a questionnaire as one revision, and no revision when it is repeated", func() {
		file := "../../../examples/bubblewell.yaml"
		before := len(c.Platform.Rows("config/rev/"))
		first := succeed("questionnaire", "--file", file, "--yes")
		Expect(first.err).To(ContainSubstring("because callers wait this long for a whole answer"))
		Expect(strings.Count(first.out, "lp-")).To(Equal(10))
		Expect(c.Platform.Rows("config/rev/")).To(HaveLen(before + 1))
		Expect(succeed("questionnaire", "--file", file, "--yes").err).To(ContainSubstring("already equals"))
		Expect(c.Platform.Rows("config/rev/")).To(HaveLen(before + 1))
	})

	It("reports every problem of a questionnaire file and changes nothing", func() {
		file := filepath.Join(GinkgoT().TempDir(), "bad.yaml")
		Expect(os.WriteFile(file, []byte("team: x\nprefer: both\ncallers: {deadline: soon}\n"), 0o600)).To(Succeed())
		r := run("config", "check", file)
		Expect(r.code).To(Equal(commands.ExitInvalid))
		for _, answer := range []string{"prefer", "callers.deadline", "callers.sites", "organisations", "services"} {
			Expect(r.err).To(ContainSubstring("\n  " + answer + ": "))
		}
	})

	It("asks the questions in the terminal", func() {
		answers := "tiny\njkt\n1\n3s\n1m\nsoap\n2\n0\nadvisor\nadvisor-v1\nno\n-\nfew_servers\ny\n"
		r := runWith(environment, answers, "questionnaire")
		Expect(r.code).To(Equal(commands.ExitDone), r.err)
		Expect(r.out).To(ContainSubstring("soap"))
		Expect(succeed("services", "show", "advisor").out).To(ContainSubstring("1m0s"))
	})

	It("starts a move only once when the command is repeated, cancels it and explains it", func() {
		arguments := []string{"moves", "start", "advisor", "--to", "advisor-v2", "--deadline", "2h", "--id", "m1"}
		succeed(arguments...)
		succeed(arguments...)
		Expect(run("moves", "start", "advisor", "--to", "advisor-v3", "--deadline", "2h").code).To(Equal(commands.ExitInvalid), "a second move of the service")
		succeed("moves", "cancel", "m1")
		Expect(run("moves", "cancel", "m1").code).To(Equal(commands.ExitConflict))
		Expect(run("moves", "show", "none").code).To(Equal(commands.ExitNotFound))
		Expect(succeed("moves", "list", "--output", "json").out).To(ContainSubstring("cancelled by maria"))
		page := succeed("explain", "move", "m1").out
		Expect(page).To(ContainSubstring("was withdrawn: cancelled by maria"))
		Expect(page).To(ContainSubstring("maria committed revision"))
		Expect(succeed("explain", "move", "m1", "--output", "html").out).To(ContainSubstring("<svg"))
		Expect(succeed("events", "--since", "5m").out).To(ContainSubstring("revision committed"))
	})

	It("watches a move until it ends and reports a withdrawn one by the exit code", func() {
		watched := make(chan result, 1)
		go func() {
			watched <- run("moves", "start", "advisor", "--to", "advisor-v2", "--deadline", "2h", "--id", "m2", "--watch")
		}()
		Eventually(func() string { return run("moves", "list").out }, "2s").Should(ContainSubstring("m2"))
		succeed("moves", "cancel", "m2")
		var r result
		Eventually(watched, "5s").Should(Receive(&r))
		Expect(r.code).To(Equal(commands.ExitWithdrawn), r.err)
		Expect(r.out).To(ContainSubstring("cancelled by maria"))
	})

	It("has an exit code for each kind of error", func() {
		Expect(run("status", "--token", "wrong").code).To(Equal(commands.ExitUnauthorised))
		Expect(run("services", "show").code).To(Equal(commands.ExitUsage))
		Expect(run("services", "shwo").code).To(Equal(commands.ExitUsage))
		Expect(run("status", "--server", "http://127.0.0.1:1").code).To(Equal(commands.ExitUnavailable))
		Expect(run("moves", "start", "advisor", "--to", "v", "--deadline", "yesterday").code).To(Equal(commands.ExitUsage))
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
		DeferCleanup(c.Platform.SetFaults, standin.PlatformFaults{})
		Expect(run("organisations", "add", "late", "--timeout", "2s").code).To(Equal(commands.ExitUnavailable))
	})
})

package series

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSeries(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "series")
}

var _ = Describe("the name of a series", func() {
	// Guards against a panic of the metrics library, which would end the task that
	// counts, and against values that forge another line.
	DescribeTable("is valid for any value of a label",
		func(value, quoted string) {
			name := Name("requests_total", "service", value, "outcome", "ok")
			Expect(name).To(Equal(`requests_total{service="` + quoted + `",outcome="ok"}`))
			Expect(metrics.ValidateMetric(name)).To(Succeed())
			set := metrics.NewSet()
			set.GetOrCreateCounter(name).Inc()
			var exposed bytes.Buffer
			set.WritePrometheus(&exposed)
			Expect(exposed.String()).To(Equal(name + " 1\n"))
		},
		Entry("a plain name", "shop", "shop"),
		Entry("no text", "", ""),
		Entry("a quote", `sh"op`, `sh\"op`),
		Entry("a backslash at the end", `shop\`, `shop\\`),
		Entry("a backslash and a quote", `shop\"`, `shop\\\"`),
		Entry("line breaks", "sh\nop\r\n", "sh\\nop\r\\n"),
		Entry("braces and commas", `a",b="c"} 7`, `a\",b=\"c\"} 7`),
		Entry("bytes that are no text", "sh\xffop\x00", "sh\uFFFDop\x00"),
	)

	It("has no braces without labels", func() {
		Expect(Name("requests_total")).To(Equal("requests_total"))
	})
})

// Guards against names that are built elsewhere with a value of a configuration. The
// ingress may build its own: the values of its labels are constants of the code.
var _ = Describe("the sources of the relay", func() {
	It("build names with labels only here", func() {
		concatenated := regexp.MustCompile("GetOrCreate[A-Za-z]+\\([^)]*=\"` *\\+")
		for _, root := range []string{"..", "../../../platform"} {
			Expect(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
				if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || filepath.Base(filepath.Dir(path)) == "ingress" {
					return err
				}
				content, err := os.ReadFile(path)
				Expect(concatenated.FindString(string(content))).To(BeEmpty(), path)
				return err
			})).To(Succeed())
		}
	})
})

// FuzzName guards against values for which the metrics library panics.
func FuzzName(f *testing.F) {
	f.Add(`shop\`)
	f.Add("a\"\n")
	f.Fuzz(func(t *testing.T, value string) {
		if err := metrics.ValidateMetric(Name("m", "l", value, "k", value)); err != nil {
			t.Fatalf("%q: %v", value, err)
		}
	})
}

package model_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

// reasonValues returns the values of the Reason constants in errors.go.
func reasonValues() []model.Reason {
	GinkgoHelper()
	file, err := parser.ParseFile(token.NewFileSet(), "errors.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var reasons []model.Reason
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" {
			literal := spec.Values[0].(*ast.BasicLit)
			reasons = append(reasons, model.Reason(strings.Trim(literal.Value, `"`)))
		}
		return true
	})
	return reasons
}

var _ = Describe("the catalogue of reasons", func() {
	It("has an entry for every reason, so that operators find an action for each refusal", func() {
		var listed []model.Reason
		for _, entry := range model.ReasonCatalogue() {
			listed = append(listed, entry.Reason)
		}
		Expect(listed).To(ConsistOf(reasonValues()))
	})

	It("equals docs/operators/incidents.md", func() {
		page, err := os.ReadFile("../docs/operators/incidents.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(model.IncidentsPage()), "run: go run ./cmd/lentilpoint-bench pages")
	})
})

package check_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
)

var _ = Describe("the check of refusals", func() {
	It("counts a generation that was refused as not run but ran, and no other", func() {
		ran := map[check.Refusal]bool{{PromptHash: 1, Seed: 1}: true}
		Expect(check.Refusals([]check.Refusal{{PromptHash: 1, Seed: 2}}, ran)).To(BeEmpty())
		Expect(check.Refusals([]check.Refusal{{PromptHash: 1, Seed: 1}}, ran)).To(HaveKeyWithValue(check.FalseNotRun, 1))
	})
})

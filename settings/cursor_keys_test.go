package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/settings"
)

var _ = Describe("cursor keys", func() {
	It("keep their order, because the first key signs new cursors", func() {
		keys, err := settings.ParseCursorKeys([]string{"new=000102030405060708090a0b0c0d0e0f", "old=0f0e0d0c0b0a09080706050403020100"})
		Expect(err).NotTo(HaveOccurred())
		Expect(keys[0].ID).To(Equal("new"))
		Expect(keys[1].Key[0]).To(Equal(byte(15)))
	})

	DescribeTable("are rejected with an error that does not contain them", func(values ...string) {
		_, err := settings.ParseCursorKeys(values)
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("0102"))
	},
		Entry("no id", "000102030405060708090a0b0c0d0e0f"),
		Entry("too short", "a=0001020304"),
		Entry("not hexadecimal", "a=zz0102030405060708090a0b0c0d0e0f"),
		Entry("an id with a character that cursors do not allow", "a.b=000102030405060708090a0b0c0d0e0f"),
		Entry("the same id twice", "a=000102030405060708090a0b0c0d0e0f", "a=000102030405060708090a0b0c0d0e0f"),
	)
})

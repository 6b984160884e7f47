package standin

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// TestCrashTokenIsReserved guards against other words or generated tokens that have
// the id of the crash token and so crash engines. This ended 18 answers of the
// scenario engine-death with seed 6.
func TestCrashTokenIsReserved(t *testing.T) {
	if !slices.Equal(Tokenize("a "+CrashWord), []enginewire.TokenID{Tokenize("a")[0], crashToken}) {
		t.Fatal("CrashWord was not tokenized as crashToken")
	}
	for i := range 200_000 {
		if Tokenize(fmt.Sprintf("word%d", i))[0] == crashToken || NextToken(uint64(i), 1, "v") == crashToken {
			t.Fatalf("word%[1]d, or the token generated from context %[1]d, has the id of crashToken", i)
		}
	}
}

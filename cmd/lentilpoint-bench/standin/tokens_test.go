package standin

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// TestCrashTokenIsReserved guards against ordinary words or generated tokens
// that crash engines: engine-death with seed 6 ended 18 answers that way.
func TestCrashTokenIsReserved(t *testing.T) {
	if !slices.Equal(Tokenize("a "+CrashWord), []enginewire.TokenID{Tokenize("a")[0], crashToken}) {
		t.Fatal("the crash word does not have the crash token")
	}
	for i := range 200_000 {
		if Tokenize(fmt.Sprintf("word%d", i))[0] == crashToken || NextToken(uint64(i), 1, "v") == crashToken {
			t.Fatalf("draw %d has the crash token", i)
		}
	}
}

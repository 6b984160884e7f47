package backends

import (
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

func TestBackends(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backends")
}

// TestPlainChunkProperty guards against a fast path that reads a chunk
// differently from encoding/json, whatever its text.
func TestPlainChunkProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.StringMatching(`[ a-z0-9é]{0,12}`), rapid.String()).Draw(t, "text")
		choice := enginewire.Choice{
			TokenIDs:     rapid.SliceOfN(rapid.Int32(), 0, 6).Draw(t, "ids"),
			FinishReason: rapid.SampledFrom([]string{"", "stop"}).Draw(t, "finish"),
		}
		if rapid.Bool().Draw(t, "chat") {
			choice.Delta = &enginewire.Delta{Role: "assistant", Content: text}
		} else {
			choice.Text = text
		}
		content, _ := json.Marshal(enginewire.Chunk{ID: "x", Choices: []enginewire.Choice{choice}})
		want := StreamEvent{Tokens: chunkTokens(choice.TokenIDs, choice.Content()), Finish: choice.FinishReason}
		got, failure := decodeChunk(content)
		if failure != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%s gave %v %v, want %v", content, got, failure, want)
		}
		if event, plain := decodePlainChunk(content); plain && !reflect.DeepEqual(event, want) {
			t.Fatalf("the fast path read %s as %v", content, event)
		}
	})
}

// TestDamagedChunkProperty guards against a fast path that accepts a chunk
// which encoding/json refuses.
func TestDamagedChunkProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := []byte(`{"id":"x","created":17,"choices":[{"index":0,"text":"w 1","token_ids":[12,-3],"finish_reason":null}]}`)
		at := rapid.IntRange(0, len(content)-1).Draw(t, "at")
		content[at] = rapid.SampledFrom([]byte(`{}[]",:0\ x-`)).Draw(t, "character")
		event, plain := decodePlainChunk(content)
		if !plain {
			return
		}
		var chunk enginewire.Chunk
		if err := json.Unmarshal(content, &chunk); err != nil {
			t.Fatalf("%s was read as %v, but is refused with %v", content, event, err)
		}
		if len(chunk.Choices) > 0 && !reflect.DeepEqual(event.Tokens, chunkTokens(chunk.Choices[0].TokenIDs, chunk.Choices[0].Content())) {
			t.Fatalf("%s was read as %v", content, event)
		}
	})
}

var _ = Describe("the event reader", func() {
	It("joins split reads, several data lines and long lines, and skips other fields", func() {
		long := strings.Repeat("x", 3*eventReaderBytes)
		input := ": hello\n\nid: 1\r\ndata: a\r\ndata:b\r\n\r\nevent: e\ndata: " + long + "\n\n\ndata: cut"
		reader := newEventReader(iotest.OneByteReader(strings.NewReader(input)))
		first, err := reader.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first)).To(Equal("a\nb"))
		second, err := reader.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(second) == long).To(BeTrue())
		_, err = reader.next()
		Expect(err).To(Equal(io.EOF))
	})

	It("refuses an event without end, which would fill the memory", func() {
		reader := newEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes)))
		_, err := reader.next()
		Expect(err).To(MatchError(ContainSubstring("longer than")))
	})
})

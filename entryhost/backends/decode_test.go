package backends

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestBackends(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backends")
}

// TestChunkProperty guards against a decoder that reads a chunk differently from
// encoding/json, whatever its text.
func TestChunkProperty(t *testing.T) {
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
		got, failure := decodeChunk(string(content))
		if failure != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%s gave %v %v, want %v", content, got, failure, want)
		}
	})
}

// TestDamagedChunkProperty guards against a decoder that accepts a chunk which
// encoding/json refuses.
func TestDamagedChunkProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := []byte(`{"id":"x","created":17,"choices":[{"index":0,"text":"w 1","token_ids":[12,-3],"finish_reason":null}]}`)
		at := rapid.IntRange(0, len(content)-1).Draw(t, "at")
		content[at] = rapid.SampledFrom([]byte(`{}[]",:0\ x-`)).Draw(t, "character")
		event, failure := decodeChunk(string(content))
		if failure != nil {
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

// chunkStream returns a stream task and an engine's response with this body.
func chunkStream(content string) (*streamTask, *http.Response) {
	events := task.NewMailbox[StreamEvent](16)
	stream := &streamTask{open: OpenStream{Context: context.Background(), Events: events}}
	body := io.NopCloser(iotest.HalfReader(strings.NewReader(content)))
	return stream, &http.Response{Header: http.Header{}, Body: body}
}

var _ = Describe("the events of a stream", func() {
	token := `data: {"choices":[{"index":0,"text":"a","token_ids":[1]}]}` + "\n\n"
	last := `data: {"choices":[{"index":0,"text":"b","token_ids":[2],"finish_reason":"stop"}]}` + "\n\n"

	It("are read across split reads and comments to the end mark", func() {
		stream, response := chunkStream(": hello\n\n" + token + last + "data: [DONE]\n\n")
		Expect(stream.forwardEvents(response)).To(BeNil())
		Expect(stream.open.Events.Len()).To(Equal(2))
	})

	It("are broken when the body ends cleanly but early, which would lose tokens", func() {
		stream, response := chunkStream(token)
		Expect(stream.forwardEvents(response).Kind).To(Equal(FailureBroken))
	})

	It("are broken when the end mark comes without a finish reason", func() {
		stream, response := chunkStream(token + "data: [DONE]\n\n")
		Expect(stream.forwardEvents(response).Kind).To(Equal(FailureBroken))
	})

	It("are broken by an event beyond maxEventBytes, which could exhaust memory", func() {
		stream, response := chunkStream("data: " + strings.Repeat("x", 2*maxEventBytes))
		Expect(stream.forwardEvents(response).Kind).To(Equal(FailureBroken))
	})
})

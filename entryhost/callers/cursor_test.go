package callers

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers")
}

var (
	oldKey = settings.CursorKey{ID: "a", Key: []byte("0123456789abcdef")}
	newKey = settings.CursorKey{ID: "b", Key: []byte("fedcba9876543210")}
)

func drawStream(t *rapid.T) (cursorStream, requests.Mark) {
	text := rapid.StringN(0, 20, 60)
	stream := cursorStream{
		binding: bindCursor(model.OrganisationID(text.Draw(t, "organisation")), "/v1/completions", []byte(text.Draw(t, "body"))),
		seed:    rapid.Int64().Draw(t, "seed"),
		version: model.Version(text.Draw(t, "version")),
		source: requests.StreamSource{
			Server: model.ServerID(text.Draw(t, "server")), Stream: text.Draw(t, "stream"),
			Base: rapid.IntRange(0, 1<<20).Draw(t, "base"),
		},
	}
	mark := requests.Mark{Position: rapid.IntRange(0, 1<<20).Draw(t, "position"), Hash: rapid.Uint64().Draw(t, "hash")}
	return stream, mark
}

// TestCursorProperty guards against a cursor that loses part of its content,
// and against accepting a cursor in which any character was changed.
func TestCursorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cursors := NewCursors([]settings.CursorKey{newKey, oldKey})
		stream, mark := drawStream(t)
		text := string(cursors.newWriter(stream).append(nil, mark))
		readStream, readMark, fault := cursors.verify(text, stream.binding)
		if fault != nil || readStream != stream || readMark != mark {
			t.Fatalf("read %v %v %v, want %v %v", readStream, readMark, fault, stream, mark)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "changed at")
		forged := []byte(text)
		forged[at] = rapid.SampledFrom([]byte("abZ09-_.")).Draw(t, "character")
		if string(forged) == text {
			return
		}
		_, _, fault = cursors.verify(string(forged), stream.binding)
		if fault == nil || fault.Reason != model.ReasonCursorInvalid || fault.Executed != model.ExecutedNo {
			t.Fatalf("a changed cursor gave %v", fault)
		}
	})
}

var _ = Describe("a cursor", func() {
	binding := bindCursor("bubbles", "/v1/completions", []byte(`{"a":1}`))
	issueCursor := func(keys ...settings.CursorKey) string {
		return string(NewCursors(keys).newWriter(cursorStream{binding: binding}).append(nil, requests.Mark{Position: 7}))
	}

	It("stays valid while its key is one of the older keys, and becomes invalid when the key is removed", func() {
		text := issueCursor(oldKey)
		_, _, fault := NewCursors([]settings.CursorKey{newKey, oldKey}).verify(text, binding)
		Expect(fault).To(BeNil())
		_, _, fault = NewCursors([]settings.CursorKey{newKey}).verify(text, binding)
		Expect(fault.Reason).To(Equal(model.ReasonCursorInvalid))
	})

	It("is refused when another key is used under the same id, which would accept forgeries", func() {
		forger := settings.CursorKey{ID: oldKey.ID, Key: newKey.Key}
		_, _, fault := NewCursors([]settings.CursorKey{oldKey}).verify(issueCursor(forger), binding)
		Expect(fault.Reason).To(Equal(model.ReasonCursorInvalid))
	})

	DescribeTable("is refused for another request than its own",
		func(organisation model.OrganisationID, path, body string) {
			_, _, fault := NewCursors([]settings.CursorKey{oldKey}).verify(issueCursor(oldKey), bindCursor(organisation, path, []byte(body)))
			Expect(fault.Reason).To(Equal(model.ReasonCursorMismatch))
			Expect(fault.Executed).To(Equal(model.ExecutedNo))
		},
		Entry("another organisation", model.OrganisationID("wands"), "/v1/completions", `{"a":1}`),
		Entry("another body", model.OrganisationID("bubbles"), "/v1/completions", `{"a": 1}`),
		Entry("another path", model.OrganisationID("bubbles"), "/v1/chat/completions", `{"a":1}`),
	)
})

// TestEventProperty guards against differences between the hand-written event
// encoder and encoding/json.
func TestEventProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		format := answerFormat{
			id: model.RequestID(rapid.String().Draw(t, "id")), model: rapid.String().Draw(t, "model"),
			created: 17, chat: rapid.Bool().Draw(t, "chat"), tokenIDs: true,
		}
		text := rapid.String().Draw(t, "text")
		update := requests.Update{
			Position: 3, Tokens: []backends.Token{{ID: 5}, {ID: -6, Text: text}},
			FinishReason: rapid.SampledFrom([]string{"", "stop"}).Draw(t, "finish"),
		}
		encoder := newEventEncoder(format, NewCursors([]settings.CursorKey{oldKey}), cursorStream{})
		lines := strings.Split(string(encoder.encodeUpdate(update)), "\n")
		var chunk completionChunk
		if err := json.Unmarshal([]byte(strings.TrimPrefix(lines[1], "data: ")), &chunk); err != nil {
			t.Fatal(err)
		}
		choice := completionChoice{TokenIDs: []enginewire.TokenID{5, -6}}
		if update.FinishReason != "" {
			choice.FinishReason = &update.FinishReason
		}
		object := "text_completion"
		if format.chat {
			object = "chat.completion.chunk"
			choice.Delta = &enginewire.Delta{Content: text}
		} else {
			choice.Text = &text
		}
		want, _ := json.Marshal(format.chunk(object, choice))
		got, _ := json.Marshal(chunk)
		if string(got) != string(want) {
			t.Fatalf("event is %s, want %s", got, want)
		}
	})
}

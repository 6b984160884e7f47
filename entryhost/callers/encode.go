package callers

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/model"
)

// eventEncoder encodes the events of one stream. Members that do not change
// are encoded once and the buffer is reused, because an entry host writes some
// 23,000 events each second.
type eventEncoder struct {
	format  answerFormat
	cursors Cursors
	stream  cursorStream
	source  *requests.Source
	cursor  *cursorWriter
	head    []byte
	buffer  []byte
}

func newEventEncoder(format answerFormat, cursors Cursors, stream cursorStream) *eventEncoder {
	object := "text_completion"
	if format.chat {
		object = "chat.completion.chunk"
	}
	head := append([]byte(nil), `data: {"id":`...)
	head = appendString(head, string(format.id))
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, format.created, 10)
	head = append(head, `,"model":`...)
	head = appendString(head, format.model)
	head = append(head, `,"choices":[{"index":0,`...)
	return &eventEncoder{format: format, cursors: cursors, stream: stream, head: head}
}

// update encodes one update as an event whose id is a cursor. The result is
// valid until the next call.
func (e *eventEncoder) update(update requests.Update) []byte {
	event := append(e.buffer[:0], "id: "...)
	mark := requests.Mark{Position: update.Position + len(update.Tokens), Hash: update.Hash}
	event = e.cursorFor(update).append(event, mark)
	event = append(event, '\n')
	event = append(event, e.head...)
	event = e.appendText(event, update.Tokens)
	if e.format.tokenIDs {
		event = appendTokenIDs(event, update.Tokens)
	}
	event = append(event, `,"finish_reason":`...)
	if update.Finish == "" {
		event = append(event, "null"...)
	} else {
		event = appendString(event, update.Finish)
	}
	event = append(event, "}]}\n\n"...)
	if update.Finish != "" {
		event = append(event, "data: "+enginewire.StreamEnd+"\n\n"...)
	}
	e.buffer = event
	return event
}

// cursorFor returns the cursor writer, renewed when the engine's stream changed.
func (e *eventEncoder) cursorFor(update requests.Update) *cursorWriter {
	if e.cursor != nil && e.source == update.Source && e.stream.version == update.Version {
		return e.cursor
	}
	e.source = update.Source
	e.stream.version = update.Version
	e.stream.source = requests.Source{}
	if update.Source != nil {
		e.stream.source = *update.Source
	}
	e.cursor = e.cursors.writer(e.stream)
	return e.cursor
}

func (e *eventEncoder) appendText(event []byte, tokens []backends.Token) []byte {
	text := joinText(tokens)
	if !e.format.chat {
		return appendString(append(event, `"text":`...), text)
	}
	event = append(event, `"delta":{`...)
	if text != "" {
		event = appendString(append(event, `"content":`...), text)
	}
	return append(event, '}')
}

func appendTokenIDs(event []byte, tokens []backends.Token) []byte {
	if len(tokens) == 0 {
		return event
	}
	event = append(event, `,"token_ids":[`...)
	for i, token := range tokens {
		if i > 0 {
			event = append(event, ',')
		}
		event = strconv.AppendInt(event, int64(token.ID), 10)
	}
	return append(event, ']')
}

// fault encodes an error as the last event; it carries no cursor, so that the
// caller's last one stays in use.
func (e *eventEncoder) fault(fault *model.Fault) ([]byte, error) {
	content, err := json.Marshal(errorBody(fault, e.format.id))
	event := append(e.buffer[:0], "data: "...)
	event = append(event, content...)
	return append(event, "\n\n"...), err
}

// appendString appends a JSON string; text that needs no escaping is copied.
func appendString(target []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf || c == '<' || c == '>' || c == '&' {
			return appendEscaped(target, text)
		}
	}
	target = append(target, '"')
	target = append(target, text...)
	return append(target, '"')
}

func appendEscaped(target []byte, text string) []byte {
	// A string always has a JSON encoding.
	content, _ := json.Marshal(text)
	return append(target, content...)
}

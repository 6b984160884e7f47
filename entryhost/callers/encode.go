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

// eventEncoder encodes the events of one stream. Constant members are encoded
// once and the buffer is reused, because an entry host writes about 23,000
// events per second.
type eventEncoder struct {
	format    answerFormat
	cursors   Cursors
	stream    cursorStream
	source    *requests.StreamSource
	writer    *cursorWriter
	eventHead []byte
	buffer    []byte
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
	return &eventEncoder{format: format, cursors: cursors, stream: stream, eventHead: head}
}

// encodeUpdate encodes an update as an event with a cursor as its id. The
// result is valid until the next call.
func (e *eventEncoder) encodeUpdate(update requests.Update) []byte {
	event := append(e.buffer[:0], "id: "...)
	mark := requests.Mark{Position: update.Position + len(update.Tokens), Hash: update.Hash}
	event = e.cursorWriterFor(update).append(event, mark)
	event = append(event, '\n')
	event = append(event, e.eventHead...)
	event = e.appendText(event, update.Tokens)
	if e.format.tokenIDs {
		event = appendTokenIDs(event, update.Tokens)
	}
	event = append(event, `,"finish_reason":`...)
	if update.FinishReason == "" {
		event = append(event, "null"...)
	} else {
		event = appendString(event, update.FinishReason)
	}
	event = append(event, "}]}\n\n"...)
	if update.FinishReason != "" {
		event = append(event, "data: "+enginewire.StreamEnd+"\n\n"...)
	}
	e.buffer = event
	return event
}

// cursorWriterFor returns the cursor writer of the update's engine stream. It
// creates a new one when the stream has changed.
func (e *eventEncoder) cursorWriterFor(update requests.Update) *cursorWriter {
	if e.writer != nil && e.source == update.Source && e.stream.version == update.Version {
		return e.writer
	}
	e.source = update.Source
	e.stream.version = update.Version
	e.stream.source = requests.StreamSource{}
	if update.Source != nil {
		e.stream.source = *update.Source
	}
	e.writer = e.cursors.newWriter(e.stream)
	return e.writer
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

// encodeFault encodes a fault as the last event. The event has no id, so that
// the caller's last cursor stays valid.
func (e *eventEncoder) encodeFault(fault *model.Fault) ([]byte, error) {
	content, err := json.Marshal(errorBody(fault, e.format.id))
	event := append(e.buffer[:0], "data: "...)
	event = append(event, content...)
	return append(event, "\n\n"...), err
}

// appendString appends a JSON string. Text that needs no escaping is copied.
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
	// Marshalling a string cannot fail.
	content, _ := json.Marshal(text)
	return append(target, content...)
}

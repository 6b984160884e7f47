package callers

import (
	"testing"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/settings"
)

// BenchmarkEvent measures encoding one event including its cursor.
func BenchmarkEvent(b *testing.B) {
	encoder := newEventEncoder(answerFormat{id: "request", model: "advisor", tokenIDs: true},
		NewCursors([]settings.CursorKey{oldKey}), cursorStream{seed: 1, version: "advisor-v1"})
	update := requests.Update{
		Tokens: []backends.Token{{ID: 4711, Text: " token"}}, Version: "advisor-v1",
		Source: &requests.StreamSource{Server: "engine-1", Stream: "engine-1-1-99"},
	}
	b.ReportAllocs()
	for b.Loop() {
		update.Position++
		encoder.encodeUpdate(update)
	}
}

// BenchmarkCursor measures encoding one cursor.
func BenchmarkCursor(b *testing.B) {
	writer := NewCursors([]settings.CursorKey{oldKey}).newWriter(cursorStream{seed: 1, version: "advisor-v1"})
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer = writer.append(buffer[:0], requests.Mark{Position: 7, Hash: 8})
	}
}

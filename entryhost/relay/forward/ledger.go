package forward

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ledger records what the caller has of a stream. It cuts the bytes of an
// attempt into events and accepts each event id once.
type ledger struct {
	codec   Codec
	pending []byte
	// last is the id of the last event that the caller has; 0 if it has none.
	last int64
}

// newLedger returns a ledger for a caller that has events up to lastEvent.
func newLedger(codec Codec, lastEvent string) (*ledger, error) {
	l := &ledger{codec: codec}
	if lastEvent == "" {
		return l, nil
	}
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil || last < 0 {
		return nil, Error.New("the id of the last event is not a whole number: %q", lastEvent)
	}
	l.last = last
	return l, nil
}

// restart drops a partial event, since the next attempt sends it again.
func (l *ledger) restart() { l.pending = nil }

// lastEvent is what the next attempt goes on after.
func (l *ledger) lastEvent() string {
	if l.last == 0 {
		return ""
	}
	return strconv.FormatInt(l.last, 10)
}

// take adds bytes of the attempt and returns the whole events that the caller
// has to get. An event that skips ids is an error: a piece is missing.
func (l *ledger) take(data []byte) ([][]byte, error) {
	l.pending = append(l.pending, data...)
	var events [][]byte
	for {
		end := eventEnd(l.pending)
		if end == 0 {
			if len(l.pending) > maxEventBytes {
				return events, Error.New("an event is longer than %d bytes", maxEventBytes)
			}
			return events, nil
		}
		event := bytes.Clone(l.pending[:end])
		l.pending = l.pending[end:]
		id := l.codec.EventID(event)
		switch {
		case id == 0:
			events = append(events, event)
		case id <= l.last:
			continue
		case id > l.last+1:
			return events, Error.New("event %d follows event %d", id, l.last)
		default:
			l.last = id
			events = append(events, event)
		}
	}
}

// whole reports whether the bytes so far end with a whole event.
func (l *ledger) whole() bool { return len(l.pending) == 0 }

// eventEnd returns the length of the first whole event, or 0.
func eventEnd(data []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.Index(data, separator); at >= 0 && (end == 0 || at+len(separator) < end) {
			end = at + len(separator)
		}
	}
	return end
}

package forward

import (
	"bytes"
	"strconv"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// maxEventBytes is the largest size of one event of a stream, and of all bytes
// between two new events. A faulty server may send comments or old events without
// end.
const maxEventBytes = 1 << 20

// maxPartialBytes has room for the bytes with which maxEventBytes are noticed.
const maxPartialBytes = maxEventBytes + 64<<10

// eventAssembler splits the bytes of a stream's attempts into events and returns
// each event id once, in order.
type eventAssembler struct {
	codec Codec
	// partial holds the bytes of an event that is not complete.
	partial *memory.Buffer
	// lastID is the id of the last event that the caller has; 0 if it has none.
	lastID int64
	// sinceProgress is the number of bytes since the last new event.
	sinceProgress int
}

// newEventAssembler returns an assembler for a caller that has the events up to
// lastEvent.
func newEventAssembler(codec Codec, lastEventID string, claimant memory.Claimant) (*eventAssembler, error) {
	a := &eventAssembler{codec: codec, partial: memory.NewBuffer(maxPartialBytes, claimant)}
	if lastEventID == "" {
		return a, nil
	}
	last, err := strconv.ParseInt(lastEventID, 10, 64)
	if err != nil || last < 0 {
		return nil, Error.New("the id of the last event is not a whole number: %q", lastEventID)
	}
	a.lastID = last
	return a, nil
}

// discardPartial drops an incomplete event, since the next attempt sends it
// again.
func (a *eventAssembler) discardPartial() {
	a.partial.Free()
	a.sinceProgress = 0
}

// lastEventID returns the id after which the next attempt continues, or "".
func (a *eventAssembler) lastEventID() string {
	if a.lastID == 0 {
		return ""
	}
	return strconv.FormatInt(a.lastID, 10)
}

// add appends bytes of the attempt and returns the complete events that the
// caller does not have, and how many of them are not comments. It fails if an event
// id was skipped, maxEventBytes bring no new event, or there is no memory for the bytes.
func (a *eventAssembler) add(data []byte) (events [][]byte, progress int, err error) {
	if err := a.partial.Append(data); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	a.sinceProgress += len(data)
	rest := a.partial.Bytes()
	defer func() { a.partial.Discard(len(a.partial.Bytes()) - len(rest)) }()
	for {
		end := eventEnd(rest)
		if end == 0 {
			if a.sinceProgress > maxEventBytes {
				return events, progress, Error.New("no new event in %d bytes", a.sinceProgress)
			}
			return events, progress, nil
		}
		event := bytes.Clone(rest[:end])
		rest = rest[end:]
		id := a.codec.EventID(event)
		switch {
		case id == 0 && (a.lastID > 0 || isComment(event)):
			events = append(events, event)
			continue
		case id == 0:
			// The events of the stream have no ids.
		case id <= a.lastID:
			continue
		case id > a.lastID+1:
			return events, progress, Error.New("event %d follows event %d", id, a.lastID)
		default:
			a.lastID = id
		}
		events = append(events, event)
		progress++
		a.sinceProgress = len(rest)
	}
}

// isComment reports whether an event consists of a comment, which servers send to
// keep a connection open.
func isComment(event []byte) bool { return len(event) > 0 && event[0] == ':' }

// atBoundary reports whether the bytes so far end with a complete event.
func (a *eventAssembler) atBoundary() bool { return len(a.partial.Bytes()) == 0 }

// eventEnd returns the length of the first complete event, or 0.
func eventEnd(data []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.Index(data, separator); at >= 0 && (end == 0 || at+len(separator) < end) {
			end = at + len(separator)
		}
	}
	return end
}

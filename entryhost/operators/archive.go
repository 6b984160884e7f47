package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
)

const (
	// archiveTimeout bounds the reading of flushed events.
	archiveTimeout = 5 * time.Second
	// maxArchiveObjects bounds the objects of one answer, newest first.
	maxArchiveObjects = 1000
	// maxArchiveHours bounds the hours of one answer.
	maxArchiveHours = 24
	// archiveReaders is the number of objects that are read at once.
	archiveReaders = 8
	// flushDelay is how much older an event may be than the object that holds
	// it: the journal writes each 10 s, and again after an outage.
	flushDelay = time.Minute
)

// archive is the part of an answer that comes from the object store. It holds
// the events of hosts that died or restarted.
type archive struct {
	events []events.Event
	// incomplete tells that objects could not be read or were too many.
	incomplete bool
}

// hourPrefixes returns the names of the hours between two times as the journal
// writes them, the newest first.
func hourPrefixes(since, now time.Time) []string {
	since = since.Add(-flushDelay)
	if limit := now.Add(-maxArchiveHours * time.Hour); since.Before(limit) {
		since = limit
	}
	var prefixes []string
	for hour := now.UTC().Truncate(time.Hour); !hour.Before(since.UTC().Truncate(time.Hour)); hour = hour.Add(-time.Hour) {
		prefixes = append(prefixes, events.ObjectPrefix+hour.Format("20060102T15"))
	}
	return prefixes
}

// readArchive returns the matching events of the object store.
func readArchive(ctx context.Context, objects platform.Objects, query events.Query, now time.Time) archive {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	var found archive
	var names []string
	for _, prefix := range hourPrefixes(query.Since, now) {
		listed, err := objects.List(ctx, prefix)
		found.incomplete = found.incomplete || err != nil
		slices.Sort(listed)
		slices.Reverse(listed)
		names = append(names, listed...)
		if len(names) > maxArchiveObjects {
			names, found.incomplete = names[:maxArchiveObjects], true
			break
		}
	}
	for part := range readObjects(ctx, objects, names) {
		found.incomplete = found.incomplete || part.err != nil
		found.events = append(found.events, selectEvents(part.content, query)...)
	}
	return found
}

type objectContent struct {
	content []byte
	err     error
}

// readObjects reads the objects with a few goroutines and closes the channel
// after the last one.
func readObjects(ctx context.Context, objects platform.Objects, names []string) <-chan objectContent {
	work := make(chan string, len(names))
	for _, name := range names {
		work <- name
	}
	close(work)
	contents := make(chan objectContent, len(names))
	done := make(chan struct{}, archiveReaders)
	for range archiveReaders {
		go func() {
			for name := range work {
				content, err := objects.Get(ctx, name)
				contents <- objectContent{content: content, err: err}
			}
			done <- struct{}{}
		}()
	}
	go func() {
		for range archiveReaders {
			<-done
		}
		close(contents)
	}()
	return contents
}

// selectEvents decodes the lines of an object. It skips a line that cannot be
// decoded, which another version of the daemon may have written.
func selectEvents(content []byte, query events.Query) []events.Event {
	var selected []events.Event
	for line := range bytes.Lines(content) {
		var event events.Event
		if json.Unmarshal(line, &event) == nil && query.Matches(event) {
			selected = append(selected, event)
		}
	}
	return selected
}

// withoutRepeats drops events that a ring and the object store both hold.
func withoutRepeats(all []events.Event) []events.Event {
	seen := make(map[events.Event]bool, len(all))
	return slices.DeleteFunc(all, func(event events.Event) bool {
		event.At = event.At.UTC().Round(0)
		repeated := seen[event]
		seen[event] = true
		return repeated
	})
}

// wantsArchive reads the query parameter.
func wantsArchive(text string) bool { return strings.EqualFold(text, "true") }

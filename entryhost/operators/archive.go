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
	// archiveTimeout bounds listing and reading the objects for one query.
	archiveTimeout = 5 * time.Second
	// maxArchiveObjects bounds the objects read for one query. The newest are read.
	maxArchiveObjects = 1000
	// archiveWindowHours bounds how far back from now a query reads objects.
	archiveWindowHours = 24
	// maxConcurrentReads bounds the objects that are read concurrently.
	maxConcurrentReads = 8
	// maxFlushDelay bounds how much older an event may be than the object that
	// holds it. The journal writes every 10 s and retries after an outage.
	maxFlushDelay = time.Minute
)

// archivedEvents holds the events that a query found in the object store. These
// include the events of hosts that died or restarted.
type archivedEvents struct {
	events []events.Event
	// incomplete is true if objects could not be listed or read, or if there
	// were more than maxArchiveObjects.
	incomplete bool
}

// hourPrefixes returns the object name prefix of each UTC hour between since and
// now, newest first. The range begins maxFlushDelay before since, but at most
// archiveWindowHours before now.
func hourPrefixes(since, now time.Time) []string {
	since = since.Add(-maxFlushDelay)
	if limit := now.Add(-archiveWindowHours * time.Hour); since.Before(limit) {
		since = limit
	}
	var prefixes []string
	for hour := now.UTC().Truncate(time.Hour); !hour.Before(since.UTC().Truncate(time.Hour)); hour = hour.Add(-time.Hour) {
		prefixes = append(prefixes, events.ObjectPrefix+hour.Format("20060102T15"))
	}
	return prefixes
}

// readArchive returns the events in the object store that match the query.
func readArchive(ctx context.Context, objects platform.Objects, query events.Query, now time.Time) archivedEvents {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	var found archivedEvents
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

// readObjects reads the objects with maxConcurrentReads goroutines and closes the
// channel after the last one.
func readObjects(ctx context.Context, objects platform.Objects, names []string) <-chan objectContent {
	work := make(chan string, len(names))
	for _, name := range names {
		work <- name
	}
	close(work)
	contents := make(chan objectContent, len(names))
	done := make(chan struct{}, maxConcurrentReads)
	for range maxConcurrentReads {
		go func() {
			for name := range work {
				content, err := objects.Get(ctx, name)
				contents <- objectContent{content: content, err: err}
			}
			done <- struct{}{}
		}()
	}
	go func() {
		for range maxConcurrentReads {
			<-done
		}
		close(contents)
	}()
	return contents
}

// selectEvents returns the events of an object that match the query. It skips a
// line that cannot be decoded, which another version of the daemon may have
// written.
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

// dropDuplicates drops duplicates of events that are both in the ring of a host
// and in the object store.
func dropDuplicates(all []events.Event) []events.Event {
	seen := make(map[events.Event]bool, len(all))
	return slices.DeleteFunc(all, func(event events.Event) bool {
		event.At = event.At.UTC().Round(0)
		repeated := seen[event]
		seen[event] = true
		return repeated
	})
}

// wantsArchive reports whether the query parameter "archive" asks for events from
// the object store.
func wantsArchive(text string) bool { return strings.EqualFold(text, "true") }

package peering

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"io"
	"sync/atomic"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/task"
)

// minCompressedBytes is the size of rows from which they are compressed. Most changes
// are some hundred bytes.
const minCompressedBytes = 16 << 10

// CopiesQuery is a mirror.Query on the wire. Hosts of earlier builds leave out
// AcceptsCompressed or AcceptsKeys and ignore them.
type CopiesQuery struct {
	Table string
	// Era is the era of After. Hosts of earlier builds leave it out.
	Era   uint64
	After uint64
	Wait  time.Duration
	// AcceptsCompressed is set by hosts that read CompressedRows.
	AcceptsCompressed bool
	// AcceptsKeys is set by hosts that read Changes.PresentKeys.
	AcceptsKeys bool
}

// CopiesAnswer is a mirror.Answer on the wire.
type CopiesAnswer struct {
	Changes  mirror.Changes
	StoreAge time.Duration
	Unserved bool
	// CompressedRows replaces Changes.Rows if it is set.
	CompressedRows []byte
}

// Copies is the net/rpc service that serves this host's copies of tables.
type Copies struct {
	followers map[string]task.Mailbox[mirror.ChangesRequest]
	// lastCompressed is the result of the last compression. The hosts that read from this
	// one mostly wait for the same changes.
	lastCompressed atomic.Pointer[compressedRows]
}

// compressedRows are the compressed rows of a table's changes between two versions.
type compressedRows struct {
	table   string
	era     uint64
	after   uint64
	version uint64
	whole   bool
	content []byte
}

// Changes returns this host's changes of a table after a version. It holds the
// reply until there is a change, for at most query.Wait or maxPollTimeout, whichever
// is shorter.
func (c *Copies) Changes(query CopiesQuery, answer *CopiesAnswer) error {
	mailbox, found := c.followers[query.Table]
	if !found {
		return Error.New("this host has no copy of table %q", query.Table)
	}
	wait := min(query.Wait, maxPollTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), wait+callTimeout)
	defer cancel()
	result, err := task.Call(ctx, mailbox, func(reply task.Reply[mirror.Answer]) mirror.ChangesRequest {
		return mirror.ChangesRequest{Query: mirror.Query{Table: query.Table, Era: query.Era, After: query.After, Wait: wait, AcceptsKeys: query.AcceptsKeys}, Reply: reply}
	})
	if err != nil {
		return err
	}
	*answer = CopiesAnswer{Changes: result.Changes, StoreAge: result.StoreAge, Unserved: result.Unserved}
	if !query.AcceptsCompressed || sizeOf(result.Changes.Rows) < minCompressedBytes {
		return nil
	}
	answer.CompressedRows, err = c.compress(query, result.Changes)
	answer.Changes.Rows = nil
	return err
}

func sizeOf(rows []mirror.Row) int {
	size := 0
	for _, row := range rows {
		size += len(row.Key) + len(row.Value)
	}
	return size
}

// compress returns the compressed rows of the changes that answer the query.
func (c *Copies) compress(query CopiesQuery, changes mirror.Changes) ([]byte, error) {
	if last := c.lastCompressed.Load(); last != nil && last.table == query.Table && last.era == changes.Era && last.after == query.After && last.version == changes.Version && last.whole == changes.Whole {
		return last.content, nil
	}
	content, err := compressRows(changes.Rows)
	if err == nil {
		c.lastCompressed.Store(&compressedRows{table: query.Table, era: changes.Era, after: query.After, version: changes.Version, whole: changes.Whole, content: content})
	}
	return content, err
}

// compressRows compresses rows. Routes repeat the same names, so that a large
// configuration shrinks to about a tenth even at the fastest level.
func compressRows(rows []mirror.Row) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := gob.NewEncoder(writer).Encode(rows); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// decompressRows is the inverse of compressRows. A peer's rows have at most
// maxPeerBytes.
func decompressRows(content []byte) ([]mirror.Row, error) {
	reader := flate.NewReader(bytes.NewReader(content))
	defer func() { _ = reader.Close() }()
	var rows []mirror.Row
	if err := gob.NewDecoder(io.LimitReader(reader, maxPeerBytes)).Decode(&rows); err != nil {
		return nil, Error.New("the compressed rows of a peer cannot be read: %w", err)
	}
	return rows, nil
}

// fetchChanges sends one query to a host.
func fetchChanges(ctx context.Context, address string, query mirror.Query) (mirror.Answer, error) {
	var answer CopiesAnswer
	sent := CopiesQuery{Table: query.Table, Era: query.Era, After: query.After, Wait: query.Wait, AcceptsCompressed: true, AcceptsKeys: true}
	if err := call(ctx, address, copiesService+".Changes", sent, &answer); err != nil {
		return mirror.Answer{}, err
	}
	changes := answer.Changes
	if len(answer.CompressedRows) > 0 {
		rows, err := decompressRows(answer.CompressedRows)
		if err != nil {
			return mirror.Answer{}, err
		}
		changes.Rows = rows
	}
	return mirror.Answer{Changes: changes, StoreAge: answer.StoreAge, Unserved: answer.Unserved}, nil
}

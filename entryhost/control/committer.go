package control

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

// readBackTimeout bounds the read after a lost answer.
const readBackTimeout = time.Second

// TableCommitter commits revisions directly in the table service.
type TableCommitter struct {
	Table platform.Table
	Clock clockwork.Clock
}

// Commit implements Committer.
func (c TableCommitter) Commit(ctx context.Context, commit Commit) error {
	head, err := c.Table.Read(ctx, config.KeyHead)
	if err != nil {
		return Error.Wrap(err)
	}
	var newest model.Revision
	if err := decode(head.Value, &newest); err != nil {
		return err
	}
	if newest != commit.Base {
		return ErrConflict.New("revision %d was decided on, but %d is the newest; decide again", commit.Base, newest)
	}
	transaction, err := c.transaction(commit, head.Version)
	if err != nil {
		return err
	}
	result, err := c.Table.Transact(ctx, transaction)
	switch {
	case err != nil:
		return c.readBack(ctx, commit, err)
	case !result.Committed:
		return ErrConflict.New("revision %d was taken or the lease changed; decide again", commit.Base+1)
	}
	return nil
}

func (c TableCommitter) transaction(commit Commit, head platform.RowVersion) (platform.Transaction, error) {
	revision := commit.Base + 1
	record, err := encode(config.RevisionRecord{
		Revision: revision, ID: commit.ID, Author: commit.Author, At: c.Clock.Now(), Note: commit.Note, Changes: commit.Changes,
	})
	if err != nil {
		return platform.Transaction{}, err
	}
	number, err := encode(revision)
	if err != nil {
		return platform.Transaction{}, err
	}
	conditions := []platform.Condition{{Key: config.KeyHead, Version: head}, {Key: config.RevisionKey(revision)}}
	return platform.Transaction{
		Conditions: append(conditions, commit.Conditions...),
		Writes:     []platform.Write{{Key: config.KeyHead, Value: number}, {Key: config.RevisionKey(revision), Value: record}},
	}, nil
}

// readBack learns the outcome of a commit whose answer was lost.
func (c TableCommitter) readBack(ctx context.Context, commit Commit, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	row, err := c.Table.Read(ctx, config.RevisionKey(commit.Base+1))
	if err != nil {
		return Error.Wrap(cause)
	}
	var record config.RevisionRecord
	if err := decode(row.Value, &record); err != nil {
		return err
	}
	if record.ID != commit.ID {
		return ErrConflict.New("revision %d was committed by %s; decide again", record.Revision, record.Author)
	}
	return nil
}

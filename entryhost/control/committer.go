package control

import (
	"context"
	"errors"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
)

// RevisionCommitter commits the decisions of movers through the committer that
// operators use.
type RevisionCommitter struct {
	config.Committer
}

// Commit implements Committer.
func (c RevisionCommitter) Commit(ctx context.Context, commit Commit) error {
	_, err := c.Committer.Commit(ctx, commit.Current, config.Proposal{
		Expected:   commit.Current.Revision,
		ID:         commit.ID,
		Author:     commit.Author,
		Note:       commit.Note,
		Changes:    commit.Changes,
		Conditions: commit.Conditions,
	})
	var conflict *config.Conflict
	if errors.As(err, &conflict) || config.ErrConditionFailed.Has(err) {
		return ErrConflict.Wrap(err)
	}
	return Error.Wrap(err)
}

package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// commitTimeout bounds one call of the table during a commit.
	commitTimeout = 2 * time.Second
	// commitRetryInterval is the wait before a call is repeated that failed or had
	// an unknown outcome.
	commitRetryInterval = 100 * time.Millisecond
)

// Proposal is a revision that an operator or the mover wants to put in force.
type Proposal struct {
	// Expected is the revision that the changes were made on top of.
	Expected model.Revision
	// ID identifies the commit when its answer was lost. It must be unique.
	ID      string
	Author  string
	Note    string
	Changes []Change
	// Conditions must hold in addition to those on the head row and the revision
	// row, for example on the row of a lease holder.
	Conditions []platform.Condition
}

// ErrConditionFailed reports that a condition of the proposal did not hold, so
// that nothing was committed.
var ErrConditionFailed = errs.Class("a condition of the commit no longer holds; read the rows again")

// Conflict reports that another revision, Winner, was committed first.
type Conflict struct {
	Expected model.Revision
	Winner   RevisionRecord
}

// Error implements error.
func (c *Conflict) Error() string { return c.fault().Error() }

// Unwrap returns the fault that model.AsFault finds.
func (c *Conflict) Unwrap() error { return c.fault() }

func (c *Conflict) fault() *model.Fault {
	message := fmt.Sprintf("revision %d was committed first by %s: %s", c.Winner.Revision, c.Winner.Author, Describe(c.Winner.Changes))
	return model.NotRun(model.KindConflict, model.ReasonRevisionConflict, message, "read the configuration again and repeat the change on top of it")
}

// Invalid reports all problems of a proposal.
type Invalid struct{ Problems []Problem }

// Error implements error.
func (i *Invalid) Error() string { return i.fault().Error() }

// Unwrap returns the fault that model.AsFault finds.
func (i *Invalid) Unwrap() error { return i.fault() }

func (i *Invalid) fault() *model.Fault {
	lines := make([]string, len(i.Problems))
	for n, problem := range i.Problems {
		lines[n] = problem.String()
	}
	return model.NotRun(model.KindInvalid, model.ReasonBadChange, strings.Join(lines, "; "), "correct each problem and send the change again")
}

// Committer commits revisions. It has no state and is safe for concurrent use.
type Committer struct {
	Table platform.Table
	Clock clockwork.Clock
}

// Commit validates the proposal on top of the configuration and commits it as
// the next revision. Of several proposals for the same revision exactly one is
// committed; the others get a Conflict. After a lost answer Commit finds the
// outcome by the proposal's id, and returns a fault of kind outcome_unknown only
// if the context ends first.
func (c Committer) Commit(ctx context.Context, current *model.Configuration, proposal Proposal) (RevisionRecord, error) {
	if proposal.Expected < current.Revision {
		return c.resolveTakenRevision(ctx, proposal)
	}
	current, err := c.CatchUp(ctx, current, proposal.Expected)
	if err != nil {
		return RevisionRecord{}, err
	}
	if problems := Validate(current, proposal.Changes); len(problems) > 0 {
		return RevisionRecord{}, &Invalid{Problems: problems}
	}
	head, err := c.head(ctx)
	if err != nil {
		return RevisionRecord{}, platformFault(err)
	}
	if head.revision != proposal.Expected {
		return c.resolveTakenRevision(ctx, proposal)
	}
	record := RevisionRecord{
		Revision: proposal.Expected + 1, ID: proposal.ID, Author: proposal.Author,
		At: c.Clock.Now().UTC(), Note: proposal.Note, Changes: proposal.Changes,
	}
	transaction, err := commitTransaction(head.version, record)
	if err != nil {
		return RevisionRecord{}, err
	}
	transaction.Conditions = append(transaction.Conditions, proposal.Conditions...)
	return c.write(ctx, transaction, record, proposal)
}

// CatchUp returns the configuration at the revision or a later one. It reads the
// missing revisions from the table.
func (c Committer) CatchUp(ctx context.Context, current *model.Configuration, revision model.Revision) (*model.Configuration, error) {
	for current.Revision < revision {
		rows, err := c.Table.Scan(ctx, PrefixRevision, RevisionKey(current.Revision+1), int(min(revision-current.Revision, scanLimit)))
		if err != nil {
			return nil, platformFault(err)
		}
		records, err := decodeRecords(rows)
		next, applied := ApplyAll(current, records)
		if err != nil && applied == 0 {
			return nil, err
		}
		if applied == 0 {
			return nil, model.NotRun(model.KindInvalid, model.ReasonBadChange, fmt.Sprintf("revision %d does not exist", revision),
				"read the configuration again and use its revision")
		}
		current = next
	}
	return current, nil
}

type headRow struct {
	revision model.Revision
	version  platform.RowVersion
}

// head reads the head row. Without a head row the revision is 0.
func (c Committer) head(ctx context.Context) (headRow, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return readHead(ctx, c.Table)
}

func readHead(ctx context.Context, table platform.Table) (headRow, error) {
	row, err := table.Read(ctx, KeyHead)
	if platform.ErrNotFound.Has(err) {
		return headRow{}, nil
	}
	if err != nil {
		return headRow{}, err
	}
	head := headRow{version: row.Version}
	return head, Error.Wrap(json.Unmarshal(row.Value, &head.revision))
}

func commitTransaction(head platform.RowVersion, record RevisionRecord) (platform.Transaction, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return platform.Transaction{}, Error.Wrap(err)
	}
	headValue, err := json.Marshal(record.Revision)
	if err != nil {
		return platform.Transaction{}, Error.Wrap(err)
	}
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: KeyHead, Version: head}, {Key: RevisionKey(record.Revision)}},
		Writes:     []platform.Write{{Key: KeyHead, Value: headValue}, {Key: RevisionKey(record.Revision), Value: value}},
	}, nil
}

// write repeats the transaction until its outcome is known. Repeating it is safe,
// because its conditions hold at most once.
func (c Committer) write(ctx context.Context, transaction platform.Transaction, record RevisionRecord, proposal Proposal) (RevisionRecord, error) {
	for {
		callContext, cancel := context.WithTimeout(ctx, commitTimeout)
		result, err := c.Table.Transact(callContext, transaction)
		cancel()
		switch {
		case err == nil && result.Committed:
			return record, nil
		case err == nil:
			return c.readBack(ctx, record, proposal)
		case !platform.ErrUnavailable.Has(err):
			return RevisionRecord{}, err
		}
		select {
		case <-ctx.Done():
			return RevisionRecord{}, unknownOutcome(proposal)
		case <-c.Clock.After(commitRetryInterval):
		}
	}
}

// readBack reads the revision after a transaction whose conditions failed. It
// holds either this commit, whose first answer was lost, or that of another
// author. A missing revision means that a condition of the proposal failed.
func (c Committer) readBack(ctx context.Context, record RevisionRecord, proposal Proposal) (RevisionRecord, error) {
	for {
		winner, err := c.Record(ctx, record.Revision)
		switch {
		case err == nil && winner.ID == record.ID:
			return winner, nil
		case err == nil:
			return RevisionRecord{}, &Conflict{Expected: proposal.Expected, Winner: winner}
		case platform.ErrNotFound.Has(err) && len(proposal.Conditions) > 0:
			return RevisionRecord{}, ErrConditionFailed.New("revision %d", record.Revision)
		}
		select {
		case <-ctx.Done():
			return RevisionRecord{}, unknownOutcome(proposal)
		case <-c.Clock.After(commitRetryInterval):
		}
	}
}

// Record reads one accepted revision.
func (c Committer) Record(ctx context.Context, revision model.Revision) (RevisionRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	row, err := c.Table.Read(ctx, RevisionKey(revision))
	if err != nil {
		return RevisionRecord{}, err
	}
	records, err := decodeRecords([]platform.Row{row})
	if err != nil {
		return RevisionRecord{}, err
	}
	return records[0], nil
}

// History reads at most limit revisions after the given one.
func (c Committer) History(ctx context.Context, after model.Revision, limit int) ([]RevisionRecord, error) {
	rows, err := c.Table.Scan(ctx, PrefixRevision, RevisionKey(after+1), limit)
	if err != nil {
		return nil, platformFault(err)
	}
	return decodeRecords(rows)
}

// resolveTakenRevision handles a proposal whose revision has been committed. The
// record is the proposal itself if an operator repeats a commit whose answer was
// lost; otherwise the result is a Conflict with the winner.
func (c Committer) resolveTakenRevision(ctx context.Context, proposal Proposal) (RevisionRecord, error) {
	winner, err := c.Record(ctx, proposal.Expected+1)
	switch {
	case platform.ErrNotFound.Has(err):
		return RevisionRecord{}, model.NotRun(model.KindInvalid, model.ReasonBadChange,
			fmt.Sprintf("revision %d is not the newest", proposal.Expected), "read the configuration again and use its revision")
	case err != nil:
		return RevisionRecord{}, platformFault(err)
	case winner.ID == proposal.ID:
		return winner, nil
	}
	return RevisionRecord{}, &Conflict{Expected: proposal.Expected, Winner: winner}
}

// platformFault converts an unavailable platform or a passed deadline into a
// fault for the operator. It returns other errors as they are.
func platformFault(err error) error {
	if !platform.ErrUnavailable.Has(err) && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return model.NotRun(model.KindUnavailable, model.ReasonPlatformUnavailable, "the table service does not answer: "+err.Error(),
		"the configuration in force stays; retry when the platform answers again")
}

func unknownOutcome(proposal Proposal) error {
	return &model.Fault{
		Kind: model.KindUnknown, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedUnknown,
		Message: "the table service did not confirm commit " + proposal.ID,
		Remedy:  "look for this id with: lentilpoint config history, before repeating the change",
	}
}

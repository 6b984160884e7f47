package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
)

const (
	raceOperatorCount = 5
	raceTries         = 16
	// raceReadRetryInterval is the wait before a failed read is retried.
	raceReadRetryInterval = 10 * time.Millisecond
	// raceCheckTimeout bounds the linearizability check of the history.
	raceCheckTimeout = 10 * time.Second
)

// raceInput is a commit of a revision after the expected one, or a read of all
// revisions.
type raceInput struct {
	read     bool
	expected model.Revision
	id       string
}

// raceOutput is the result of an operation as its operator observed it.
type raceOutput struct {
	committed bool
	// winner is the id of the conflicting revision that was committed instead;
	// empty without a conflict.
	winner string
	// ids are the ids of all revisions; only for a read.
	ids []string
}

// raceModel is the sequential specification of the revisions: a register that
// holds their ids in order, to which a commit appends if and only if the register
// has the expected length.
var raceModel = porcupine.Model{
	Init: func() any { return []string(nil) },
	Step: func(state, input, output any) (bool, any) {
		ids, try, result := state.([]string), input.(raceInput), output.(raceOutput)
		switch {
		case try.read:
			return slices.Equal(ids, result.ids), ids
		case result.committed:
			return len(ids) == int(try.expected), append(slices.Clip(ids), try.id)
		case result.winner != "":
			return len(ids) > int(try.expected) && ids[try.expected] == result.winner, ids
		case len(ids) == int(try.expected):
			// The outcome is unknown, and the commit may have taken effect. This is
			// not expected, because the scenario gives every try enough time.
			return true, append(slices.Clip(ids), try.id)
		default:
			return true, ids
		}
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// blindTable removes the conditions of each transaction.
type blindTable struct{ platform.Table }

// Transact implements platform.Table.
func (b blindTable) Transact(ctx context.Context, transaction platform.Transaction) (platform.TransactResult, error) {
	transaction.Conditions = nil
	return b.Table.Transact(ctx, transaction)
}

func runOperatorsRace(ctx context.Context, parameters Parameters) (Report, error) {
	platformStandin, err := standin.StartPlatform(ctx, parameters.Seed)
	if err != nil {
		return Report{}, err
	}
	platformStandin.SetFaults(standin.PlatformFaults{Delay: 2 * time.Millisecond, LoseAnswers: 0.15, LoseRequests: 0.1})
	histories := make(chan []porcupine.Operation, raceOperatorCount)
	for operator := range raceOperatorCount {
		go func() { histories <- raceOperator(ctx, parameters, platformStandin.URL(), operator) }()
	}
	var history []porcupine.Operation
	for range raceOperatorCount {
		history = append(history, <-histories...)
	}
	return raceReport(history), nil
}

// raceOperator tries to commit on top of the newest revision that it knows.
func raceOperator(ctx context.Context, parameters Parameters, url string, operator int) []porcupine.Operation {
	client := usersplatform.NewServices(url)
	defer client.Close()
	committer := config.Committer{Table: client, Clock: clockwork.NewRealClock()}
	if parameters.Policy == BaselineBlindWrite {
		committer.Table = blindTable{Table: client}
	}
	random := rand.New(rand.NewPCG(parameters.Seed, uint64(50+operator)))
	current := config.Empty()
	history := make([]porcupine.Operation, 0, raceTries)
	for try := range raceTries {
		if random.IntN(4) == 0 {
			operation, newest := raceRead(ctx, committer, operator)
			history = append(history, operation)
			current = newest
		}
		id := fmt.Sprintf("operator-%d-%d", operator, try)
		organisation := &model.Organisation{ID: model.OrganisationID(id), Weight: 1, KeySHA256: []string{fmt.Sprintf("%032x%032x", operator, try)}}
		start := time.Now()
		record, err := committer.Commit(ctx, current, config.Proposal{
			Expected: current.Revision, ID: id, Author: fmt.Sprintf("operator-%d", operator),
			Changes: []config.Change{{PutOrganisation: organisation}},
		})
		operation := porcupine.Operation{
			ClientId: operator, Input: raceInput{expected: current.Revision, id: id},
			Call: start.UnixNano(), Return: time.Now().UnixNano(), Output: raceOutputOf(err),
		}
		history = append(history, operation)
		current = applyCommitted(current, record, err)
		time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
	}
	return history
}

// raceRead reads all revisions, as an operator does before a change. A failed
// read is retried, because this scenario tests faults of writes.
func raceRead(ctx context.Context, committer config.Committer, operator int) (porcupine.Operation, *model.Configuration) {
	start := time.Now()
	records, err := committer.History(ctx, 0, raceOperatorCount*raceTries)
	for err != nil && ctx.Err() == nil {
		time.Sleep(raceReadRetryInterval)
		start = time.Now()
		records, err = committer.History(ctx, 0, raceOperatorCount*raceTries)
	}
	ids := make([]string, len(records))
	for i, record := range records {
		ids[i] = record.ID
	}
	newest, _ := config.ApplyAll(config.Empty(), records)
	return porcupine.Operation{
		ClientId: operator, Input: raceInput{read: true}, Output: raceOutput{ids: ids},
		Call: start.UnixNano(), Return: time.Now().UnixNano(),
	}, newest
}

func raceOutputOf(err error) raceOutput {
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		return raceOutput{winner: conflict.Winner.ID}
	}
	return raceOutput{committed: err == nil}
}

// applyCommitted applies the revision that was committed: the operator's own
// one or, after a conflict, the winner's.
func applyCommitted(current *model.Configuration, record config.RevisionRecord, err error) *model.Configuration {
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		record = conflict.Winner
	}
	next, _ := config.Apply(current, record)
	return next
}

func raceReport(history []porcupine.Operation) Report {
	winners := make(map[model.Revision]int)
	reads, conflicts, unknown := 0, 0, 0
	for _, operation := range history {
		output := operation.Output.(raceOutput)
		switch {
		case operation.Input.(raceInput).read:
			reads++
		case output.committed:
			winners[operation.Input.(raceInput).expected+1]++
		case output.winner != "":
			conflicts++
		default:
			unknown++
		}
	}
	violations := check.Violations{}
	for _, count := range winners {
		if count > 1 {
			violations[violationWinners]++
		}
	}
	if porcupine.CheckOperationsTimeout(raceModel, history, raceCheckTimeout) != porcupine.Ok {
		violations[violationHistory]++
	}
	return Report{Violations: violations, Figures: map[string]float64{
		"tries": float64(len(history) - reads), "reads": float64(reads), "revisions": float64(len(winners)), "conflicts": float64(conflicts), "unknown": float64(unknown),
	}}
}

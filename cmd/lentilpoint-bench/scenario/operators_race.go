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
)

const (
	raceOperators = 5
	raceTries     = 16
	// raceCheckTimeout bounds the check of the history.
	raceCheckTimeout = 10 * time.Second
)

// raceInput is one try to commit a revision after the expected one.
type raceInput struct {
	expected model.Revision
	id       string
}

// raceOutput is what the operator learned.
type raceOutput struct {
	committed bool
	// winner is the id of the revision that took the place, if one did.
	winner string
}

// raceModel is a register that holds the ids of all revisions in order. A
// commit appends exactly if the register has the expected length.
var raceModel = porcupine.Model{
	Init: func() any { return []string(nil) },
	Step: func(state, input, output any) (bool, any) {
		ids, try, result := state.([]string), input.(raceInput), output.(raceOutput)
		switch {
		case result.committed:
			return len(ids) == int(try.expected), append(slices.Clip(ids), try.id)
		case result.winner != "":
			return len(ids) > int(try.expected) && ids[try.expected] == result.winner, ids
		case len(ids) == int(try.expected):
			// The outcome is unknown; the commit may have taken effect. The
			// scenario gives every try enough time, so this is not expected.
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

// blindTable drops the conditions of a transaction.
type blindTable struct{ platform.Table }

// Transact implements platform.Table.
func (b blindTable) Transact(ctx context.Context, transaction platform.Transaction) (platform.TransactResult, error) {
	transaction.Conditions = nil
	return b.Table.Transact(ctx, transaction)
}

func runOperatorsRace(ctx context.Context, parameters Parameters) (Report, error) {
	stand, err := standin.StartPlatform(ctx, parameters.Seed)
	if err != nil {
		return Report{}, err
	}
	stand.SetFaults(standin.PlatformFaults{Delay: 2 * time.Millisecond, LoseAnswers: 0.15, LoseRequests: 0.1})
	histories := make(chan []porcupine.Operation, raceOperators)
	for operator := range raceOperators {
		go func() { histories <- raceOperator(ctx, parameters, stand.URL(), operator) }()
	}
	var history []porcupine.Operation
	for range raceOperators {
		history = append(history, <-histories...)
	}
	return raceReport(history), nil
}

// raceOperator tries to commit on top of the newest revision that it knows.
func raceOperator(ctx context.Context, parameters Parameters, url string, operator int) []porcupine.Operation {
	client := platform.NewClient(url, "")
	defer client.Close()
	committer := config.Committer{Table: client, Clock: clockwork.NewRealClock()}
	if parameters.Policy == BaselineBlindWrite {
		committer.Table = blindTable{Table: client}
	}
	random := rand.New(rand.NewPCG(parameters.Seed, uint64(50+operator)))
	current := config.Empty()
	history := make([]porcupine.Operation, 0, raceTries)
	for try := range raceTries {
		id := fmt.Sprintf("operator-%d-%d", operator, try)
		organisation := &model.Organisation{ID: model.OrganisationID(id), Weight: 1, KeySHA256: []string{fmt.Sprintf("%032x%032x", operator, try)}}
		start := time.Now()
		record, err := committer.Commit(ctx, current, config.Proposal{
			Expected: current.Revision, ID: id, Author: fmt.Sprintf("operator-%d", operator),
			Changes: []config.Change{{PutOrganisation: organisation}},
		})
		operation := porcupine.Operation{
			ClientId: operator, Input: raceInput{expected: current.Revision, id: id},
			Call: start.UnixNano(), Return: time.Now().UnixNano(), Output: raceOutcome(err),
		}
		history = append(history, operation)
		current = raceNext(current, record, err)
		time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
	}
	return history
}

func raceOutcome(err error) raceOutput {
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		return raceOutput{winner: conflict.Winner.ID}
	}
	return raceOutput{committed: err == nil}
}

// raceNext applies the revision that took the place: the own or the winner's.
func raceNext(current *model.Configuration, record config.RevisionRecord, err error) *model.Configuration {
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		record = conflict.Winner
	}
	next, _ := config.Apply(current, record)
	return next
}

func raceReport(history []porcupine.Operation) Report {
	winners := make(map[model.Revision]int)
	conflicts, unknown := 0, 0
	for _, operation := range history {
		output := operation.Output.(raceOutput)
		switch {
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
		"tries": float64(len(history)), "revisions": float64(len(winners)), "conflicts": float64(conflicts), "unknown": float64(unknown),
	}}
}

package operators

import (
	"cmp"
	"crypto/subtle"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
)

// anonymous is the author of changes made with a token without a name.
const anonymous = "operator"

var tokenName = regexp.MustCompile(`^[a-z][a-z0-9._-]{0,31}$`)

// operator is who may use a token.
type operator struct{ name, token string }

// parseTokens reads tokens written as token or name=token. The sign may also be
// part of a token, as in the padding of base64, so the name must look like one
// and a token must follow.
func parseTokens(settings []string) []operator {
	operators := make([]operator, 0, len(settings))
	for _, text := range settings {
		name, token, found := strings.Cut(text, "=")
		if !found || !tokenName.MatchString(name) || strings.Trim(token, "=") == "" {
			name, token = anonymous, text
		}
		operators = append(operators, operator{name: name, token: token})
	}
	return operators
}

// authenticate returns the name of the operator with the token. It compares
// with every token, so that the time tells nothing about them.
func authenticate(operators []operator, token string) (string, bool) {
	name, found := "", false
	for _, candidate := range operators {
		if subtle.ConstantTimeCompare([]byte(candidate.token), []byte(token)) == 1 {
			name, found = candidate.name, true
		}
	}
	return name, found
}

// newMove returns the move that an operator asks for.
func newMove(current *model.Configuration, body StartMoveBody, now time.Time) (model.Move, *model.Fault) {
	service, found := current.Services[body.Service]
	if !found {
		return model.Move{}, missing("service", string(body.Service))
	}
	from := body.From
	if from == "" {
		from = mainVersion(service)
	}
	if from == "" {
		return model.Move{}, model.BadField("service", "the service has no versions to move between")
	}
	return model.Move{
		ID: body.ID, Service: body.Service, From: from, To: body.To,
		Started: now, Deadline: body.Deadline, State: model.MoveRunning,
	}, nil
}

// mainVersion returns the version with the largest share.
func mainVersion(service model.Service) model.Version {
	var main model.VersionShare
	for _, share := range service.Shares {
		if share.Share > main.Share {
			main = share
		}
	}
	return main.Version
}

// cancelMove returns the changes that withdraw a running move: the old version
// gets all traffic back in the same revision.
func cancelMove(current *model.Configuration, id model.MoveID, author string) ([]config.Change, *model.Fault) {
	move, found := current.Moves[id]
	if !found {
		return nil, missing("move", string(id))
	}
	if move.State != model.MoveRunning {
		return nil, model.NotRun(model.KindConflict, model.ReasonBadChange,
			fmt.Sprintf("move %s has ended as %s", id, move.State), "start another move if traffic must move back")
	}
	move.State = model.MoveWithdrawn
	move.Reason = "cancelled by " + author
	changes := []config.Change{{PutMove: &move}}
	service, found := current.Services[move.Service]
	if found && service.HasVersion(move.To) {
		service.Shares = withoutVersion(service.Shares, move.To, move.From)
		changes = append(changes, config.Change{PutService: &service})
	}
	return changes, nil
}

// withoutVersion gives the share of one version to another.
func withoutVersion(shares []model.VersionShare, from, to model.Version) []model.VersionShare {
	freed := 0
	var kept []model.VersionShare
	for _, share := range shares {
		if share.Version == from {
			freed += share.Share
			continue
		}
		kept = append(kept, share)
	}
	for i := range kept {
		if kept[i].Version == to {
			kept[i].Share += freed
			return kept
		}
	}
	return append(kept, model.VersionShare{Version: to, Share: freed})
}

// startMoveChanges puts the move only. Its first traffic is the mover's decision.
func startMoveChanges(move model.Move) []config.Change {
	return []config.Change{{PutMove: &move}}
}

func missing(kind, name string) *model.Fault {
	return model.NotRun(model.KindNotFound, model.ReasonBadField, fmt.Sprintf("there is no %s %q", kind, name),
		fmt.Sprintf("list what exists with: lentilpoint %ss list", kind))
}

// sortedValues returns the values of a map in order of their keys.
func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}

// newestFirst orders moves by their start.
func newestFirst(moves map[model.MoveID]model.Move) []model.Move {
	sorted := sortedValues(moves)
	slices.SortStableFunc(sorted, func(a, b model.Move) int { return b.Started.Compare(a.Started) })
	return sorted
}

// statusOfHosts joins members with the revisions that they reported.
func statusOfHosts(self HostStatus, members []peers.Member, revisions map[model.HostID]model.Revision) []HostStatus {
	hosts := []HostStatus{self}
	for _, member := range members {
		if member.ID == self.ID {
			continue
		}
		hosts = append(hosts, HostStatus{
			ID: member.ID, DataCentre: member.DataCentre, Incarnation: member.Incarnation,
			Alive: member.Alive, Leaving: member.Leaving, Revision: revisions[member.ID],
		})
	}
	slices.SortFunc(hosts, func(a, b HostStatus) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// mergeEvents joins the events of several sources, oldest first and without
// repeats, and keeps the newest up to the limit.
func mergeEvents(parts [][]events.Event, limit int) []events.Event {
	merged := withoutRepeats(slices.Concat(parts...))
	slices.SortStableFunc(merged, func(a, b events.Event) int { return a.At.Compare(b.At) })
	if len(merged) > limit {
		merged = merged[len(merged)-limit:]
	}
	return merged
}

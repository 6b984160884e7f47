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

// unnamedOperator is the author of changes made with a token that has no name.
const unnamedOperator = "operator"

var tokenName = regexp.MustCompile(`^[a-z][a-z0-9._-]{0,31}$`)

// operatorToken is an accepted token and the name of its holder.
type operatorToken struct{ name, token string }

// parseTokens parses settings of the form "token" or "name=token". A token may
// itself contain "=", as in base64 padding, so a setting is split only if the part
// before the first "=" matches tokenName and the rest is not only "=".
func parseTokens(settings []string) []operatorToken {
	accepted := make([]operatorToken, 0, len(settings))
	for _, text := range settings {
		name, token, found := strings.Cut(text, "=")
		if !found || !tokenName.MatchString(name) || strings.Trim(token, "=") == "" {
			name, token = unnamedOperator, text
		}
		accepted = append(accepted, operatorToken{name: name, token: token})
	}
	return accepted
}

// authenticate returns the name of the operator with the token. It compares the
// token with all accepted ones in constant time, so that the duration does not
// reveal whether or where one matched.
func authenticate(accepted []operatorToken, token string) (string, bool) {
	name, found := "", false
	for _, candidate := range accepted {
		if subtle.ConstantTimeCompare([]byte(candidate.token), []byte(token)) == 1 {
			name, found = candidate.name, true
		}
	}
	return name, found
}

// newMove returns the running move that the body describes. If From is empty, the
// move starts from the version with the largest share.
func newMove(current *model.Configuration, body StartMoveBody, now time.Time) (model.Move, *model.Fault) {
	service, found := current.Services[body.Service]
	if !found {
		return model.Move{}, notFound("service", string(body.Service))
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
	var largest model.VersionShare
	for _, share := range service.Shares {
		if share.Share > largest.Share {
			largest = share
		}
	}
	return largest.Version
}

// cancelMoveChanges returns the changes that withdraw a running move and return the
// traffic of the new version to the old one in the same revision.
func cancelMoveChanges(current *model.Configuration, id model.MoveID, author string) ([]config.Change, *model.Fault) {
	move, found := current.Moves[id]
	if !found {
		return nil, notFound("move", string(id))
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
		service.Shares = transferShare(service.Shares, move.To, move.From)
		changes = append(changes, config.Change{PutService: &service})
	}
	return changes, nil
}

// transferShare removes the version from and adds its share to the version to.
func transferShare(shares []model.VersionShare, from, to model.Version) []model.VersionShare {
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

// startMoveChanges returns the changes that start a move. They leave the shares
// alone, because the mover decides when the new version gets its first traffic.
func startMoveChanges(move model.Move) []config.Change {
	return []config.Change{{PutMove: &move}}
}

// notFound returns the fault for an object that is not in the configuration.
func notFound(kind, name string) *model.Fault {
	return model.NotRun(model.KindNotFound, model.ReasonBadField, fmt.Sprintf("there is no %s %q", kind, name),
		fmt.Sprintf("list what exists with: lentilpoint %ss list", kind))
}

// sortedValues returns the values of a map, sorted by key.
func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}

// newestFirst returns the moves sorted by start time, newest first. Moves that
// started at the same time are sorted by id.
func newestFirst(moves map[model.MoveID]model.Move) []model.Move {
	sorted := sortedValues(moves)
	slices.SortStableFunc(sorted, func(a, b model.Move) int { return b.Started.Compare(a.Started) })
	return sorted
}

// statusOfHosts returns the status of this host and of its members with the
// revisions that they reported, sorted by id.
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

// mergeEvents merges the events of several sources, drops duplicates and returns
// the newest up to the limit, oldest first.
func mergeEvents(parts [][]events.Event, limit int) []events.Event {
	merged := dropDuplicates(slices.Concat(parts...))
	slices.SortStableFunc(merged, func(a, b events.Event) int { return a.At.Compare(b.At) })
	if len(merged) > limit {
		merged = merged[len(merged)-limit:]
	}
	return merged
}

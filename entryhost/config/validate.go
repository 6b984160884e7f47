package config

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// Bounds on the values in a revision.
const (
	// MinDeadline and MaxDeadline bound the default deadline of a service.
	// MaxDeadline equals the longest deadline that the caller API accepts.
	MinDeadline = 10 * time.Millisecond
	MaxDeadline = time.Hour
	// MaxWeight bounds the weight of an organisation in the fair queue.
	MaxWeight = 1_000_000
	// MaxMoveDuration bounds the time between start and deadline of a move.
	MaxMoveDuration = 30 * 24 * time.Hour
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	knownMethods  = []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch,
	}
)

// Problem is one reason why a change is refused.
type Problem struct {
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String describes the problem in one line.
func (p Problem) String() string { return p.Field + ": " + p.Message + "; " + p.Remedy }

// Validate returns all problems of applying the changes to the configuration. The
// changes may be committed if there are none.
func Validate(current *model.Configuration, changes []Change) []Problem {
	v := &validation{current: current, changes: changes, changedTargets: make(map[string]bool)}
	v.next = preview(current, changes)
	if len(changes) == 0 {
		v.addProblem("changes", "there is no change", "name at least one change")
	}
	for i, change := range changes {
		v.checkChange(fmt.Sprintf("changes[%d]", i), change)
	}
	v.checkKeys()
	v.checkRunningMoves()
	return v.problems
}

type validation struct {
	current        *model.Configuration
	next           *model.Configuration
	changes        []Change
	changedTargets map[string]bool
	problems       []Problem
}

func (v *validation) addProblem(field, message, remedy string) {
	v.problems = append(v.problems, Problem{Field: field, Message: message, Remedy: remedy})
}

func (v *validation) checkChange(field string, change Change) {
	if change.fieldCount() != 1 {
		v.addProblem(field, fmt.Sprintf("a change sets %d fields", change.fieldCount()), "set exactly one field of each change")
		return
	}
	if target := change.Target(); v.changedTargets[target] {
		v.addProblem(field, target+" is changed twice", "merge the two changes")
	} else {
		v.changedTargets[target] = true
	}
	switch {
	case change.PutService != nil:
		v.checkService("service "+string(change.PutService.Name), *change.PutService)
	case change.DeleteService != "":
		v.checkServiceDeletion(change.DeleteService)
	case change.PutOrganisation != nil:
		v.checkOrganisation("organisation "+string(change.PutOrganisation.ID), *change.PutOrganisation)
	case change.DeleteOrganisation != "":
		if _, found := v.current.Organisations[change.DeleteOrganisation]; !found {
			v.addProblem("organisation "+string(change.DeleteOrganisation), "it does not exist", "check the name with: lentilpoint organisations list")
		}
	case change.PutMove != nil:
		v.checkMove("move "+string(change.PutMove.ID), *change.PutMove)
	}
}

func (v *validation) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		v.addProblem(field, fmt.Sprintf("the name %q is not valid", name), "use 1 to 63 letters, digits, dots, hyphens or underscores, starting with a letter or digit")
	}
}

func (v *validation) checkService(field string, service model.Service) {
	v.checkName(field+" name", string(service.Name))
	if service.Kind != model.ServiceEngine && service.Kind != model.ServicePlain {
		v.addProblem(field+" kind", fmt.Sprintf("the kind %q does not exist", service.Kind), "use engine or plain")
	}
	if service.DefaultDeadline < MinDeadline || service.DefaultDeadline > MaxDeadline {
		v.addProblem(field+" default_deadline", service.DefaultDeadline.String()+" is out of bounds",
			fmt.Sprintf("set it between %s and %s", MinDeadline, MaxDeadline))
	}
	v.checkMethods(field, service)
	v.checkShares(field, service)
	if before, found := v.current.Services[service.Name]; found {
		v.checkServiceChange(field, before, service)
	}
}

func (v *validation) checkMethods(field string, service model.Service) {
	if service.Kind == model.ServiceEngine && len(service.RepeatableMethods) > 0 {
		v.addProblem(field+" repeatable_methods", "a model service has no methods", "leave them out; generations are continued by lentilpoint")
	}
	for _, method := range service.RepeatableMethods {
		if !slices.Contains(knownMethods, method) {
			v.addProblem(field+" repeatable_methods", fmt.Sprintf("%q is not an HTTP method", method), "use upper-case methods such as GET")
		}
	}
}

// checkShares checks the versions and their shares. A plain service may list
// none; its calls then go to servers of any version.
func (v *validation) checkShares(field string, service model.Service) {
	if service.Kind == model.ServicePlain && len(service.Shares) == 0 {
		return
	}
	total := 0
	seen := make(map[model.Version]bool)
	for _, share := range service.Shares {
		v.checkName(field+" version", string(share.Version))
		if seen[share.Version] {
			v.addProblem(field+" shares", fmt.Sprintf("version %s is listed twice", share.Version), "list each version once")
		}
		seen[share.Version] = true
		if share.Share < 0 || share.Share > model.FullShare {
			v.addProblem(field+" shares", fmt.Sprintf("the share %d of version %s is out of bounds", share.Share, share.Version),
				fmt.Sprintf("use 0 to %d, in units of 0.01%%", model.FullShare))
		}
		total += share.Share
	}
	if total != model.FullShare {
		v.addProblem(field+" shares", fmt.Sprintf("the shares add up to %d", total), fmt.Sprintf("make them add up to %d", model.FullShare))
	}
}

// checkServiceChange refuses to change the versions of a service in force except
// together with a move of that service. Otherwise an untested version would
// receive traffic without the stages of a move.
func (v *validation) checkServiceChange(field string, before, after model.Service) {
	if before.Kind != after.Kind {
		v.addProblem(field+" kind", "the kind of a service cannot change", "create a service with another name")
	}
	if sameShares(before.Shares, after.Shares) {
		return
	}
	move, found := v.moveInChanges(after.Name)
	if !found {
		v.addProblem(field+" shares", "versions of a service in force change only by a move", "run: lentilpoint moves start "+string(after.Name)+" --to VERSION --deadline TIME")
		return
	}
	for _, share := range after.Shares {
		if share.Version != move.From && share.Version != move.To && !before.HasVersion(share.Version) {
			v.addProblem(field+" shares", fmt.Sprintf("version %s is not part of move %s", share.Version, move.ID), "use the versions of the move")
		}
	}
}

func sameShares(a, b []model.VersionShare) bool {
	compare := func(x, y model.VersionShare) int { return strings.Compare(string(x.Version), string(y.Version)) }
	return slices.Equal(slices.SortedFunc(slices.Values(a), compare), slices.SortedFunc(slices.Values(b), compare))
}

// moveInChanges returns the move of the service among the changes.
func (v *validation) moveInChanges(service model.ServiceName) (model.Move, bool) {
	for _, change := range v.changes {
		if change.PutMove != nil && change.PutMove.Service == service {
			return *change.PutMove, true
		}
	}
	return model.Move{}, false
}

func (v *validation) checkServiceDeletion(name model.ServiceName) {
	field := "service " + string(name)
	if _, found := v.current.Services[name]; !found {
		v.addProblem(field, "it does not exist", "check the name with: lentilpoint services list")
	}
	for _, move := range v.current.Moves {
		if move.Service == name && move.State == model.MoveRunning {
			v.addProblem(field, fmt.Sprintf("move %s is running", move.ID), "cancel it first with: lentilpoint moves cancel "+string(move.ID))
		}
	}
}

func (v *validation) checkOrganisation(field string, organisation model.Organisation) {
	v.checkName(field+" id", string(organisation.ID))
	if organisation.Weight < 1 || organisation.Weight > MaxWeight {
		v.addProblem(field+" weight", fmt.Sprintf("the weight %d is out of bounds", organisation.Weight), fmt.Sprintf("use 1 to %d", MaxWeight))
	}
	if organisation.MaxOpen < 0 {
		v.addProblem(field+" max_open", "it is negative", "use 0 for no limit, or a positive number")
	}
	if len(organisation.KeySHA256) == 0 {
		v.addProblem(field+" key_sha256", "it has no API key", "add the SHA-256 digest of at least one key")
	}
	for _, digest := range organisation.KeySHA256 {
		if !digestPattern.MatchString(digest) {
			v.addProblem(field+" key_sha256", "a digest is not a lower-case hex SHA-256", "store the digest, never the key itself")
		}
	}
}

// checkKeys refuses a digest that is listed twice, because a key must identify
// exactly one organisation.
func (v *validation) checkKeys() {
	for _, change := range v.changes {
		if change.PutOrganisation == nil {
			continue
		}
		seen := make(map[string]bool)
		for _, digest := range change.PutOrganisation.KeySHA256 {
			owner, found := v.otherOwner(digest, change.PutOrganisation.ID)
			if found || seen[digest] {
				v.addProblem("organisation "+string(change.PutOrganisation.ID)+" key_sha256", "a key is used twice, also by organisation "+string(owner), "make a new key for each organisation")
			}
			seen[digest] = true
		}
	}
}

// otherOwner returns an organisation other than except that has the digest after
// the changes.
func (v *validation) otherOwner(digest string, except model.OrganisationID) (model.OrganisationID, bool) {
	for _, change := range v.changes {
		put := change.PutOrganisation
		if put != nil && put.ID != except && slices.Contains(put.KeySHA256, digest) {
			return put.ID, true
		}
	}
	before, found := v.current.OrganisationByKey(digest)
	if !found || before.ID == except {
		return "", false
	}
	return before.ID, slices.Contains(v.next.Organisations[before.ID].KeySHA256, digest)
}

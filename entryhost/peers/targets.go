package peers

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/lentilpoint/lentilpoint/model"
)

// gatewaysPerDataCentre is the number of entry hosts of a data centre that
// exchange digests with other data centres, so that the traffic between data
// centres does not grow with the number of hosts. With two, the loss of one does
// not cut off the data centre.
const gatewaysPerDataCentre = 2

// RendezvousRank returns the ids in rendezvous order for a key, highest weight
// first. Removing an id does not change the order of the others.
func RendezvousRank(key string, ids []model.HostID) []model.HostID {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b model.HostID) int {
		return cmp.Or(cmp.Compare(RendezvousWeight(key, b), RendezvousWeight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// RendezvousWeight returns the weight of an id for a key in rendezvous hashing. The
// id with the highest weight is chosen.
func RendezvousWeight(key string, id model.HostID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	// FNV leaves the high bits of similar inputs similar; these steps mix them.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// gateways returns the ids of the gateways of a data centre, chosen among members
// and self.
func gateways(dataCentre model.DataCentre, members []Member, self Member) []model.HostID {
	var ids []model.HostID
	for _, member := range append(slices.Clone(members), self) {
		if member.DataCentre == dataCentre && member.Alive && !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	ranked := RendezvousRank("gateway", ids)
	return ranked[:min(gatewaysPerDataCentre, len(ranked))]
}

// roundsPerRemoteExchange returns the average number of rounds between two
// exchanges of a gateway with another data centre, given the number of live peers
// in its own. Small data centres exchange more often, because their digests are
// short and most of their peers are in other data centres.
func roundsPerRemoteExchange(local int) int {
	switch {
	case local < 4:
		return 1
	case local < 12:
		return 2
	default:
		return 4
	}
}

// roundTargets chooses the peers of one gossip round at random: a live peer of the
// same data centre, for a gateway sometimes a live peer of another data centre,
// and sometimes a peer of the same data centre that is not alive, because only a
// successful exchange shows that it is back.
func roundTargets(random *rand.Rand, members []Member, self Member) []Member {
	var local, notAlive, remote []Member
	for _, member := range members {
		switch {
		case member.DataCentre != self.DataCentre && member.Alive:
			remote = append(remote, member)
		case member.DataCentre == self.DataCentre && member.Alive:
			local = append(local, member)
		case member.DataCentre == self.DataCentre:
			notAlive = append(notAlive, member)
		}
	}
	var targets []Member
	if len(local) > 0 {
		targets = append(targets, local[random.IntN(len(local))])
	}
	if len(notAlive) > 0 && (len(local) == 0 || random.IntN(4) == 0) {
		targets = append(targets, notAlive[random.IntN(len(notAlive))])
	}
	if len(remote) > 0 && random.IntN(roundsPerRemoteExchange(len(local))) == 0 && slices.Contains(gateways(self.DataCentre, members, self), self.ID) {
		targets = append(targets, remote[random.IntN(len(remote))])
	}
	return targets
}

// urgentFanout is the number of random peers of the same data centre that receive
// an urgent fact at once. Each of them forwards it when it first receives it.
const urgentFanout = 3

// urgentTargets chooses the peers that receive an urgent fact at once: random peers
// of the same data centre and, for a fact that goes everywhere, its gateways. A
// gateway also chooses one gateway of each other data centre.
func urgentTargets(random *rand.Rand, members []Member, self Member, everywhere bool) []Member {
	byID := make(map[model.HostID]Member, len(members))
	var local []Member
	remoteCentres := make(map[model.DataCentre]bool)
	for _, member := range members {
		if !member.Alive {
			continue
		}
		byID[member.ID] = member
		if member.DataCentre == self.DataCentre {
			local = append(local, member)
		} else {
			remoteCentres[member.DataCentre] = true
		}
	}
	random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	targets := slices.Clone(local[:min(urgentFanout, len(local))])
	if !everywhere {
		return targets
	}
	ownGateways := gateways(self.DataCentre, members, self)
	for _, id := range ownGateways {
		if member, found := byID[id]; found && !slices.ContainsFunc(targets, func(m Member) bool { return m.ID == id }) {
			targets = append(targets, member)
		}
	}
	if !slices.Contains(ownGateways, self.ID) {
		return targets
	}
	for dataCentre := range remoteCentres {
		if ids := gateways(dataCentre, members, Member{}); len(ids) > 0 {
			targets = append(targets, byID[ids[random.IntN(len(ids))]])
		}
	}
	return targets
}

// isUrgent reports whether facts of a kind are sent at once instead of in the next
// gossip round.
func isUrgent(kind FactKind) bool {
	return kind == FactWithdrawal || kind == FactSuspect
}

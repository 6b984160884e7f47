package peers

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/lentilpoint/lentilpoint/model"
)

// gatewaysPerDataCentre is the number of entry hosts of a data centre that keep
// links to other data centres, so that traffic between data centres does not
// grow with the number of hosts. Two survive the loss of one.
const gatewaysPerDataCentre = 2

// RendezvousRank orders ids for a key; each key has its own order, and a lost
// id moves no other one.
func RendezvousRank(key string, ids []model.HostID) []model.HostID {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b model.HostID) int {
		return cmp.Or(cmp.Compare(RendezvousWeight(key, b), RendezvousWeight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// RendezvousWeight is the weight of an id for a key; the highest wins.
func RendezvousWeight(key string, id model.HostID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	// FNV leaves the high bits of similar inputs alike; this step mixes them.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// gateways returns the members, by id, that link a data centre to the others.
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

// remoteRoundPart returns the share of rounds, as one in this many, in which a
// gateway exchanges with another data centre. Small data centres exchange more
// often: their digests are short, and most of their peers are elsewhere.
func remoteRoundPart(local int) int {
	switch {
	case local < 4:
		return 1
	case local < 12:
		return 2
	default:
		return 4
	}
}

// roundTargets chooses the peers of one gossip round: one of the own data
// centre, and for a gateway now and then one of another data centre. A silent peer is tried
// as well, now and then, because only contact shows that it is back.
func roundTargets(random *rand.Rand, members []Member, self Member) []Member {
	var local, silent, remote []Member
	for _, member := range members {
		switch {
		case member.DataCentre != self.DataCentre && member.Alive:
			remote = append(remote, member)
		case member.DataCentre == self.DataCentre && member.Alive:
			local = append(local, member)
		case member.DataCentre == self.DataCentre:
			silent = append(silent, member)
		}
	}
	var targets []Member
	if len(local) > 0 {
		targets = append(targets, local[random.IntN(len(local))])
	}
	if len(silent) > 0 && (len(local) == 0 || random.IntN(4) == 0) {
		targets = append(targets, silent[random.IntN(len(silent))])
	}
	if len(remote) > 0 && random.IntN(remoteRoundPart(len(local))) == 0 && slices.Contains(gateways(self.DataCentre, members, self), self.ID) {
		targets = append(targets, remote[random.IntN(len(remote))])
	}
	return targets
}

// urgentFanout is the number of random peers of the own data centre that
// receive an urgent fact at once. Each passes it on the first time it sees it.
const urgentFanout = 3

// urgentTargets chooses the peers that receive an urgent fact at once: random
// ones and the gateways of the own data centre, and from a gateway one gateway
// of each other data centre.
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
	own := gateways(self.DataCentre, members, self)
	for _, id := range own {
		if member, found := byID[id]; found && !slices.ContainsFunc(targets, func(m Member) bool { return m.ID == id }) {
			targets = append(targets, member)
		}
	}
	if !slices.Contains(own, self.ID) {
		return targets
	}
	for dataCentre := range remoteCentres {
		if ids := gateways(dataCentre, members, Member{}); len(ids) > 0 {
			targets = append(targets, byID[ids[random.IntN(len(ids))]])
		}
	}
	return targets
}

// urgent reports whether a kind of fact is sent at once instead of with the
// next round.
func urgent(kind FactKind) bool {
	return kind == FactWithdrawal || kind == FactSuspect
}

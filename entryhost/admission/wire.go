package admission

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	usageEntryBytes = 6
	suspicionBytes  = 2
)

// suspectFact encodes a suspicion. It goes to all data centres, because a caller
// may send its request again to any entry host.
func suspectFact(service model.ServiceName, fingerprint model.Fingerprint, suspicion Suspicion) peers.Fact {
	return peers.Fact{
		Kind:       peers.FactSuspect,
		Key:        fmt.Sprintf("%s/%x", service, uint64(fingerprint)),
		Value:      []byte{byte(min(suspicion.Weight, 255)), byte(suspicion.Isolation)},
		Lifetime:   suspectLifetime,
		Everywhere: true,
	}
}

// decodeSuspicion decodes a suspect fact: the fingerprint is the last part of its
// key, the suspicion its value.
func decodeSuspicion(fact peers.Fact) (model.Fingerprint, Suspicion, error) {
	at := strings.LastIndexByte(fact.Key, '/')
	fingerprint, err := strconv.ParseUint(fact.Key[at+1:], 16, 64)
	if err != nil {
		return 0, Suspicion{}, Error.Wrap(err)
	}
	if len(fact.Value) != suspicionBytes || IsolationState(fact.Value[1]) > IsolationCleared {
		return 0, Suspicion{}, Error.New("malformed suspect fact from %s", fact.Origin)
	}
	return model.Fingerprint(fingerprint), Suspicion{Weight: DeathWeight(fact.Value[0]), Isolation: IsolationState(fact.Value[1])}, nil
}

// usageFact encodes the usage of this host. It goes to all data centres, because
// work spills over between them and each has only one or two entry hosts today.
// In a large fleet the size limit of a digest bounds the traffic.
func usageFact(service model.ServiceName, entries []UsageEntry) peers.Fact {
	value := make([]byte, 0, usageEntryBytes*len(entries))
	for _, entry := range entries {
		value = binary.BigEndian.AppendUint32(value, uint32(entry.Organisation))
		value = binary.BigEndian.AppendUint16(value, entry.Open)
	}
	return peers.Fact{Kind: peers.FactUsage, Key: string(service), Value: value, Lifetime: usageLifetime, Everywhere: true}
}

func decodeUsage(fact peers.Fact) ([]UsageEntry, error) {
	if len(fact.Value)%usageEntryBytes != 0 || len(fact.Value) > peers.MaxFactBytes {
		return nil, Error.New("malformed usage fact from %s", fact.Origin)
	}
	entries := make([]UsageEntry, 0, len(fact.Value)/usageEntryBytes)
	for value := fact.Value; len(value) > 0; value = value[usageEntryBytes:] {
		entries = append(entries, UsageEntry{
			Organisation: OrganisationHash(binary.BigEndian.Uint32(value)),
			Open:         binary.BigEndian.Uint16(value[4:]),
		})
	}
	return entries, nil
}

// factService returns the service to which a usage or suspect fact belongs, or ""
// if its key names none.
func factService(fact peers.Fact) model.ServiceName {
	if fact.Kind == peers.FactUsage {
		return model.ServiceName(fact.Key)
	}
	at := strings.LastIndexByte(fact.Key, '/')
	return model.ServiceName(fact.Key[:max(at, 0)])
}

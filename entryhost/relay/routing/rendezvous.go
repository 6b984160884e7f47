package routing

import "hash/fnv"

// RendezvousWeight returns the weight of a host for a key in rendezvous
// hashing. The hosts with the highest weights own the key, and few keys change
// owner when a host is added or removed.
func RendezvousWeight(host, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	// Addresses differ in few bits; the multiplication spreads the difference.
	value := hash.Sum64()
	value ^= value >> 32
	return value * 0x9e3779b97f4a7c15
}

package routing

import "hash/fnv"

// Rendezvous returns the weight of a host for a key. The hosts with the highest
// weights are those of the key, and few keys move when a host comes or goes.
func Rendezvous(host, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	// Addresses differ in few bits; the multiplication spreads them.
	value := hash.Sum64()
	value ^= value >> 32
	return value * 0x9e3779b97f4a7c15
}

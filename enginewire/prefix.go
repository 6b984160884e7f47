package enginewire

import "encoding/binary"

// PrefixBlockTokens is the number of tokens in one block of the prefix cache.
const PrefixBlockTokens = 16

// The FNV-1a constants of the 64-bit hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// RollHash extends a rolling hash by one token.
func RollHash(hash uint64, id TokenID) uint64 {
	if hash == 0 {
		hash = fnvOffset
	}
	var bytes [4]byte
	binary.LittleEndian.PutUint32(bytes[:], uint32(id))
	for _, b := range bytes {
		hash ^= uint64(b)
		hash *= fnvPrime
	}
	return hash
}

// PrefixHashes returns a hash for each whole block of tokens; each covers all
// tokens up to the end of its block.
func PrefixHashes(ids []TokenID) []uint64 {
	hashes := make([]uint64, 0, len(ids)/PrefixBlockTokens)
	var hash uint64
	for i, id := range ids {
		hash = RollHash(hash, id)
		if (i+1)%PrefixBlockTokens == 0 {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

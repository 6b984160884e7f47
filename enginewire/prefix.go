package enginewire

import "encoding/binary"

// PrefixBlockTokens is the number of tokens in one block of the prefix cache.
const PrefixBlockTokens = 16

// Offset basis and prime of the 64-bit FNV-1a hash.
const (
	fnvOffsetBasis uint64 = 14695981039346656037
	fnvPrime       uint64 = 1099511628211
)

// ExtendHash extends the FNV-1a hash of a token sequence by one token. The hash of an
// empty sequence is 0.
func ExtendHash(hash uint64, id TokenID) uint64 {
	if hash == 0 {
		hash = fnvOffsetBasis
	}
	var bytes [4]byte
	binary.LittleEndian.PutUint32(bytes[:], uint32(id))
	for _, b := range bytes {
		hash ^= uint64(b)
		hash *= fnvPrime
	}
	return hash
}

// PrefixHashes returns one hash for each complete block of PrefixBlockTokens. Each
// hash covers all tokens from the start to the end of its block.
func PrefixHashes(ids []TokenID) []uint64 {
	hashes := make([]uint64, 0, len(ids)/PrefixBlockTokens)
	var hash uint64
	for i, id := range ids {
		hash = ExtendHash(hash, id)
		if (i+1)%PrefixBlockTokens == 0 {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

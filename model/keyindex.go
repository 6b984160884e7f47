package model

import "maps"

// keyShards is the number of shards of a KeyIndex. A revision that changes one key
// copies one shard, which has about 36 entries at 9,100 organisations.
const keyShards = 256

// KeyIndex finds the organisation of an API key by the key's hex SHA-256
// digest. It is immutable; an edited copy shares the unchanged shards.
type KeyIndex struct {
	shards [keyShards]map[string]OrganisationID
}

// NewKeyIndex returns the index of all keys of the organisations.
func NewKeyIndex(organisations map[OrganisationID]Organisation) *KeyIndex {
	editor := (&KeyIndex{}).Edit()
	for _, organisation := range organisations {
		editor.Add(organisation)
	}
	return editor.Index()
}

// Find returns the organisation that has a key with the digest.
func (k *KeyIndex) Find(digest string) (OrganisationID, bool) {
	id, found := k.shards[shardNumber(digest)][digest]
	return id, found
}

// Edit returns an editor that starts from the index.
func (k *KeyIndex) Edit() *KeyIndexEditor {
	return &KeyIndexEditor{next: *k}
}

// KeyIndexEditor builds a changed copy of an index. It copies a shard on its first
// change.
type KeyIndexEditor struct {
	next        KeyIndex
	shardCopied [keyShards]bool
}

// Add adds the keys of an organisation.
func (e *KeyIndexEditor) Add(organisation Organisation) {
	for _, digest := range organisation.KeySHA256 {
		e.mutableShard(digest)[digest] = organisation.ID
	}
}

// Remove removes the keys of an organisation.
func (e *KeyIndexEditor) Remove(organisation Organisation) {
	for _, digest := range organisation.KeySHA256 {
		delete(e.mutableShard(digest), digest)
	}
}

// Index returns the changed index. The editor must not be used afterwards.
func (e *KeyIndexEditor) Index() *KeyIndex { return &e.next }

// mutableShard returns the shard of a digest and copies it on its first change.
func (e *KeyIndexEditor) mutableShard(digest string) map[string]OrganisationID {
	shardNo := shardNumber(digest)
	if !e.shardCopied[shardNo] {
		e.shardCopied[shardNo] = true
		e.next.shards[shardNo] = maps.Clone(e.next.shards[shardNo])
	}
	if e.next.shards[shardNo] == nil {
		e.next.shards[shardNo] = make(map[string]OrganisationID)
	}
	return e.next.shards[shardNo]
}

// shardNumber returns the value of the first two hex digits, which are uniformly
// distributed in a SHA-256 digest.
func shardNumber(digest string) int {
	if len(digest) < 2 {
		return 0
	}
	return hexValue(digest[0])<<4 | hexValue(digest[1])
}

func hexValue(digit byte) int {
	switch {
	case digit >= '0' && digit <= '9':
		return int(digit - '0')
	case digit >= 'a' && digit <= 'f':
		return int(digit-'a') + 10
	default:
		return 0
	}
}

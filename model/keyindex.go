package model

import "maps"

// keyShards is the number of parts of a KeyIndex. A revision that changes one
// key copies one part, about 36 entries at 9,100 organisations.
const keyShards = 256

// KeyIndex finds the organisation of an API key by the key's hex SHA-256
// digest. It is immutable; an edit shares the parts that it leaves unchanged.
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

// Find returns the organisation of a digest.
func (k *KeyIndex) Find(digest string) (OrganisationID, bool) {
	id, found := k.shards[shardOf(digest)][digest]
	return id, found
}

// Edit returns an editor that starts from the index.
func (k *KeyIndex) Edit() *KeyIndexEditor {
	return &KeyIndexEditor{next: *k}
}

// KeyIndexEditor builds a changed copy of an index.
type KeyIndexEditor struct {
	next   KeyIndex
	copied [keyShards]bool
}

// Add enters the keys of an organisation.
func (e *KeyIndexEditor) Add(organisation Organisation) {
	for _, digest := range organisation.KeySHA256 {
		e.shard(digest)[digest] = organisation.ID
	}
}

// Remove takes out the keys of an organisation.
func (e *KeyIndexEditor) Remove(organisation Organisation) {
	for _, digest := range organisation.KeySHA256 {
		delete(e.shard(digest), digest)
	}
}

// Index returns the changed index and ends the edit.
func (e *KeyIndexEditor) Index() *KeyIndex { return &e.next }

// shard returns the part of a digest, copied on its first change.
func (e *KeyIndexEditor) shard(digest string) map[string]OrganisationID {
	number := shardOf(digest)
	if !e.copied[number] {
		e.copied[number] = true
		e.next.shards[number] = maps.Clone(e.next.shards[number])
	}
	if e.next.shards[number] == nil {
		e.next.shards[number] = make(map[string]OrganisationID)
	}
	return e.next.shards[number]
}

// shardOf uses the first two hex digits, which are uniform in a SHA-256 digest.
func shardOf(digest string) int {
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

package settings

import (
	"encoding/hex"
	"strings"
)

const (
	// minCursorKeyBytes is the length of the shortest accepted HMAC-SHA256 key.
	minCursorKeyBytes = 16
	// maxCursorKeyIDLength limits the id of a key, because every cursor contains it.
	maxCursorKeyIDLength = 16
)

// CursorKey is an HMAC-SHA256 key that authenticates resume cursors. ID selects
// the key of a cursor while keys are rotated.
type CursorKey struct {
	ID  string
	Key []byte
}

// ParseCursorKeys decodes the id=hex values of --cursor-keys and keeps their
// order, newest first. Its errors never contain a key.
func ParseCursorKeys(values []string) ([]CursorKey, error) {
	keys := make([]CursorKey, 0, len(values))
	seen := make(map[string]bool, len(values))
	for i, entry := range values {
		id, hexKey, found := strings.Cut(entry, "=")
		if !found || !validCursorKeyID(id) {
			return nil, Error.New("entry %d must be id=hex with an id of 1 to %d letters, digits, - or _", i+1, maxCursorKeyIDLength)
		}
		key, err := hex.DecodeString(hexKey)
		if err != nil || len(key) < minCursorKeyBytes {
			return nil, Error.New("entry %d needs a key of at least %d bytes in hexadecimal digits", i+1, minCursorKeyBytes)
		}
		if seen[id] {
			return nil, Error.New("entry %d repeats the id %s", i+1, id)
		}
		seen[id] = true
		keys = append(keys, CursorKey{ID: id, Key: key})
	}
	return keys, nil
}

func validCursorKeyID(id string) bool {
	if id == "" || len(id) > maxCursorKeyIDLength {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	})
}

package settings

import (
	"encoding/hex"
	"strings"
)

const (
	// minCursorKeyBytes is the shortest key that HMAC-SHA256 is used with.
	minCursorKeyBytes = 16
	// maxCursorKeyID bounds the id of a key, which is part of each cursor.
	maxCursorKeyID = 16
)

// CursorKey authenticates resume cursors. ID tells keys apart during rotation.
type CursorKey struct {
	ID  string
	Key []byte
}

// ParseCursorKeys decodes the values of --cursor-keys, newest first. Errors
// never show a key.
func ParseCursorKeys(values []string) ([]CursorKey, error) {
	keys := make([]CursorKey, 0, len(values))
	seen := make(map[string]bool, len(values))
	for i, value := range values {
		id, text, found := strings.Cut(value, "=")
		if !found || !validCursorKeyID(id) {
			return nil, Error.New("entry %d must be id=hex with an id of 1 to %d letters, digits, - or _", i+1, maxCursorKeyID)
		}
		key, err := hex.DecodeString(text)
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
	if id == "" || len(id) > maxCursorKeyID {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	})
}

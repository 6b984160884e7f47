package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/lentilpoint/lentilpoint/model"
)

// RowPrefix starts the keys of all claims in the table.
const RowPrefix = "claims/"

// RowKey returns the row of an organisation's key. The key is hashed, because
// callers choose it and it may hold any bytes. The hash comes first, so that
// rows are spread evenly and sweepers can start anywhere.
func RowKey(organisation model.OrganisationID, key string) string {
	digest := sha256.Sum256([]byte(string(organisation) + "\x00" + key))
	return RowPrefix + hex.EncodeToString(digest[:]) + "/" + string(organisation)
}

// BodyHash identifies what a call asks for. Each part is preceded by its
// length, so that parts cannot be shifted into each other.
func BodyHash(service model.ServiceName, method, path string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		_ = json.NewEncoder(hash).Encode(len(part))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Encode returns the value of a row.
func Encode(record Record) ([]byte, error) {
	value, err := json.Marshal(record)
	return value, Error.Wrap(err)
}

// Decode reads the value of a row.
func Decode(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, Error.Wrap(err)
}

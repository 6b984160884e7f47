package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/lentilpoint/lentilpoint/model"
)

// RowPrefix is the common prefix of the row keys of all claims in the table.
const RowPrefix = "claims/"

// RowKey returns the row key for an organisation's idempotency key. The key is
// hashed, because callers choose it and it may contain any bytes. The hash
// comes first, so that rows are spread evenly and sweepers can start anywhere.
func RowKey(organisation model.OrganisationID, key string) string {
	digest := sha256.Sum256([]byte(string(organisation) + "\x00" + key))
	return RowPrefix + hex.EncodeToString(digest[:]) + "/" + string(organisation)
}

// BodyHash identifies the content of a call. Each part is preceded by its
// length, so that different parts never hash the same bytes.
func BodyHash(service model.ServiceName, method, path string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		_ = json.NewEncoder(hash).Encode(len(part))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Encode encodes a record as the value of its row.
func Encode(record Record) ([]byte, error) {
	value, err := json.Marshal(record)
	return value, Error.Wrap(err)
}

// Decode decodes the value of a row.
func Decode(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, Error.Wrap(err)
}

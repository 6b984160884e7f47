package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxSnapshotBytes bounds a decoded snapshot. At the target size one takes about
// 2 MB.
const maxSnapshotBytes = 64 << 20

// snapshotBody is the JSON of a configuration in the object store and in answers
// to peers. The key index is rebuilt from it.
type snapshotBody struct {
	Revision      model.Revision                              `json:"revision"`
	Services      map[model.ServiceName]model.Service         `json:"services"`
	Organisations map[model.OrganisationID]model.Organisation `json:"organisations"`
	Moves         map[model.MoveID]model.Move                 `json:"moves"`
}

// EncodeSnapshot returns the configuration as gzip-compressed JSON.
func EncodeSnapshot(configuration *model.Configuration) ([]byte, error) {
	var content bytes.Buffer
	writer := gzip.NewWriter(&content)
	err := json.NewEncoder(writer).Encode(snapshotBody{
		Revision: configuration.Revision, Services: configuration.Services,
		Organisations: configuration.Organisations, Moves: configuration.Moves,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return content.Bytes(), nil
}

// DecodeSnapshot returns the configuration of a snapshot with its key index.
func DecodeSnapshot(content []byte) (*model.Configuration, error) {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var body snapshotBody
	if err := json.NewDecoder(io.LimitReader(reader, maxSnapshotBytes)).Decode(&body); err != nil {
		return nil, Error.Wrap(err)
	}
	configuration := Empty()
	configuration.Revision = body.Revision
	if body.Services != nil {
		configuration.Services = body.Services
	}
	if body.Organisations != nil {
		configuration.Organisations = body.Organisations
		configuration.Keys = model.NewKeyIndex(body.Organisations)
	}
	if body.Moves != nil {
		configuration.Moves = body.Moves
	}
	return configuration, nil
}

// decodeRecords decodes rows up to the first one that this version cannot decode
// or apply, and returns the error of that row.
func decodeRecords(rows []platform.Row) ([]RevisionRecord, error) {
	records := make([]RevisionRecord, 0, len(rows))
	for _, row := range rows {
		var record RevisionRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return records, ErrUndecodable.New("row %s: %v; upgrade this host or repair the row", row.Key, err)
		}
		if !knowsAllChanges(record) {
			return records, ErrUndecodable.New("row %s holds a change that this version does not know; upgrade this host", row.Key)
		}
		records = append(records, record)
	}
	return records, nil
}

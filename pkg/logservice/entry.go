package logservice

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Entry is the envelope of the records that this system writes. Its ID is used
// to find a record in the tail of the stream when the answer to its append was
// lost.
type Entry struct {
	// ID is unique per append. Only a record that a caller deliberately appends
	// again keeps its ID.
	ID string `json:"id"`
	// Kind names the type of Body within the stream.
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// NewEntry encodes body as JSON into an entry.
func NewEntry(id, kind string, body any) (Entry, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Entry{}, errors.Wrapf(err, "encode %s record", kind)
	}
	return Entry{ID: id, Kind: kind, Body: data}, nil
}

// Encode returns the entry as the JSON data of a record.
func (e Entry) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode entry")
}

// DecodeEntry decodes the data of a record. It reports false if data is not JSON
// or has no ID.
func DecodeEntry(data []byte) (Entry, bool) {
	var e Entry
	if json.Unmarshal(data, &e) != nil || e.ID == "" {
		return Entry{}, false
	}
	return e, true
}

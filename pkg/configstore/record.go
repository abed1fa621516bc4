package configstore

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// MaxChangeBytes is the size limit of one encoded change record. A change is
// atomic and cannot be split. The limit allows about 20,000 objects.
const MaxChangeBytes = 4 << 20

// NoVersion is the version of an empty configuration.
const NoVersion int64 = -1

// record is the content of one record of the stream. Exactly one field is set.
type record struct {
	Change   *Change      `json:"change,omitempty"`
	Withdraw *Withdrawal  `json:"withdraw,omitempty"`
	Start    *startRecord `json:"start,omitempty"`
	Chunk    *chunk       `json:"chunk,omitempty"`
}

// Change is a set of upserts and deletions that takes effect as a whole or not
// at all. An upsert grants a key; a deletion or a Withdrawal withdraws it.
type Change struct {
	// ID is unique to the change.
	ID string `json:"id"`
	// Author names who made the change. It does not affect the verdict.
	Author string `json:"author,omitempty"`
	// Base is the version of the configuration that the change was made from.
	Base    int64                `json:"base"`
	Upserts []declaration.Object `json:"upserts,omitempty"`
	Deletes []declaration.Ref    `json:"deletes,omitempty"`
}

// NewChange returns the change that applies difference to version base.
func NewChange(id, author string, base int64, difference declaration.Difference) Change {
	c := Change{ID: id, Author: author, Base: base}
	for _, d := range difference {
		if d.Change == declaration.Removed {
			c.Deletes = append(c.Deletes, d.Ref)
			continue
		}
		c.Upserts = append(c.Upserts, declaration.Object{Ref: d.Ref, Value: d.Value})
	}
	return c
}

// Withdrawal withdraws keys and removes their declarations. It has no base and
// always takes effect, so that a concurrent change cannot delay it.
type Withdrawal struct {
	// ID is unique to the withdrawal.
	ID     string    `json:"id"`
	Hashes []KeyHash `json:"hashes"`
}

// startRecord marks a point in the stream. The process that appended it folds
// through it, so that its state includes everything accepted before.
type startRecord struct {
	// Nonce is unique to the process and attempt.
	Nonce string `json:"nonce"`
	Host  string `json:"host"`
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode config record")
}

// decodeRecord returns false for a record that does not decode and therefore has
// no effect.
func decodeRecord(data []byte) (record, bool) {
	var r record
	err := json.Unmarshal(data, &r)
	return r, err == nil
}

// Conflict is an object that changed after the base of a refused change.
type Conflict struct {
	declaration.Ref
	// Changed is the version that changed or removed it.
	Changed int64 `json:"changed"`
	// Exists is true if the object was declared when the change was refused.
	Exists bool `json:"exists"`
}

// Verdict is the fold's decision on one change or withdrawal.
type Verdict struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Version is the offset of the record.
	Version int64 `json:"version"`
	// Conflicts lists the objects that changed after the base.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Invalid lists the reasons why the resulting configuration would be invalid.
	Invalid []string `json:"invalid,omitempty"`
}

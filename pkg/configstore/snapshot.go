package configstore

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

const (
	// ChunkBytes is the size limit of a chunk's data before its JSON encoding.
	ChunkBytes = 256 << 10
	// MaxStateBytes is the size limit of a decompressed state. It protects
	// against a corrupt or hostile peer. 13,000 teams with four keys each take
	// about 12 MB.
	MaxStateBytes = 256 << 20
	// maxChunks is the largest chunk count that a chunk record may state.
	maxChunks = MaxStateBytes / ChunkBytes
	// maxPartialSnapshots limits the incomplete snapshots that a reader keeps.
	maxPartialSnapshots = 2
)

// chunk is one part of a snapshot of the fold.
type chunk struct {
	// Next is the offset of the first record that the snapshot does not cover.
	Next  int64 `json:"next"`
	Index int   `json:"index"`
	Count int   `json:"count"`
	// SHA256 is the digest of the whole encoded snapshot.
	SHA256 KeyHash `json:"sha256"`
	Data   []byte  `json:"data"`
}

// state is the encoded form of a fold.
type state struct {
	Next    int64                `json:"next"`
	Version int64                `json:"version"`
	Doc     declaration.Document `json:"document"`
	// Changed holds the version that last changed each object of Doc, in
	// canonical order.
	Changed    []int64             `json:"changed"`
	Tombstones []tombstone         `json:"tombstones,omitempty"`
	Withdrawn  []withdrawalVersion `json:"withdrawn,omitempty"`
}

type tombstone struct {
	declaration.Ref
	Changed int64 `json:"changed"`
}

type withdrawalVersion struct {
	Hash    KeyHash `json:"hash"`
	Changed int64   `json:"changed"`
}

// encode returns the fold as gzip-compressed JSON. Equal folds have equal
// encodings.
func (f *fold) encode() ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(f.state()); err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	return b.Bytes(), nil
}

// state returns the content of the fold in canonical order.
func (f *fold) state() state {
	s := state{Next: f.next, Version: f.version, Doc: f.document()}
	for _, ref := range f.sortedRefs() {
		s.Changed = append(s.Changed, f.objects[ref].changed)
	}
	for ref, at := range f.tombstones {
		s.Tombstones = append(s.Tombstones, tombstone{ref, at})
	}
	sort.Slice(s.Tombstones, func(i, j int) bool { return s.Tombstones[i].Compare(s.Tombstones[j].Ref) < 0 })
	for h, at := range f.withdrawn {
		s.Withdrawn = append(s.Withdrawn, withdrawalVersion{h, at})
	}
	sort.Slice(s.Withdrawn, func(i, j int) bool {
		return bytes.Compare(s.Withdrawn[i].Hash[:], s.Withdrawn[j].Hash[:]) < 0
	})
	return s
}

// decodeFold is the inverse of encode. It fails unless the whole state is valid.
func decodeFold(data []byte) (*fold, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	// All data is read before it is decoded, because gzip verifies its checksum
	// only at the end.
	text, err := io.ReadAll(io.LimitReader(r, MaxStateBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	var s state
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	if err := declaration.Validate(s.Doc); err != nil {
		return nil, errors.Wrap(err, "validate declarations of the state")
	}
	return s.fold()
}

func (s state) fold() (*fold, error) {
	f := newFold()
	f.next, f.version = s.Next, s.Version
	values := sortedObjects(s.Doc)
	if len(values) != len(s.Changed) || s.Version >= s.Next {
		return nil, errors.New("decode state: object versions do not match the objects, or the version is not below the offset")
	}
	var refs []declaration.Ref
	byRef := make(map[declaration.Ref]any, len(values))
	for i, v := range values {
		f.insert(v.ref, v.value, s.Changed[i])
		refs = append(refs, v.ref)
		byRef[v.ref] = v.value
	}
	f.countReferrers(refs, byRef, 1)
	for _, t := range s.Tombstones {
		f.tombstones[t.Ref] = t.Changed
	}
	for _, w := range s.Withdrawn {
		f.withdrawn[w.Hash] = w.Changed
	}
	return f, nil
}

type refValue struct {
	ref   declaration.Ref
	value any
}

// sortedObjects returns the objects of doc in canonical order. The keys share
// the strings of their teams' names to save memory, because keys are the most
// numerous objects.
func sortedObjects(doc declaration.Document) []refValue {
	var values []refValue
	names := map[string]string{}
	doc.Each(func(kind declaration.Kind, name string, value any) {
		switch v := value.(type) {
		case declaration.Team:
			names[name] = name
		case declaration.Key:
			v.Team = names[v.Team]
			value = v
		}
		values = append(values, refValue{declaration.Ref{Kind: kind, Name: name}, value})
	})
	sort.SliceStable(values, func(i, j int) bool { return values[i].ref.Compare(values[j].ref) < 0 })
	return values
}

// encodeChunks splits an encoded state into chunk records with up to size bytes
// of data each. next is the offset of the state.
func encodeChunks(next int64, data []byte, size int) ([][]byte, error) {
	digest := KeyHash(sha256.Sum256(data))
	count := (len(data) + size - 1) / size
	records := make([][]byte, 0, count)
	for i := range count {
		part := data[i*size : min((i+1)*size, len(data))]
		encoded, err := record{Chunk: &chunk{Next: next, Index: i, Count: count, SHA256: digest, Data: part}}.encode()
		if err != nil {
			return nil, err
		}
		records = append(records, encoded)
	}
	return records, nil
}

// assembler assembles snapshots from their chunks. It is not safe for concurrent
// use.
type assembler struct {
	partial []*partialSnapshot

	// ignoreDigest combines chunks of different snapshots. Only tests set it.
	ignoreDigest bool
}

type partialSnapshot struct {
	chunk
	parts   [][]byte
	missing int
}

// add returns the encoded state if c completes a snapshot, else nil. Chunks of
// equal snapshots by different writers count as one snapshot.
func (a *assembler) add(c chunk) []byte {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count || len(c.Data) > ChunkBytes {
		return nil
	}
	p := a.find(c)
	if p.parts[c.Index] == nil {
		p.parts[c.Index] = c.Data
		p.missing--
	}
	if p.missing > 0 {
		return nil
	}
	a.drop(p)
	data := bytes.Join(p.parts, nil)
	if !a.ignoreDigest && sha256.Sum256(data) != p.SHA256 {
		return nil
	}
	return data
}

func (a *assembler) find(c chunk) *partialSnapshot {
	for _, p := range a.partial {
		same := p.SHA256 == c.SHA256 && p.Next == c.Next
		if p.Count == c.Count && (same || a.ignoreDigest) {
			return p
		}
	}
	if len(a.partial) == maxPartialSnapshots {
		a.drop(a.partial[0])
	}
	p := &partialSnapshot{chunk: c, parts: make([][]byte, c.Count), missing: c.Count}
	a.partial = append(a.partial, p)
	return p
}

func (a *assembler) drop(done *partialSnapshot) {
	kept := a.partial[:0:0]
	for _, p := range a.partial {
		if p != done {
			kept = append(kept, p)
		}
	}
	a.partial = kept
}

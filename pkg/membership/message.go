package membership

import "time"

// Message is a request or an answer of an exchange. A first request carries the
// digests. Its answer carries what the requester lacks, and lists the
// differences. A second request is sent only if one side still lacks something:
// it carries what the answering host lacks and lists what the requester lacks.
// Fields are encoded by position, so new ones are only appended.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From Incarnation
	// ConfigOffset and ConfirmedAgeMillis hold the sender's LocalStatus.
	ConfigOffset       int64
	ConfirmedAgeMillis int64
	// Limit is the number of bytes of entries that the sender accepts in reply.
	Limit int
	// Vector lists the known incarnations of the own domain. Only hosts of one
	// domain exchange it. An answer lists differences only.
	Vector []vectorItem
	// DomainHashes holds one hash per domain over its global streams.
	DomainHashes []domainHash
	// Global lists the incarnations of the domains whose hashes differ.
	Global []globalList
	Deltas []delta
	// DomainAges lists the time since each domain was last seen; answers only.
	DomainAges []domainAge
}

// vectorItem is what the sender knows of one incarnation. In an answer, a zero
// Heartbeat means that the sender does not know the incarnation.
type vectorItem struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Heartbeat uint64
	Seqs      [streamCount]uint64
}

// globalList holds the incarnations of a domain that have global entries.
type globalList struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Items  []globalItem
}

// globalItem holds the sequence numbers of the streams after streamDomain.
type globalItem struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Seqs [globalStreamCount]uint64
}

// domainHash is the hash over the global streams of a domain's incarnations.
type domainHash struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Hash   uint64
}

// domainAge is the time since a domain was last seen, in milliseconds.
type domainAge struct {
	_         struct{} `cbor:",toarray"`
	Domain    string
	AgeMillis int64
}

// delta carries entries of one incarnation in the order of sequence numbers.
type delta struct {
	_         struct{} `cbor:",toarray"`
	Origin    Incarnation
	Heartbeat uint64
	Entries   []wireEntry
	// Base is, per stream, the sequence number after which the entries start. A
	// receiver that knows less skips the stream, because it would miss entries.
	Base [streamCount]uint64
	// Through is, per stream, the sequence number up to which the receiver knows
	// all current entries after this delta; zero if the stream is not carried.
	Through [streamCount]uint64
}

type wireEntry struct {
	_       struct{} `cbor:",toarray"`
	Stream  stream
	Seq     uint64
	Kind    string
	Key     string
	Version uint64
	Value   []byte
	// TTLMillis is the remaining TTL; zero if unlimited.
	TTLMillis int64
}

// wireEntryOverheadBytes estimates the encoded size of an entry's numeric fields.
const wireEntryOverheadBytes = 24

func (w wireEntry) size() int {
	return len(w.Kind) + len(w.Key) + len(w.Value) + wireEntryOverheadBytes
}

func (m *Message) confirmedAge() time.Duration {
	return time.Duration(m.ConfirmedAgeMillis) * time.Millisecond
}

// stream identifies a stream of an incarnation, also on the wire.
type stream int

const (
	streamDomain stream = iota
	streamGlobal
	streamLasting
	streamBulk
	streamCount = 4
	// globalStreamCount is the number of streams after streamDomain, all of
	// which reach other domains.
	globalStreamCount = streamCount - 1
)

func (e Entry) stream() stream {
	switch {
	case e.Lasting:
		return streamLasting
	case e.Bulk && e.Scope == ScopeGlobal:
		return streamBulk
	case e.Scope == ScopeGlobal:
		return streamGlobal
	}
	return streamDomain
}

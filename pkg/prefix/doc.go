// Package prefix computes the chained hashes that identify prompt prefixes and
// keeps an index of the endpoints that cache each prefix.
//
// The index learns from this host's own sends, which count at once, and from the
// engines' cache events, which arrive late and may have gaps. A gap or a new
// engine instance lowers the certainty of older entries until the chunk is
// reported or sent again. Without events the index follows own sends alone. It
// holds a bounded number of chunks.
package prefix

package configstore

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as a caller sends it. It does not allocate.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// ParseKeyHash decodes a hash of 64 hexadecimal digits, upper or lower case.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return h, errors.Errorf("a key hash has %d digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, errors.Wrap(err, "parse key hash")
}

// String returns the hash in lower-case hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	parsed, err := ParseKeyHash(string(text))
	if err == nil {
		*h = parsed
	}
	return err
}

package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Kind names a type of message. Kinds are part of the protocol between hosts of
// different versions, so a kind's meaning never changes.
type Kind string

// frameHeaderBytes is the size of the big-endian length before each message.
const frameHeaderBytes = 4

// request is a message to a handler. Fields are encoded by position, so new ones
// are only appended.
type request struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// TimeoutMillis is how long the sender waits; zero for one-way messages.
	TimeoutMillis int64
	Body          cbor.RawMessage
}

// answer is the reply to a request.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Code    Code
	Message string
	Body    cbor.RawMessage
}

// writeFrame writes one message and returns the size of its frame in bytes.
func writeFrame(w io.Writer, message any, limit int) (int, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return 0, err
	}
	if len(body) > limit {
		return 0, ErrTooLarge
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return w.Write(append(frame, body...))
}

// readFrame reads one message and returns the size of its frame in bytes. The
// length is checked against the limit before memory is allocated for the body.
func readFrame(r io.Reader, message any, limit int) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if uint64(length) > uint64(limit) {
		return 0, ErrTooLarge
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, err
	}
	return frameHeaderBytes + len(body), cbor.Unmarshal(body, message)
}

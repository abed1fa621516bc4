package tunnel

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds the line that opens a tunnel and the one that answers it.
	maxLineBytes = 1024
	// maxFrameBytes bounds the payload of a frame. A frame is its length in two bytes,
	// big-endian, and the payload. One without payload marks the end.
	maxFrameBytes    = 8 << 10
	frameHeaderBytes = 2
)

// openRequest asks for a connection to an endpoint.
type openRequest struct {
	// Address is the endpoint's, as IP:port.
	Address string `json:"address"`
	// OpenMillis bounds the opening of the connection, LifeMillis the time from the request
	// to the end of the tunnel; zero means no bound.
	OpenMillis int64 `json:"openMillis"`
	LifeMillis int64 `json:"lifeMillis,omitempty"`
}

// openAnswer answers an openRequest. Outcome is Opened if the connection is open.
type openAnswer struct {
	Outcome Outcome `json:"outcome"`
	// Unsure says that the helping host has opened no connection to any endpoint lately. If
	// it has not reached this one, it may be cut off.
	Unsure bool `json:"unsure,omitempty"`
}

// Outcome is the result of asking for a tunnel.
type Outcome string

const (
	// Opened means that the endpoint is connected.
	Opened Outcome = "opened"
	// Refused means that the endpoint's machine refused the helping host's connection.
	Refused Outcome = "refused"
	// NoAnswer means that the endpoint did not answer the helping host in time.
	NoAnswer Outcome = "no_answer"
	// CutOff means that the helping host has no path to the endpoint itself.
	CutOff Outcome = "cut_off"
	// Busy means that the helping host carries as many tunnels as it may.
	Busy Outcome = "busy"
	// Stopping means that the helping host is stopping.
	Stopping Outcome = "stopping"
	// NotServing means that the helping host knows of no endpoint at the address that takes
	// requests now.
	NotServing Outcome = "not_serving"
	// Invalid means that the request could not be read.
	Invalid Outcome = "invalid"
)

// ofEndpoint reports whether the outcome tells of the endpoint, if the host that was asked
// is not cut off.
func (o Outcome) ofEndpoint() bool { return o == Refused || o == NoAnswer }

func writeLine(w io.Writer, v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

func readLine(r *bufio.Reader, v any) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, v)
}

// writeFrame writes one frame. An empty payload marks the end.
func writeFrame(w io.Writer, payload []byte) error {
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint16(header[:], uint16(len(payload)))
	frame := net.Buffers{header[:], payload}
	_, err := frame.WriteTo(w)
	return err
}

// frameReader reads the payloads of frames. A read that fails with a timeout can be
// repeated without loss.
type frameReader struct {
	r *bufio.Reader
	// header holds the first headerRead bytes of the next frame's header, left counts the
	// bytes of the current payload that have not been read.
	header     [frameHeaderBytes]byte
	headerRead int
	left       int
	ended      bool
}

// Read implements io.Reader. It returns io.EOF only after the mark of the end.
func (f *frameReader) Read(p []byte) (int, error) {
	for f.left == 0 {
		if f.ended {
			return 0, io.EOF
		}
		n, err := f.r.Read(f.header[f.headerRead:])
		if f.headerRead += n; f.headerRead < frameHeaderBytes {
			if err != nil {
				return 0, unexpectedEnd(err)
			}
			continue
		}
		f.headerRead = 0
		f.left = int(binary.BigEndian.Uint16(f.header[:]))
		f.ended = f.left == 0
		if f.left > maxFrameBytes {
			return 0, errors.Errorf("a frame of %d bytes exceeds the limit", f.left)
		}
	}
	n, err := f.r.Read(p[:min(len(p), f.left)])
	f.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, unexpectedEnd(err)
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Package httphead reads the heads of HTTP/1.1 answers.
package httphead

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxInterim bounds the interim (1xx) answers before the final one.
const maxInterim = 8

var (
	// ErrInvalidStatus reports a status below 100, which is no answer (RFC 9110, 15).
	// fasthttp takes 000 as 200.
	ErrInvalidStatus = errors.New("the status of the answer is invalid")
	// ErrTooManyInterim reports more than maxInterim interim answers.
	ErrTooManyInterim = errors.Errorf("more than %d interim answers", maxInterim)
)

// ReadFinal reads the head of the final answer into head and skips interim (1xx) ones.
// A head that does not fit into the buffer of r is an error.
func ReadFinal(r *bufio.Reader, head *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if err := checkStatus(r); err != nil {
			return err
		}
		if err := head.Read(r); err != nil {
			return err
		}
		if head.StatusCode() >= 200 {
			return nil
		}
	}
	return ErrTooManyInterim
}

// InvalidStatus reports whether a status line, or its beginning, has a status below 100.
func InvalidStatus(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	return bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("0"))
}

// checkStatus returns ErrInvalidStatus if the next head has a status below 100, or the
// error of a read that ends before its first line does. It leaves all other faults of the
// line to the parser of the head.
func checkStatus(r *bufio.Reader) error {
	var err error
	for {
		buffered, _ := r.Peek(r.Buffered())
		line, _, complete := bytes.Cut(bytes.TrimLeft(buffered, "\r\n"), []byte("\n"))
		switch {
		case complete || errors.Is(err, bufio.ErrBufferFull):
			if InvalidStatus(line) {
				return errors.Wrapf(ErrInvalidStatus, "%.40q", line)
			}
			return nil
		case errors.Is(err, io.EOF) && len(line) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		_, err = r.Peek(r.Buffered() + 1)
	}
}

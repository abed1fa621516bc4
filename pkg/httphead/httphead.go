// Package httphead reads HTTP/1.1 answers and checks their heads.
package httphead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxInterim bounds the interim (1xx) answers before the final one.
	maxInterim = 8
	// maxQuotedBytes bounds what an InvalidError holds of a head.
	maxQuotedBytes = 40
)

// ErrTooManyInterim reports more than maxInterim interim answers.
var ErrTooManyInterim = errors.Errorf("more than %d interim answers", maxInterim)

// InvalidError reports a head that is not valid. Nothing of the answer counts, and the rest
// of its connection must not be read.
type InvalidError struct {
	// Part is the part of the head that is not valid: "status line" or "field name".
	Part string
	// Text is the beginning of that part as it was received.
	Text string
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the answer has an invalid %s %q", e.Part, e.Text)
}

func newInvalidError(part string, text []byte) *InvalidError {
	return &InvalidError{Part: part, Text: string(text[:min(len(text), maxQuotedBytes)])}
}

// ReadFinal reads the head of the final answer into head and skips interim (1xx) ones. The
// cause is an *InvalidError if one of these heads is not valid. A head that does not fit into
// the buffer of r is an error.
func ReadFinal(r *bufio.Reader, head *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if _, _, err := Check(r); err != nil {
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

// ReadAnswer reads the complete final answer to a request with the method. The cause is an
// *InvalidError as in ReadFinal, or fasthttp.ErrBodyTooLarge if the body has more than maxBody
// bytes; zero means no bound.
func ReadAnswer(r *bufio.Reader, answer *fasthttp.Response, method string, maxBody int) error {
	if err := ReadFinal(r, &answer.Header); err != nil {
		return err
	}
	status := answer.StatusCode()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	chunked := answer.Header.ContentLength() == -1
	if err := answer.ReadBody(r, maxBody); err != nil || !chunked {
		return err
	}
	return errors.Wrap(answer.Header.ReadTrailer(r), "read trailer")
}

// Check waits for the whole next head, which stays in r, and returns its status and its size
// in bytes, with the empty lines before it. The cause is an *InvalidError if the status or
// the name of a field is not valid: the parser of fasthttp takes the status 000 as 200, accepts
// spaces in names and removes those before the colon. Check leaves all other faults to the
// parser. The error is io.EOF if r ends before the head begins.
func Check(r *bufio.Reader) (status, size int, err error) {
	for {
		line, err := peekLine(r, size)
		if errors.Is(err, io.EOF) && (status > 0 || len(line) > 0) {
			return 0, 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, 0, err
		}
		size += len(line)
		line = trimLineEnd(line)
		switch {
		case status == 0 && len(line) > 0:
			if status, err = parseStatus(line); err != nil {
				return 0, 0, err
			}
		case status > 0 && len(line) == 0:
			return status, size, nil
		case status > 0:
			if err := checkField(line); err != nil {
				return 0, 0, err
			}
		}
	}
}

// peekLine returns the line that begins offset bytes from the next one of r, with its end.
// An error comes with what there is of the line.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	var err error
	for {
		buffered, _ := r.Peek(r.Buffered())
		rest := buffered[offset:]
		if end := bytes.IndexByte(rest, '\n'); end >= 0 {
			return rest[:end+1], nil
		}
		if err != nil {
			return rest, err
		}
		_, err = r.Peek(len(buffered) + 1)
	}
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// parseStatus returns the status code of a status line (RFC 9110, 15).
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 || status > 599 {
		return 0, newInvalidError("status line", line)
	}
	return status, nil
}

// checkField checks the name of the field in a line. A line that begins with whitespace would
// continue the value of the field before it, which RFC 9112, 5.2 lets a proxy refuse.
func checkField(line []byte) error {
	name, _, colon := bytes.Cut(line, []byte(":"))
	if !colon || !httpguts.ValidHeaderFieldName(string(name)) {
		return newInvalidError("field name", name)
	}
	return nil
}

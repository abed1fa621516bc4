package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record is the record.txt of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates record.txt in the folder that the script names in CASE_DIR.
func newRecord() *record {
	f, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the last line and returns the exit code.
func (r *record) verdict(wasBroken bool, format string, args ...any) int {
	text, code := "held: ", held
	if wasBroken {
		text, code = "BROKEN: ", broken
	}
	text += fmt.Sprintf(format, args...)
	r.line("%s", text)
	fmt.Println(text)
	_ = r.file.Close()
	return code
}

// request returns the bytes of a request with the headers that clients send.
func request(method, path, id string, deadline time.Duration, fields ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Clementineshed-Attempt-Id: %s\r\nX-Clementineshed-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		method, path, id, deadline.Milliseconds(), key)
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + "\r\n"
}

// dial connects to a host.
func dial(h *host) (net.Conn, error) { return net.DialTimeout("tcp", h.callers, time.Second) }

// answerOf reads the head of the next answer.
func answerOf(r *bufio.Reader) (*http.Response, error) { return http.ReadResponse(r, nil) }

// events reads a stream until its end and returns the ids of its events. complete says that
// the end of the body was marked.
func events(resp *http.Response, onEvent func(id string)) (ids []string, complete bool) {
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		if id, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			ids = append(ids, id)
			if onEvent != nil {
				onEvent(id)
			}
		}
		if err != nil {
			return ids, err == io.EOF
		}
	}
}

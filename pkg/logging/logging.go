// Package logging configures the structured log, which has one line of key=value
// pairs for each event.
package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/pkg/errors"
)

// New returns a logger that writes events of at least the level ("debug",
// "info", "warn", "error") to w. Each line carries the host's name.
func New(w io.Writer, level, host string) (log.Interface, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	logger := &log.Logger{Handler: logfmt.New(&lineWriter{out: w}), Level: parsed}
	return logger.WithField("host", host), nil
}

// Discard returns a logger that drops everything.
func Discard() log.Interface {
	return &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
}

// lineWriter collects the parts of a line and writes each line to out in one
// call. The handler writes a line in several parts under its own lock; an output
// that drops or mixes parts would garble lines.
type lineWriter struct {
	out  io.Writer
	line []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.line = append(w.line, p...)
	if len(p) == 0 || p[len(p)-1] != '\n' {
		return len(p), nil
	}
	_, err := w.out.Write(w.line)
	w.line = w.line[:0]
	return len(p), err
}

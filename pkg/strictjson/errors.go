package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one error of a document.
type Error struct {
	// File names the document; empty if it has no name.
	File string `json:"file,omitempty"`
	// Line counts from 1; zero if unknown.
	Line int `json:"line,omitempty"`
	// Path is the path in the document, such as "routes[2].class"; empty for
	// the document as a whole.
	Path string `json:"path,omitempty"`
	// Found is what the document contains.
	Found string `json:"found"`
	// Allowed is what it may contain.
	Allowed string `json:"allowed"`
}

// Error implements the error interface.
func (e Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File)
		if e.Line > 0 {
			fmt.Fprintf(&b, ":%d", e.Line)
		}
		b.WriteString(": ")
	}
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	return b.String() + "found " + e.Found + "; allowed: " + e.Allowed
}

// Errors holds all errors of one or more documents. It is never empty when
// returned as an error.
type Errors []Error

// Error implements the error interface with one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts e in place by file and line and returns it, or nil if e is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	sort.SliceStable(e, func(i, j int) bool {
		a, b := e[i], e[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return e
}

// Join returns e with the errors of err appended. An err that is neither Error
// nor Errors is appended as one error of file.
func (e Errors) Join(file string, err error) Errors {
	switch err := err.(type) {
	case nil:
		return e
	case Errors:
		return append(e, err...)
	case Error:
		return append(e, err)
	default:
		return append(e, Error{File: file, Found: err.Error(), Allowed: "a readable document"})
	}
}

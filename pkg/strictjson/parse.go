package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// kind is the JSON type of a node.
type kind string

const (
	kindObject kind = "an object"
	kindArray  kind = "an array"
	kindString kind = "a string"
	kindNumber kind = "a number"
	kindBool   kind = "true or false"
	kindNull   kind = "null"
)

// node is one value of a parsed document. Objects keep duplicate fields.
type node struct {
	kind   kind
	offset int
	raw    json.RawMessage
	fields []field
	items  []*node
}

type field struct {
	name   string
	offset int
	value  *node
}

// maxDepth bounds the nesting of a document. Declarations and settings nest
// four levels; the limit bounds the recursion on bad input.
const maxDepth = 64

// parse returns the value tree of data. The caller must have passed data to
// checkDocument, because the token reader of encoding/json accepts some
// malformed documents.
func parse(data []byte) (*node, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	p := &parser{data: data, tokens: decoder}
	return p.value(0)
}

type parser struct {
	data   []byte
	tokens *json.Decoder
}

func (p *parser) value(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("nesting deeper than %d levels", maxDepth)
	}
	token, err := p.tokens.Token()
	if err != nil {
		return nil, err
	}
	end := int(p.tokens.InputOffset())
	n := &node{}
	switch t := token.(type) {
	case json.Delim:
		n.offset = end - 1
		if t == '{' {
			n.kind, err = kindObject, p.object(n, depth)
		} else {
			n.kind, err = kindArray, p.array(n, depth)
		}
		n.raw = p.data[n.offset:p.tokens.InputOffset()]
		return n, err
	case string:
		n.kind = kindString
	case json.Number:
		n.kind = kindNumber
	case bool:
		n.kind = kindBool
	default:
		n.kind = kindNull
	}
	n.raw = p.scalarText(end)
	n.offset = end - len(n.raw)
	return n, nil
}

// scalarText returns the source text of the scalar that ends at offset end.
func (p *parser) scalarText(end int) []byte {
	start := end - 1
	if p.data[start] != '"' {
		for start > 0 && !bytes.ContainsRune([]byte(" \t\r\n,:[{"), rune(p.data[start-1])) {
			start--
		}
		return p.data[start:end]
	}
	for start--; start > 0; start-- {
		if p.data[start] == '"' && trailingBackslashes(p.data[:start])%2 == 0 {
			break
		}
	}
	return p.data[start:end]
}

func trailingBackslashes(before []byte) int {
	n := 0
	for n < len(before) && before[len(before)-1-n] == '\\' {
		n++
	}
	return n
}

func (p *parser) object(n *node, depth int) error {
	for p.tokens.More() {
		token, err := p.tokens.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("a field name that is not a string")
		}
		f := field{name: name, offset: int(p.tokens.InputOffset()) - 1}
		if f.value, err = p.value(depth + 1); err != nil {
			return err
		}
		n.fields = append(n.fields, f)
	}
	_, err := p.tokens.Token()
	return err
}

func (p *parser) array(n *node, depth int) error {
	for p.tokens.More() {
		item, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, err := p.tokens.Token()
	return err
}

// checkDocument returns the first error of the document as a whole; found is
// empty if there is none. offset is the byte offset of the error, or -1 if
// unknown.
func checkDocument(data []byte, maxBytes int) (offset int, found, allowed string) {
	if len(data) > maxBytes {
		return -1, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxBytes)
	}
	if !utf8.Valid(data) {
		return -1, "bytes that are not UTF-8", "UTF-8 text"
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var first json.RawMessage
	if err := decoder.Decode(&first); err != nil {
		return syntaxOffset(err, len(data)), syntaxText(err), "one JSON document"
	}
	rest := bytes.TrimLeft(data[decoder.InputOffset():], " \t\r\n")
	if len(rest) > 0 {
		return len(data) - len(rest), "trailing data " + excerpt(rest), "nothing after the document"
	}
	return 0, "", ""
}

func syntaxOffset(err error, size int) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return int(syntax.Offset) - 1
	}
	return size
}

func syntaxText(err error) string {
	if errors.Is(err, io.EOF) {
		return "an empty document"
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "a document that ends early"
	}
	return err.Error()
}

// excerptBytes is the maximum length of a quote from the document in an error.
const excerptBytes = 40

func excerpt(raw []byte) string {
	if len(raw) <= excerptBytes {
		return string(raw)
	}
	cut := excerptBytes
	for cut > 0 && !utf8.RuneStart(raw[cut]) {
		cut--
	}
	return string(raw[:cut]) + "..."
}

package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// DefaultMaxBytes is the default maximum size of a document. The declarations
// of 13,000 teams with four keys each take about 7 MB.
const DefaultMaxBytes = 32 << 20

// Origins maps each path of a decoded document to its line, counted from 1. The
// path of the document itself is empty.
type Origins map[string]int

// Decode decodes data into the value that into points to. The error is of type
// Errors, contains every error of the document and gives file as its name.
// Values without an error are set even when others have one. maxBytes is the
// maximum size of data; DefaultMaxBytes if zero.
//
// Field names match exactly. Supported types are structs (without embedded
// fields), slices, maps with string keys, pointers, strings, booleans, numbers
// and types that implement json.Unmarshaler, whose error text is reported as
// Error.Allowed. null is allowed for pointers only. Decode is safe for
// concurrent use.
func Decode(file string, data []byte, into any, maxBytes int) error {
	_, err := DecodeOrigins(file, data, into, maxBytes)
	return err
}

// DecodeOrigins is Decode that also returns the line of each path, for errors
// that are found by later validation. The origins are nil if the document as a
// whole is rejected.
func DecodeOrigins(file string, data []byte, into any, maxBytes int) (Origins, error) {
	if maxBytes == 0 {
		maxBytes = DefaultMaxBytes
	}
	d := &decoder{file: file, data: data, lines: lineStarts(data), origins: Origins{}}
	if offset, found, allowed := checkDocument(data, maxBytes); found != "" {
		d.addError(offset, "", found, allowed)
		return nil, d.errs.Err()
	}
	root, err := parse(data)
	if err != nil {
		d.addError(-1, "", err.Error(), "one JSON document")
		return nil, d.errs.Err()
	}
	d.decode(root, "", reflect.ValueOf(into).Elem())
	return d.origins, d.errs.Err()
}

type decoder struct {
	file    string
	data    []byte
	lines   []int
	errs    Errors
	origins Origins
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (d *decoder) line(offset int) int {
	if offset < 0 {
		return 0
	}
	return sort.SearchInts(d.lines, offset+1)
}

func (d *decoder) addError(offset int, path, found, allowed string) {
	d.errs = append(d.errs, Error{File: d.file, Line: d.line(offset), Path: path, Found: found, Allowed: allowed})
}

func (d *decoder) addValueError(n *node, path, allowed string) {
	found := string(n.kind)
	switch n.kind {
	case kindString, kindNumber, kindBool:
		found = excerpt(n.raw)
	}
	d.addError(n.offset, path, found, allowed)
}

var unmarshalerType = reflect.TypeOf((*json.Unmarshaler)(nil)).Elem()

func (d *decoder) decode(n *node, path string, v reflect.Value) {
	d.origins[path] = d.line(n.offset)
	if v.CanAddr() && v.Addr().Type().Implements(unmarshalerType) {
		d.unmarshaler(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		d.pointer(n, path, v)
	case reflect.Struct:
		d.object(n, path, v)
	case reflect.Slice:
		d.slice(n, path, v)
	case reflect.Map:
		d.mapping(n, path, v)
	default:
		d.scalar(n, path, v)
	}
}

func (d *decoder) unmarshaler(n *node, path string, v reflect.Value) {
	if n.kind == kindNull {
		d.addValueError(n, path, "a value")
		return
	}
	if err := v.Addr().Interface().(json.Unmarshaler).UnmarshalJSON(n.raw); err != nil {
		d.addValueError(n, path, err.Error())
	}
}

func (d *decoder) pointer(n *node, path string, v reflect.Value) {
	if n.kind == kindNull {
		v.SetZero()
		return
	}
	v.Set(reflect.New(v.Type().Elem()))
	d.decode(n, path, v.Elem())
}

// fieldsOf returns the JSON names of a struct type with their field indexes.
func fieldsOf(t reflect.Type) (names []string, index map[string]int) {
	index = map[string]int{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		names = append(names, name)
		index[name] = i
	}
	return names, index
}

func (d *decoder) object(n *node, path string, v reflect.Value) {
	if n.kind != kindObject {
		d.addValueError(n, path, string(kindObject))
		return
	}
	names, index := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, f := range n.fields {
		at := joinPath(path, f.name)
		i, known := index[f.name]
		switch {
		case !known:
			d.addError(f.offset, at, "unknown field "+strconv.Quote(f.name), strings.Join(names, ", "))
		case seen[f.name]:
			d.addError(f.offset, at, "duplicate field "+strconv.Quote(f.name), "each field once")
		default:
			d.decode(f.value, at, v.Field(i))
		}
		seen[f.name] = true
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) slice(n *node, path string, v reflect.Value) {
	if n.kind != kindArray {
		d.addValueError(n, path, string(kindArray))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decode(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

func (d *decoder) mapping(n *node, path string, v reflect.Value) {
	if n.kind != kindObject {
		d.addValueError(n, path, string(kindObject))
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, f := range n.fields {
		at := joinPath(path, f.name)
		key := reflect.ValueOf(f.name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			d.addError(f.offset, at, "duplicate field "+strconv.Quote(f.name), "each field once")
			continue
		}
		item := reflect.New(v.Type().Elem()).Elem()
		d.decode(f.value, at, item)
		v.SetMapIndex(key, item)
	}
}

// scalar leaves range checks and string decoding to encoding/json.
func (d *decoder) scalar(n *node, path string, v reflect.Value) {
	want, allowed := scalarKind(v)
	if n.kind != want {
		d.addValueError(n, path, allowed)
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(n.raw))
	if err := decoder.Decode(v.Addr().Interface()); err != nil {
		d.addValueError(n, path, allowed)
	}
}

func scalarKind(v reflect.Value) (kind, string) {
	switch v.Kind() {
	case reflect.String:
		return kindString, string(kindString)
	case reflect.Bool:
		return kindBool, string(kindBool)
	case reflect.Float32, reflect.Float64:
		return kindNumber, string(kindNumber)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return kindNumber, fmt.Sprintf("an integer of %d bits", v.Type().Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return kindNumber, fmt.Sprintf("an unsigned integer of %d bits", v.Type().Bits())
	default:
		return "", "nothing: type " + v.Type().String() + " is not supported"
	}
}

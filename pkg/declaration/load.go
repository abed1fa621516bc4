package declaration

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// MaxFileBytes is the maximum size of one declaration file. The declarations of
// 13,000 teams with four keys each take about 7 MB.
const MaxFileBytes = strictjson.DefaultMaxBytes

// Load reads one file, or all files with the suffix ".json" of one directory
// (subdirectories are not read), and validates them as one document. The error
// is of type strictjson.Errors and contains every error of every file.
func Load(path string) (Document, error) {
	files, err := filesOf(path)
	if err != nil {
		return Document{}, strictjson.Errors{}.Join(path, err)
	}
	var doc Document
	var errs strictjson.Errors
	locs := locations{}
	for _, file := range files {
		errs = errs.Join(file, loadFile(file, &doc, locs))
	}
	errs = errs.Join("", validate(doc, locs.locate))
	return doc, errs.Err()
}

func filesOf(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(escapeGlob(path), "*.json"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, strictjson.Error{File: path, Found: "no file", Allowed: `files with the suffix ".json"`}
	}
	sort.Strings(files)
	return files, nil
}

func escapeGlob(path string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(path)
}

func loadFile(file string, merged *Document, locs locations) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return err
	}
	doc, origins, err := decode(file, data)
	if doc.Budget != nil && merged.Budget != nil {
		errs := strictjson.Errors{}.Join(file, err)
		err = append(errs, strictjson.Error{File: file, Line: origins["budget"], Path: "budget",
			Found: "a second budget", Allowed: "one budget in all files"})
	}
	locs.add(file, origins, *merged, doc)
	merged.merge(doc)
	return err
}

// Parse decodes and validates one document. The error is of type
// strictjson.Errors and gives file as the document's name.
func Parse(file string, data []byte) (Document, error) {
	doc, origins, err := decode(file, data)
	errs := strictjson.Errors{}.Join(file, err)
	locs := locations{}
	locs.add(file, origins, Document{}, doc)
	errs = errs.Join(file, validate(doc, locs.locate))
	return doc, errs.Err()
}

func decode(file string, data []byte) (Document, strictjson.Origins, error) {
	var doc Document
	origins, err := strictjson.DecodeOrigins(file, data, &doc, MaxFileBytes)
	return doc, origins, err
}

// merge appends the objects of other. A budget in other replaces that of d.
func (d *Document) merge(other Document) {
	d.Teams = append(d.Teams, other.Teams...)
	d.Keys = append(d.Keys, other.Keys...)
	d.Classes = append(d.Classes, other.Classes...)
	d.Models = append(d.Models, other.Models...)
	d.Services = append(d.Services, other.Services...)
	d.Routes = append(d.Routes, other.Routes...)
	d.EndpointKinds = append(d.EndpointKinds, other.EndpointKinds...)
	if other.Budget != nil {
		d.Budget = other.Budget
	}
}

// locations maps "kind[index]" in the merged document to its location in a
// file.
type locations map[string]location

type location struct {
	file    string
	path    string
	origins strictjson.Origins
}

func (l locations) add(file string, origins strictjson.Origins, before, appended Document) {
	firstIndex := before.counts()
	for kind, n := range appended.counts() {
		for i := range n {
			object := fmt.Sprintf("%s[%d]", kind, firstIndex[kind]+i)
			l[object] = location{file, fmt.Sprintf("%s[%d]", kind, i), origins}
		}
	}
	if appended.Budget != nil {
		l[string(KindBudget)] = location{file, string(KindBudget), origins}
	}
}

func (d Document) counts() map[Kind]int {
	return map[Kind]int{
		KindTeam:         len(d.Teams),
		KindKey:          len(d.Keys),
		KindClass:        len(d.Classes),
		KindModel:        len(d.Models),
		KindService:      len(d.Services),
		KindRoute:        len(d.Routes),
		KindEndpointKind: len(d.EndpointKinds),
	}
}

// locate returns where a field of an object of the merged document is declared.
// line is that of the object if the field is absent, and 0 if unknown.
func (l locations) locate(object, field string) (file string, line int, path string) {
	loc, ok := l[object]
	if !ok {
		return "", 0, object + "." + field
	}
	path = loc.path + "." + field
	line, ok = loc.origins[path]
	if !ok {
		line = loc.origins[loc.path]
	}
	return loc.file, line, path
}

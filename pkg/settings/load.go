package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Load reads and validates the settings in file. The error is of type
// strictjson.Errors and contains every error.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, strictjson.Errors{}.Join(file, err)
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. The error is of type strictjson.Errors
// and gives file as the document's name.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	origins, err := strictjson.DecodeOrigins(file, data, &s, MaxFileBytes)
	errs := strictjson.Errors{}.Join(file, err)
	if origins != nil {
		v := validator{file: file, origins: origins, reported: errorPaths(errs)}
		v.settings(s)
		errs = append(errs, v.errs...)
	}
	if len(errs) > 0 {
		return Settings{}, errs.Err()
	}
	return s, nil
}

// errorPaths returns the paths in errs, so that validation does not report a
// value that could not be decoded as missing.
func errorPaths(errs strictjson.Errors) map[string]bool {
	paths := map[string]bool{}
	for _, e := range errs {
		paths[e.Path] = true
	}
	return paths
}

// Defaults returns settings with all defaults set. Fields without a default have
// their zero value.
func Defaults() Settings {
	var s Settings
	walkFields("", reflect.ValueOf(&s).Elem(), func(_ string, f reflect.StructField, v reflect.Value) {
		text := f.Tag.Get("default")
		if text == "" {
			return
		}
		if v.Kind() != reflect.Int || f.Type.Implements(marshalerType) {
			quoted, _ := json.Marshal(text)
			text = string(quoted)
		}
		// Tags are constant and covered by TestTable.
		_ = json.Unmarshal([]byte(text), v.Addr().Interface())
	})
	return s
}

var marshalerType = reflect.TypeOf((*json.Marshaler)(nil)).Elem()

// walkFields calls visit for each field that is not a struct, with its path.
func walkFields(prefix string, v reflect.Value, visit func(path string, f reflect.StructField, v reflect.Value)) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		path := strings.TrimPrefix(prefix+"."+f.Tag.Get("json"), ".")
		if f.Type.Kind() == reflect.Struct {
			walkFields(path, v.Field(i), visit)
			continue
		}
		visit(path, f, v.Field(i))
	}
}

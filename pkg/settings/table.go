package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Row documents one setting.
type Row struct {
	// Path is the path in the settings file, such as "limits.body_bytes".
	Path string
	Unit string
	// Default is the default value, or empty if there is none.
	Default string
	// Required means that the file must contain the setting.
	Required bool
	Help     string
}

// Table returns one row for each setting, in the order of the Settings fields.
func Table() []Row {
	var rows []Row
	var s Settings
	walkFields("", reflect.ValueOf(&s).Elem(), func(path string, f reflect.StructField, _ reflect.Value) {
		text, hasDefault := f.Tag.Lookup("default")
		required := !hasDefault || strings.HasPrefix(path, "tls.peers.")
		rows = append(rows, Row{Path: path, Unit: f.Tag.Get("unit"), Default: text, Required: required, Help: f.Tag.Get("help")})
	})
	return rows
}

// WriteTable writes Table as a Markdown table.
func WriteTable(w io.Writer) error {
	if _, err := io.WriteString(w, "| setting | unit | default | meaning |\n|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, r := range Table() {
		value := "(none)"
		if r.Default != "" {
			value = "`" + r.Default + "`"
		}
		if r.Required {
			value = "(required)"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", r.Path, r.Unit, value, r.Help); err != nil {
			return err
		}
	}
	return nil
}

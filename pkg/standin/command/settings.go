package command

import (
	"bytes"
	"encoding/json"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const settingsFlag = "settings"

// applySettings sets the flags named in the settings file, except those that the
// command line sets.
func applySettings(cmd *cli.Command) error {
	path := cmd.String(settingsFlag)
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	values := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &values); err != nil {
		return errors.Wrapf(err, "decode settings %s", path)
	}
	setOnCommandLine := map[string]bool{}
	for _, name := range cmd.LocalFlagNames() {
		setOnCommandLine[name] = true
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := applySetting(cmd, name, values[name], setOnCommandLine[name]); err != nil {
			return errors.Wrapf(err, "settings %s: %s", path, name)
		}
	}
	return nil
}

func applySetting(cmd *cli.Command, name string, value json.RawMessage, setOnCommandLine bool) error {
	if name == settingsFlag || !hasFlag(cmd, name) {
		return errors.New("unknown setting")
	}
	if setOnCommandLine {
		return nil
	}
	text, err := flagText(value)
	if err != nil {
		return err
	}
	return cmd.Set(name, text)
}

func hasFlag(cmd *cli.Command, name string) bool {
	for _, flag := range cmd.Flags {
		if flag.Names()[0] == name {
			return true
		}
	}
	return false
}

// flagText converts a JSON string, number or boolean into the text of a flag.
func flagText(value json.RawMessage) (string, error) {
	value = bytes.TrimSpace(value)
	if len(value) > 0 && value[0] == '"' {
		var text string
		err := json.Unmarshal(value, &text)
		return text, err
	}
	if strings.ContainsAny(string(value), "[{") || string(value) == "null" {
		return "", errors.New("want a string, number or boolean")
	}
	return string(value), nil
}

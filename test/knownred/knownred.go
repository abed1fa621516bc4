// Package knownred reads the list of tests that are known to fail.
package knownred

import (
	"os"
	"strings"
	"testing"
)

// Names returns the names of the tests in the lines "test: NAME" of a KNOWN-RED.txt. A
// file that does not exist lists none.
func Names(t *testing.T, path string) map[string]bool {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		if os.IsNotExist(err) {
			return nil
		}
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known
}

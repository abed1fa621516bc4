package refusal

import "testing"

// TestAttributable guards against an answer to an earlier request, repeated on a reused
// connection, that counts as the answer to the next one.
func TestAttributable(t *testing.T) {
	cases := []struct {
		answered string
		reused   bool
		want     bool
	}{
		{"id-1", false, true}, {"id-1", true, true}, {"", false, true}, {"", true, false}, {"id-0", false, false}, {"id-0", true, false},
	}
	for _, c := range cases {
		if got := Attributable(c.answered, "id-1", c.reused); got != c.want {
			t.Errorf("answer for %q, reused %v: %v, want %v", c.answered, c.reused, got, c.want)
		}
	}
}

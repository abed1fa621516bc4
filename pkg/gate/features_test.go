package gate

import "testing"

// TestFeaturesAreTheSharedMessages guards against prompts that are compared only as a
// whole: a message that crashes engines comes in requests of which no two are alike. The
// last message is the request's own.
func TestFeaturesAreTheSharedMessages(t *testing.T) {
	deadly := chatMessage{Role: "system", Content: "deadly"}
	one := chatRequest{Model: "m", Messages: []chatMessage{deadly, {Role: "user", Content: "one"}}}
	two := chatRequest{Model: "m", Messages: []chatMessage{{Role: "system", Content: "other"}, deadly, {Role: "user", Content: "two"}}}
	other := chatRequest{Model: "n", Messages: one.Messages}
	if f := one.features(); len(f) != 1 || f[0] != two.features()[1] || f[0] == other.features()[0] {
		t.Errorf("features %v, %v, of another model %v", f, two.features(), other.features())
	}
	many := chatRequest{Model: "m", Messages: make([]chatMessage, 10*maxFeatures)}
	if n := len(many.features()); n > maxFeatures {
		t.Errorf("%d features", n)
	}
	if n := len((&chatRequest{Messages: one.Messages[:1]}).features()); n != 0 {
		t.Errorf("%d features of the only message", n)
	}
}

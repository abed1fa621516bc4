package fairness

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against counts that change between Encode and Decode, against a payload
// that repeats the host and incarnation for each team, and against a panic on a
// damaged payload of a peer.
func TestGossipKeepsCountsAndIsSmall(t *testing.T) {
	const incarnation = "host-instance/6f1e6d0a-2a52-4c0c-9f0e-6a2a3e1f3b11"
	counts := []Served{{"h", incarnation, "a", 1.5}, {"h", incarnation, "b", 2e9}}
	data, err := Encode(counts)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := Decode("h", data); err != nil || !reflect.DeepEqual(back, counts) {
		t.Errorf("%v, %v", back, err)
	}
	more, _ := Encode(append(counts, Served{"h", incarnation, "c", 3}))
	if grown := len(more) - len(data); grown > 12 {
		t.Errorf("a team of one letter adds %d bytes", grown)
	}
	uneven, _ := cbor.Marshal(gossipPayload{Teams: []string{"a"}})
	for _, damaged := range [][]byte{uneven, {0xff}, nil} {
		if back, err := Decode("h", damaged); err == nil {
			t.Errorf("%x: %v", damaged, back)
		}
	}
}

package fairness

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// gossipPayload is the encoding of one host's counts. The incarnation is
// encoded once for all teams, and the host not at all, since the size of a
// gossip entry is limited.
type gossipPayload struct {
	Incarnation string    `cbor:"1,keyasint"`
	Teams       []string  `cbor:"2,keyasint"`
	Tokens      []float64 `cbor:"3,keyasint"`
}

// Encode encodes counts for a gossip entry. All of them must be of one host and
// incarnation. The host is not encoded; the receiver knows it from the entry.
func Encode(counts []Served) ([]byte, error) {
	var g gossipPayload
	for _, c := range counts {
		g.Incarnation = c.Incarnation
		g.Teams = append(g.Teams, c.Team)
		g.Tokens = append(g.Tokens, c.Tokens)
	}
	data, err := cbor.Marshal(g)
	return data, errors.Wrap(err, "encode served tokens")
}

// Decode returns the counts that Encode encoded on the given host. It returns an
// error for a malformed payload.
func Decode(host string, data []byte) ([]Served, error) {
	var g gossipPayload
	if err := cbor.Unmarshal(data, &g); err != nil {
		return nil, errors.Wrap(err, "decode served tokens")
	}
	if len(g.Teams) != len(g.Tokens) {
		return nil, errors.Errorf("served tokens of %d teams have %d counts", len(g.Teams), len(g.Tokens))
	}
	counts := make([]Served, len(g.Teams))
	for i, team := range g.Teams {
		counts[i] = Served{Host: host, Incarnation: g.Incarnation, Team: team, Tokens: g.Tokens[i]}
	}
	return counts, nil
}

package gate

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

var bearerPrefix = []byte("Bearer ")

// caller is an authenticated caller. The zero value is an anonymous caller of
// an open route.
type caller struct {
	team   string
	key    KeyHash
	hasKey bool
}

// authenticate returns the caller of a request to a route that requires a key.
func (g *Gate) authenticate(ctx *fasthttp.RequestCtx) (caller, error) {
	header := ctx.Request.Header.Peek("Authorization")
	key, ok := bytes.CutPrefix(header, bearerPrefix)
	if !ok || len(key) == 0 {
		return caller{}, refusal.NotRun(401, refusal.CodeMissingKey, "send the key as Authorization: Bearer KEY")
	}
	hash := sha256.Sum256(key)
	team, status := g.Config.Key(hash)
	if err := keyRefusal(status); err != nil {
		return caller{}, err
	}
	return caller{team: team, key: hash, hasKey: true}, nil
}

// keyRefusal returns nil for a usable key.
func keyRefusal(status KeyStatus) error {
	switch status {
	case KeyUsable:
		return nil
	case KeyWithdrawn:
		return refusal.NotRun(401, refusal.CodeKeyWithdrawn, "the key has been withdrawn")
	case KeyUnconfirmed:
		return refusal.NotRun(503, refusal.CodeKeyUnconfirmed,
			"this host is cut off and can no longer confirm the key").WithRetryAfter(unconfirmedRetryAfter)
	default:
		return refusal.NotRun(401, refusal.CodeUnknownKey, "the key is not known")
	}
}

// unconfirmedRetryAfter is the time after which an isolated failure domain may
// be connected again. The load balancer usually sends a retry to another host.
const unconfirmedRetryAfter = 5 * time.Second

// authorize checks that the caller's team may use the route.
func authorize(c caller, route declaration.Route) error {
	if route.Open || len(route.Teams) == 0 || slices.Contains(route.Teams, c.team) {
		return nil
	}
	return refusal.NotRun(403, refusal.CodeTeamNotAllowed, "the key's team may not use this route")
}

// retryAfterSeconds rounds d up to whole seconds, as Retry-After requires.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

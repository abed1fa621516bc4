package admission

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// Progress is the state of a request that ShouldCancel decides on.
type Progress struct {
	Class declaration.Class
	// CallerGone is set if the caller no longer reads the answer.
	CallerGone bool
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// Sent is set once the request was sent to an endpoint.
	Sent bool
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Produced is the number of output tokens so far, Remaining the predicted
	// time to the end.
	Produced  int
	Remaining time.Duration
}

// ShouldCancel reports whether the request's result has no more use: the caller
// is gone, or the completion limit is missed even if the request needs only half
// of Remaining. A late first token is no reason to cancel, since the caller
// still wants the answer. Work that is not repeatable is never cancelled once
// sent, because its outcome counts.
func ShouldCancel(p Progress) bool {
	if p.Sent && !p.Repeatable {
		return false
	}
	if p.CallerGone {
		return true
	}
	limit := p.Class.Completion.Std()
	return limit > 0 && p.Elapsed+p.Remaining/2 > limit
}

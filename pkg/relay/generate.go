package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

const (
	// maxPrefills bounds the engines that are asked to read one prompt.
	maxPrefills = 3
	// maxDecodes bounds the engines that are asked to go on from it, while none
	// has run the request.
	maxDecodes = 3
	// prefillSlack is added to the expected time before a prefill that has not
	// answered is given to another engine.
	prefillSlack = 700 * time.Millisecond
	// silenceLimit is how long a resumable stream may show no event before it
	// goes on at another engine. Callers leave after two seconds without one.
	silenceLimit = 1300 * time.Millisecond
	// firstEventTime is what a decode engine usually takes from the send to the
	// first event, beside the transfer.
	firstEventTime = 90 * time.Millisecond
	// Callers abandon a stream that shows nothing for the longest of leastPatience
	// and these multiples of its targets, also before the first event.
	leastPatience   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// lateRank is added to the rank of work that has missed its target, and
	// lowestRank is the least urgent rank that engines know.
	lateRank   = 5
	lowestRank = 9
	// overloadRetryAfter is the least wait told to callers of refused model work.
	overloadRetryAfter = 400 * time.Millisecond
)

// generation is the serving of one request of model work.
type generation struct {
	h     *Handler
	x     *exchange
	model *placement.Model
	job   placement.Job
	// delivered is the id of the last event that the caller has.
	delivered string
}

// generate serves a request of model work.
func (h *Handler) generate(x *exchange, model *placement.Model) *refusal.Refusal {
	p := x.call.Prompt
	g := &generation{h: h, x: x, model: model, delivered: x.call.LastEventID,
		job: placement.Job{Parts: p.Parts, PromptTokens: p.Tokens}}
	stream, r := g.open()
	if r != nil {
		return r
	}
	return g.answer(stream)
}

// open has the prompt read and the stream begun. The returned stream has
// delivered the head of its answer.
func (g *generation) open() (*stream, *refusal.Refusal) {
	for {
		if r := g.x.ended(); r != nil {
			return nil, r
		}
		choice, ok := g.model.Prefill(g.job, g.h.Outliers, time.Now())
		if !ok {
			return g.openWhole()
		}
		if r := g.admit(choice); r != nil {
			return nil, r
		}
		handle, err := g.readPrompt(choice)
		if err != nil {
			if r := g.afterPrefill(choice, err); r != nil {
				return nil, r
			}
			continue
		}
		s, again, r := g.generateFrom(handle, choice.Engine)
		if again {
			continue
		}
		return s, r
	}
}

// admit refuses work that cannot be finished in time, and marks work that will
// miss its target as late.
func (g *generation) admit(c placement.Choice) *refusal.Refusal {
	expected := g.x.waited() + c.Expected() + firstEventTime
	if g.x.route.Target > 0 && expected > g.x.route.Target && !g.job.Late {
		g.job.Late, g.x.late = true, true
	}
	g.x.trace["chosen"], g.x.trace["wait_ms"], g.x.trace["expected_ms"] = c.Engine.ID, c.Wait.Milliseconds(), c.Expected().Milliseconds()
	over := c.Expected() + firstEventTime - min(g.x.left(), g.patience()-g.x.waited())
	if over <= 0 {
		return nil
	}
	return refusal.NotRun(503, refusal.CodeOverloaded, "the request cannot be served in its time").
		After(g.x.retryAfter(max(over, overloadRetryAfter)))
}

// patience is how long the caller waits for the first event.
func (g *generation) patience() time.Duration {
	return max(leastPatience, patienceTargets*g.x.route.Target, patienceGaps*g.x.route.GapTarget)
}

func (g *generation) rank() int {
	rank := g.x.priority
	if g.job.Late {
		rank += lateRank
	}
	return min(rank, lowestRank)
}

// promptHandle is a finished prefill.
type promptHandle struct {
	id     string
	member fleet.Member
}

// readPrompt has the prompt read at the chosen engine.
func (g *generation) readPrompt(c placement.Choice) (promptHandle, error) {
	now := time.Now()
	ticket, sent := g.model.Begin(endpoint.RolePrefill, g.job, c, now)
	g.h.OnSent(g.x.service, sent)
	limit := 2*c.Expected() + prefillSlack
	g.x.trace["prefill_at"], g.x.trace["uncached"], g.x.trace["copied"] = c.Engine.ID, c.Uncached, c.Copied
	id, err := g.callPrefill(c, limit)
	done := time.Now()
	g.x.trace["prefill_ms"], g.x.trace["prefill_expected_ms"] = done.Sub(now).Milliseconds(), c.Expected().Milliseconds()
	if err != nil {
		g.model.End(ticket, placement.Failed, done)
		return promptHandle{}, err
	}
	g.model.End(ticket, placement.Completed, done)
	g.h.Outliers.Succeeded(c.Engine, done)
	g.h.Metrics.Prefill.Record(done.Sub(now))
	return promptHandle{id: id, member: c.Engine}, nil
}

func (g *generation) callPrefill(c placement.Choice, limit time.Duration) (string, error) {
	send := Send{Phase: ReadPrompt, Ranked: true, Priority: g.rank(), CopyFrom: c.Source.Address, LastEventID: g.delivered}
	answer, err := g.h.send(g.x, c.Engine, send, limit, false)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		return "", err
	}
	if answer.Status != 200 {
		return "", errors.Errorf("prefill answered %d", answer.Status)
	}
	return g.h.Codec.Handle(body)
}

// afterPrefill decides on another engine after a failed prefill. A prefill does
// not run the request, so it may be repeated.
func (g *generation) afterPrefill(c placement.Choice, err error) *refusal.Refusal {
	if r := g.x.ended(); r != nil {
		return r
	}
	g.job.Exclude = append(g.job.Exclude, c.Engine.ID)
	if unsent(err) && len(g.job.Exclude) <= maxUnsent {
		return nil
	}
	if g.mayReadAgain(err) && len(g.job.Exclude) < maxPrefills {
		g.h.Metrics.Repeats.Add(1)
		return nil
	}
	if g.x.ran {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the engine failed").Because(err)
	}
	return refusal.NotRun(503, refusal.CodeNoEndpoint, "no engine read the prompt").After(g.x.retryAfter(overloadRetryAfter)).Because(err)
}

// mayReadAgain counts a failed prefill and decides on another one. Of all prefills
// the first that an engine accepts is free, so a rejected one counts itself, and
// after one that may have been accepted the next one does.
func (g *generation) mayReadAgain(err error) bool {
	now := time.Now()
	if !certainlyNotRun(err) {
		return g.h.Budget.Spend(g.x.service, now)
	}
	g.h.Budget.Count(g.x.service, now)
	return g.h.Budget.Allows(g.x.service, now)
}

// generateFrom has a decode engine go on from the handle. again says that the
// prompt has to be read anew.
//
// An engine that refuses may be full, or the handle may have lapsed, which look the
// same. The next engine is told to copy what the engine of the prefill keeps of the
// prompt: that answers both, while a handle that has lapsed is refused everywhere.
func (g *generation) generateFrom(handle promptHandle, from fleet.Member) (s *stream, again bool, r *refusal.Refusal) {
	taken := false
	defer func() {
		if !taken {
			g.free(handle)
		}
	}()
	job := g.job
	job.Exclude = nil
	send := Send{Phase: Generate, Handle: handle.id, HandleAt: handle.member.Address}
	for {
		if r := g.x.ended(); r != nil {
			return nil, false, r
		}
		choice, ok := g.model.Decode(job, from, g.h.Outliers, time.Now())
		if !ok {
			return nil, false, g.noDecode(nil)
		}
		s, err := g.start(choice, send)
		if err == nil {
			taken = send.Phase == Generate
			return s, false, nil
		}
		job.Exclude = append(job.Exclude, choice.Engine.ID)
		if r := g.x.ended(); r != nil {
			return nil, false, r
		}
		switch {
		case unsent(err) && len(job.Exclude) < maxDecodes:
		case certainlyNotRun(err) && len(job.Exclude) < maxDecodes && g.h.Budget.Spend(g.x.service, time.Now()):
			g.h.Metrics.Repeats.Add(1)
			send = Send{Phase: Whole, CopyFrom: handle.member.Address}
		case g.mayRunAgain(err):
			return nil, true, nil
		default:
			return nil, false, g.noDecode(err)
		}
	}
}

// mayRunAgain decides on a new run after one that may have begun.
func (g *generation) mayRunAgain(err error) bool {
	safe := g.x.route.Runnable() || certainlyNotRun(err) && !g.x.ran
	return safe && g.x.sends < max(g.x.route.MaxAttempts, 1) && g.h.Budget.Spend(g.x.service, time.Now())
}

func (g *generation) noDecode(err error) *refusal.Refusal {
	if g.x.ran || err != nil && !certainlyNotRun(err) {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the engine failed; the request may have run").Because(err)
	}
	return refusal.NotRun(503, refusal.CodeNoEndpoint, "no engine can generate now").After(g.x.retryAfter(overloadRetryAfter)).Because(err)
}

// start sends the request to a decode engine and waits for the head of its
// answer.
func (g *generation) start(c placement.Choice, send Send) (*stream, error) {
	now := time.Now()
	ticket, sent := g.model.Begin(endpoint.RoleDecode, g.job, c, now)
	g.h.OnSent(g.x.service, sent)
	send.Ranked, send.Priority, send.LastEventID = true, g.rank(), g.delivered
	g.x.trace["decode_at"] = c.Engine.ID
	limit := time.Duration(0)
	if g.x.route.Runnable() && g.x.sends+1 < g.x.route.MaxAttempts {
		limit = c.Expected() + silenceLimit
	}
	answer, err := g.h.send(g.x, c.Engine, send, limit, !g.x.route.Runnable())
	if !certainlyNotRun(err) {
		g.x.sends++
	}
	if err != nil {
		g.model.End(ticket, placement.Failed, time.Now())
		return nil, err
	}
	return &stream{g: g, answer: answer, member: c.Engine, ticket: ticket, sentAt: now}, nil
}

// openWhole has a decode engine read the prompt itself, because no prefill
// engine is left.
func (g *generation) openWhole() (*stream, *refusal.Refusal) {
	job := g.job
	job.Exclude = nil
	choice, ok := g.model.Whole(job, g.h.Outliers, time.Now())
	if !ok {
		return nil, g.noDecode(nil)
	}
	if r := g.admit(choice); r != nil {
		return nil, r
	}
	s, err := g.start(choice, Send{Phase: Whole})
	if err != nil {
		if r := g.x.ended(); r != nil {
			return nil, r
		}
		return nil, g.noDecode(err)
	}
	return s, nil
}

// free releases a handle that nobody will use.
func (g *generation) free(handle promptHandle) {
	h := g.h
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		_, _, err := h.Client.Fetch(ctx, handle.member.Address, h.Codec.FreeHandle(handle.member.Address, handle.id), maxAnswerBytes)
		if err != nil {
			h.Log.WithField("engine", handle.member.ID).WithError(err).Warn("handle_not_freed")
		}
	})
}

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashesToSuspect is the number of separate crashes after which a feature is
	// suspected. It exceeds crashesToQuarantine because many requests share a feature,
	// so that a sound one is often running at a crash.
	crashesToSuspect = 3
	// crashesWithoutExplanation is the number of separate crashes from which on a feature
	// that was present at just the same crashes is no explanation.
	crashesWithoutExplanation = 5
	// togetherWindow is the time within which engines may end of a common cause.
	togetherWindow = 500 * time.Millisecond
	// restartTime is the least time between two crashes of one endpoint. A request that
	// was sent later than that after a known crash has crashed a new process, whose
	// announcement has not been read yet.
	restartTime = 500 * time.Millisecond
	// maxFeatures bounds the features with evidence, maxCrashesPerFeature the crashes
	// kept for each; those that decide are kept, else the latest.
	maxFeatures          = 4096
	maxCrashesPerFeature = 16
	// expireInterval keeps the check of all evidence off the path of requests.
	expireInterval = time.Second
)

// Feature identifies what requests may have in common, such as a part of their
// prompts, or the whole request.
type Feature uint64

// Crash identifies the end of one process of an endpoint.
type Crash struct {
	Endpoint string
	// Process tells the processes of the endpoint apart, such as by their start times.
	Process string
}

// Evidence is one crash with the features of the requests that were running. Times are
// ages, because hosts do not share a clock.
type Evidence struct {
	Crash Crash
	// Age is the time since the crash.
	Age     time.Duration
	Running []RunningFeature
}

// RunningFeature is a feature of a request that was running at a crash, and the time
// since such a request was last sent to the endpoint.
type RunningFeature struct {
	Feature Feature
	SentAge time.Duration
}

// evidence is a crash that counts against a feature.
type evidence struct {
	crash Crash
	// at is the time of the crash, sentAt when a request with the feature was last sent
	// to the endpoint before it.
	at, sentAt time.Time
	// refuted says that a request with the feature has completed since.
	refuted bool
}

// Suspects decides which requests are not run because something that they share with
// others crashes endpoints.
//
// A crash counts against every feature of the requests that were running. A request
// that completes refutes what counts against its features, since its endpoint has
// survived them. A feature is suspected after crashesToSuspect separate crashes: a
// request with it was sent to the later endpoint after the earlier one had crashed, or
// the crashes are togetherWindow apart. Endpoints that end together have another common
// cause. A suspected feature is
// not held against a request if a suspected feature that the request lacks was present
// at all of these crashes as well and so explains them: sound requests share features
// with harmful ones. If the explanation is wrong, the next crash shows it.
//
// Suspects does no I/O and reads no clock. It is not safe for concurrent use.
type Suspects struct {
	features map[Feature][]evidence
	// expireAt is when evidence is next checked for its age.
	expireAt time.Time
}

// NewSuspects returns a Suspects without evidence.
func NewSuspects() *Suspects { return &Suspects{features: map[Feature][]evidence{}} }

// Record counts a crash against features. A crash that is known for a feature has no
// further effect on it. It returns the features that have become suspected.
func (s *Suspects) Record(crash Evidence, now time.Time) []Feature {
	s.expire(now)
	var suspected []Feature
	for _, r := range crash.Running {
		f := r.Feature
		list := s.features[f]
		next := evidence{crash: crash.Crash, at: now.Add(-crash.Age), sentAt: now.Add(-r.SentAge)}
		if slices.ContainsFunc(list, next.repeats) {
			continue
		}
		if list == nil && len(s.features) >= maxFeatures {
			s.dropLeastRelevant()
		}
		before := separateCrashes(list)
		list = append(list, next)
		slices.SortStableFunc(list, func(a, b evidence) int { return a.at.Compare(b.at) })
		if len(list) > maxCrashesPerFeature {
			list = dropUndecisive(list)
		}
		s.features[f] = list
		if before < crashesToSuspect && separateCrashes(list) >= crashesToSuspect {
			suspected = append(suspected, f)
		}
	}
	return suspected
}

// Refuted returns the features of a crash that are known to be refuted.
func (s *Suspects) Refuted(crash Evidence) []Feature {
	var refuted []Feature
	for _, r := range crash.Running {
		if slices.ContainsFunc(s.features[r.Feature], func(e evidence) bool { return e.crash == crash.Crash && e.refuted }) {
			refuted = append(refuted, r.Feature)
		}
	}
	return refuted
}

// RecordSuccess refutes the crashes that count against features, because a request
// with them has completed. It returns the features for which there were any.
func (s *Suspects) RecordSuccess(features []Feature) []Feature {
	var cleared []Feature
	for _, f := range features {
		changed := false
		for i := range s.features[f] {
			changed = changed || !s.features[f][i].refuted
			s.features[f][i].refuted = true
		}
		if changed {
			cleared = append(cleared, f)
		}
	}
	return cleared
}

// Harmful reports whether a request with the features is expected to crash the
// endpoint that runs it.
func (s *Suspects) Harmful(features []Feature, now time.Time) bool {
	if len(s.features) == 0 {
		return false
	}
	s.expire(now)
	for _, f := range features {
		if s.suspected(f) && !s.explained(f, features) {
			return true
		}
	}
	return false
}

// Suspected returns the evidence against the suspected features, by crash.
func (s *Suspects) Suspected(now time.Time) []Evidence {
	s.expire(now)
	byCrash := map[Crash]*Evidence{}
	for f := range s.features {
		if !s.suspected(f) {
			continue
		}
		for _, e := range s.features[f] {
			if e.refuted {
				continue
			}
			if byCrash[e.crash] == nil {
				byCrash[e.crash] = &Evidence{Crash: e.crash, Age: now.Sub(e.at)}
			}
			byCrash[e.crash].Running = append(byCrash[e.crash].Running, RunningFeature{Feature: f, SentAge: now.Sub(e.sentAt)})
		}
	}
	list := make([]Evidence, 0, len(byCrash))
	for _, e := range byCrash {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Crash.Endpoint, b.Crash.Endpoint), cmp.Compare(a.Crash.Process, b.Crash.Process))
	})
	return list
}

func (s *Suspects) suspected(f Feature) bool {
	return separateCrashes(s.features[f]) >= crashesToSuspect
}

// explained reports whether a suspected feature that is not among those of the request
// was present at all crashes that count against f. Two features may explain each other for
// a while, see crashesWithoutExplanation.
func (s *Suspects) explained(f Feature, request []Feature) bool {
	many := separateCrashes(s.features[f]) >= crashesWithoutExplanation
	for other := range s.features {
		if slices.Contains(request, other) || !s.suspected(other) || !s.presentAtAllCrashesOf(f, other) {
			continue
		}
		if !many || !s.presentAtAllCrashesOf(other, f) {
			return true
		}
	}
	return false
}

func (s *Suspects) presentAtAllCrashesOf(f, other Feature) bool {
	for _, e := range s.features[f] {
		if !e.refuted && !slices.ContainsFunc(s.features[other], func(o evidence) bool { return o.crash == e.crash && !o.refuted }) {
			return false
		}
	}
	return true
}

// repeats reports whether known is the same crash.
func (e evidence) repeats(known evidence) bool {
	return e.crash == known.crash && e.sentAt.Sub(known.at) < restartTime
}

// separateFrom reports whether the crash is separate from an earlier one.
func (e evidence) separateFrom(earlier time.Time) bool {
	return e.sentAt.After(earlier) || e.at.Sub(earlier) >= togetherWindow
}

// separateCrashes returns the number of separate crashes that are not refuted. list is
// in the order of time.
func separateCrashes(list []evidence) int {
	n := 0
	var counted time.Time
	for _, e := range list {
		if !e.refuted && (n == 0 || e.separateFrom(counted)) {
			n++
			counted = e.at
		}
	}
	return n
}

// dropUndecisive drops a crash from a list in the order of time: the first refuted one,
// else the first that is not separate, else the first.
func dropUndecisive(list []evidence) []evidence {
	i := slices.IndexFunc(list, func(e evidence) bool { return e.refuted })
	if i < 0 {
		i = 0
		counted := list[0].at
		for k, e := range list[1:] {
			if !e.separateFrom(counted) {
				i = k + 1
				break
			}
			counted = e.at
		}
	}
	return slices.Delete(list, i, i+1)
}

// expire drops evidence older than SuspicionTTL. Lists are in the order of time.
func (s *Suspects) expire(now time.Time) {
	if now.Before(s.expireAt) {
		return
	}
	s.expireAt = now.Add(expireInterval)
	for f, list := range s.features {
		for len(list) > 0 && now.Sub(list[0].at) > SuspicionTTL {
			list = list[1:]
		}
		if len(list) == 0 {
			delete(s.features, f)
		} else {
			s.features[f] = list
		}
	}
}

// dropLeastRelevant drops the feature with the fewest separate crashes, of several the one
// whose last crash is the oldest. Requests with a suspected feature are refused, so that
// no further crash of it comes.
func (s *Suspects) dropLeastRelevant() {
	var least Feature
	fewest := -1
	var at time.Time
	for f, list := range s.features {
		n, last := separateCrashes(list), list[len(list)-1].at
		if fewest < 0 || n < fewest || n == fewest && last.Before(at) {
			least, fewest, at = f, n, last
		}
	}
	delete(s.features, least)
}

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
	// maxFeatures bounds the features with evidence, maxCrashesPerFeature the crashes
	// kept for each; the latest are kept.
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
// request with it was sent to the later endpoint after the earlier one had crashed.
// Endpoints that end together have another common cause. A suspected feature is
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
		if slices.ContainsFunc(list, func(e evidence) bool { return e.crash == crash.Crash }) {
			continue
		}
		if list == nil && len(s.features) >= maxFeatures {
			s.dropOldest()
		}
		before := separateCrashes(list)
		list = append(list, evidence{crash: crash.Crash, at: now.Add(-crash.Age), sentAt: now.Add(-r.SentAge)})
		slices.SortStableFunc(list, func(a, b evidence) int { return a.at.Compare(b.at) })
		list = list[max(0, len(list)-maxCrashesPerFeature):]
		s.features[f] = list
		if before < crashesToSuspect && separateCrashes(list) >= crashesToSuspect {
			suspected = append(suspected, f)
		}
	}
	return suspected
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
// was present at all crashes that count against f.
func (s *Suspects) explained(f Feature, request []Feature) bool {
	for other := range s.features {
		if !slices.Contains(request, other) && s.suspected(other) && s.presentAtAllCrashesOf(f, other) {
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

// separateCrashes returns the number of separate crashes that are not refuted. list is
// in the order of time.
func separateCrashes(list []evidence) int {
	n := 0
	var counted time.Time
	for _, e := range list {
		if !e.refuted && (n == 0 || e.sentAt.After(counted)) {
			n++
			counted = e.at
		}
	}
	return n
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

// dropOldest drops the feature whose last crash is the oldest.
func (s *Suspects) dropOldest() {
	var oldest Feature
	var at time.Time
	for f, list := range s.features {
		if last := list[len(list)-1].at; at.IsZero() || last.Before(at) {
			oldest, at = f, last
		}
	}
	delete(s.features, oldest)
}

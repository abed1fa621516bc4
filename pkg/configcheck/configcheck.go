// Package configcheck checks a configuration document before operators send it: errors,
// entries that can never match, limits that contradict each other, and what differs from
// the version in force. It reads nothing and keeps no state.
package configcheck

import (
	"fmt"
	"strings"

	"github.com/clementineshed/clementineshed/pkg/routes"
)

// Kind classifies a finding.
type Kind string

// Kinds of findings.
const (
	Error         Kind = "error"
	Unreachable   Kind = "never matches"
	Contradiction Kind = "contradiction"
	Difference    Kind = "difference"
)

// Finding is one line of the result.
type Finding struct {
	Kind Kind
	// Object is the entry that it is about, such as `route "chat"`.
	Object, Message string
}

// String implements fmt.Stringer.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Object, f.Message) }

// checker collects the findings of one document.
type checker struct{ findings []Finding }

func (c *checker) add(kind Kind, object, format string, args ...any) {
	c.findings = append(c.findings, Finding{kind, object, fmt.Sprintf(format, args...)})
}

func named(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

// Check returns what is wrong with a document. maxBodyBytes is the largest body that a
// host accepts, whatever the document says; zero if it is not known.
func Check(d routes.Document, maxBodyBytes int) []Finding {
	c := &checker{}
	services := c.services(d)
	c.routes(d, services)
	c.teams(d)
	c.limits(d.Limits, maxBodyBytes)
	return c.findings
}

// services returns how many routes send requests to each service.
func (c *checker) services(d routes.Document) map[string]int {
	uses := map[string]int{}
	for _, s := range d.Services {
		object := named("service", s.Name)
		if _, known := uses[s.Name]; known {
			c.add(Error, object, "the name is used more than once")
		}
		uses[s.Name] = 0
		if e := s.Engine; e != nil {
			if e.Slots < 1 {
				c.add(Error, object, "an engine runs %d requests at once", e.Slots)
			}
			if e.CacheTokens < 1 {
				c.add(Error, object, "an engine has memory for %d tokens", e.CacheTokens)
			}
		}
		if x := s.Scaling; x != nil {
			if x.Min > x.Max {
				c.add(Contradiction, object, "at least %d endpoints per failure domain, at most %d", x.Min, x.Max)
			}
			if len(x.DomainPrices) == 0 {
				c.add(Unreachable, object, "its scaling names no failure domain, so that nothing is ordered")
			}
		}
	}
	for _, r := range d.Routes {
		for _, share := range r.Services {
			if n, known := uses[share.Service]; known && share.Weight > 0 {
				uses[share.Service] = n + 1
			}
		}
	}
	for _, s := range d.Services {
		if uses[s.Name] == 0 {
			c.add(Unreachable, named("service", s.Name), "no route sends requests to it")
		}
	}
	return uses
}

func (c *checker) routes(d routes.Document, services map[string]int) {
	names, matches := map[string]bool{}, map[string]string{}
	for _, r := range d.Routes {
		object := named("route", r.Name)
		if names[r.Name] {
			c.add(Error, object, "the name is used more than once")
		}
		names[r.Name] = true
		if r.Host == "" {
			c.add(Error, object, "it has no host")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.add(Error, object, "the path prefix %q does not begin and end with a slash", r.Prefix)
		}
		key := strings.ToLower(r.Host) + r.Prefix
		if first, taken := matches[key]; taken {
			c.add(Unreachable, object, "route %q before it has the same host and path prefix", first)
		} else {
			matches[key] = r.Name
		}
		c.shares(object, r, services)
		c.routeLimits(object, r)
	}
}

func (c *checker) shares(object string, r routes.Route, services map[string]int) {
	total := 0
	for _, share := range r.Services {
		total += max(share.Weight, 0)
		if _, known := services[share.Service]; !known {
			c.add(Error, object, "service %q does not exist", share.Service)
		}
		if share.Weight < 0 {
			c.add(Error, object, "service %q has the weight %d", share.Service, share.Weight)
		}
	}
	for _, share := range r.Services {
		if share.Weight == 0 && total > 0 {
			c.add(Unreachable, object, "service %q has the weight 0 and gets no requests", share.Service)
		}
	}
	if total == 0 && len(r.Services) > 1 {
		c.add(Contradiction, object, "all weights are 0, so that service %q gets all requests", r.Services[0].Service)
	}
}

func (c *checker) routeLimits(object string, r routes.Route) {
	if r.Timeout > 0 && r.Target > r.Timeout {
		c.add(Contradiction, object, "the target of %s is above the timeout of %s", r.Target, r.Timeout)
	}
	if r.Timeout > 0 && r.GapTarget > r.Timeout {
		c.add(Contradiction, object, "the target of %s between events is above the timeout of %s", r.GapTarget, r.Timeout)
	}
	if r.MaxAttempts < 0 {
		c.add(Error, object, "it allows %d attempts", r.MaxAttempts)
	}
	if r.Resumable && r.Kind != routes.Stream {
		c.add(Contradiction, object, "it is resumable and not a stream")
	}
	if r.Resumable && r.MaxAttempts == 1 {
		c.add(Contradiction, object, "it is resumable and allows one attempt")
	}
}

func (c *checker) teams(d routes.Document) {
	needed := false
	for _, r := range d.Routes {
		needed = needed || !r.Public
	}
	names, holders := map[string]bool{}, map[string]string{}
	for _, t := range d.Teams {
		object := named("team", t.Name)
		if names[t.Name] {
			c.add(Error, object, "the name is used more than once")
		}
		names[t.Name] = true
		if len(t.Keys) == 0 && needed {
			c.add(Unreachable, object, "it has no key")
		}
		for i, key := range t.Keys {
			switch holder, taken := holders[key]; {
			case key == "":
				c.add(Error, object, "key %d is empty", i+1)
			case taken && holder != t.Name:
				c.add(Unreachable, named("team", holder), "key %d of team %q is the same, and the last team that holds a key gets its requests", i+1, t.Name)
			}
			holders[key] = t.Name
		}
		c.quota(object, t.Quota)
	}
}

func (c *checker) quota(object string, q *routes.Quota) {
	if q == nil {
		return
	}
	if q.Limit.Rate < 0 || q.Limit.Burst < 0 {
		c.add(Error, object, "the quota is negative")
	}
	if q.Tokens && q.Limit.Burst > 0 && q.PlainTokens > q.Limit.Burst {
		c.add(Contradiction, object, "a request without a token count costs %g tokens, more than the burst of %g", q.PlainTokens, q.Limit.Burst)
	}
}

func (c *checker) limits(l routes.Limits, maxBodyBytes int) {
	if maxBodyBytes > 0 && l.BodyBytes > maxBodyBytes {
		c.add(Contradiction, "limits", "bodies of %d bytes are above the %d that a host accepts", l.BodyBytes, maxBodyBytes)
	}
	if l.HeaderBytes > 0 && l.BodyBytes > 0 && l.HeaderBytes > l.BodyBytes {
		c.add(Contradiction, "limits", "headers of %d bytes are above bodies of %d", l.HeaderBytes, l.BodyBytes)
	}
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		c.add(Error, "limits", "a limit is negative")
	}
}

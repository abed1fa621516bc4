package retry

// Silence describes a send whose endpoint has returned nothing for longer than
// expected.
type Silence struct {
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// Sends counts the sends so far, the silent one included. MaxSends bounds them.
	Sends, MaxSends int
	// Alternative says that another endpoint could take the request over now.
	Alternative bool
}

// MayGiveUp reports whether to give up the silent endpoint and send the request to
// another one, if the retry budget allows it too. Otherwise the endpoint is waited
// for: a sound one may fall silent for a while and go on.
func (s Silence) MayGiveUp() bool {
	return s.Repeatable && s.Alternative && s.Sends < s.MaxSends
}

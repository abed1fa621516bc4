// Package admission decides whether a request is sent now, held in the hold
// queue or refused, and estimates output lengths.
//
// A Policy is a pure function of its input. Its prediction comes from a load
// report that may be a few seconds old plus this host's own sends, so it is
// compared with the class's limit scaled by a margin. A request is refused only
// before it is sent to any endpoint, so every refusal means "not run". Its
// RetryAfter follows from the predicted backlog. If no endpoint can take the
// request, there is no prediction; the request is then held as long as its
// limits allow and then refused.
//
// Controller keeps the hold queue. Lengths keeps a histogram of output lengths
// per class, which is lost with the process and rebuilt within minutes.
package admission

// Package capacity decides which endpoints to provision and which to release,
// by failure domain and kind.
//
// Decide is a pure function of the endpoints, the forecast, the declared kinds,
// the budget and the time. Forecast, the only state, follows the offered work
// quickly upwards and slowly downwards. It looks ahead by the time that a new
// endpoint takes to start.
//
// Half of the strict work must fit on durable endpoints, which cannot be
// reclaimed. If the reclaimable endpoints of one failure domain are reclaimed,
// the rest of the fleet must be able to run all the strict work and half of the
// tolerant work. Within these limits the cheaper kind of endpoint is used.
//
// While the platform does not answer, nothing is ordered, and orders with an
// unknown outcome count as starting until they time out.
package capacity

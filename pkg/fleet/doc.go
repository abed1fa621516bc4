// Package fleet keeps the endpoints that announce themselves in the platform's
// store.
//
// State: the last announcement of each endpoint. An announcement is older than
// another one if its start is earlier, or its sequence number is lower at the
// same start; older ones are dropped. An endpoint that is draining or gone gets
// no new work from that moment on, whatever an older announcement says.
//
// When the store is away, which is when it answers no host, announcements lapse
// although their endpoints live.
// An endpoint whose announcement goes missing within OutageGrace of an outage
// therefore stays until that time after the store's return has passed; it must
// have announced itself again by then.
package fleet

// Package fleet tracks the endpoints that announce themselves in the platform's
// store.
//
// State: the last announcement of each endpoint. Announcements are ordered by
// the endpoint's start time, then by their sequence number; one that is older
// than the last is dropped. An endpoint that is draining or gone therefore gets
// no new work, even if an older announcement arrives later.
//
// Announcements lag behind the endpoints. An endpoint that states in an answer that
// it leaves counts as leaving at once, and until it announces another start. One that
// asks for a pause stays live and gets no requests until its end.
//
// The store is unavailable when it answers no host. Announcements then lapse
// although their endpoints are alive. An endpoint whose announcement lapses
// during an outage, or within OutageGrace after it, is therefore kept until
// OutageGrace after the store's return. It must have announced itself again by
// then.
//
// A host that hears of no answer may as well be cut off itself. It assumes an outage
// only if the store has said so (status 503) or hosts of other failure domains report
// that they get no answers either, and no longer once a host reports that it was
// answered meanwhile. Lapses that it reads with its first answer are held back for
// confirmationTime, within which the other hosts report.
package fleet

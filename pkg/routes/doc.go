// Package routes finds the route, the service and the team of a request.
//
// A Document is one complete version of the operators' configuration; Table is
// its index for lookups and is immutable. Holder, the only state, keeps the newest
// table of a process. It drops a version that is not higher than the current one,
// so a host never goes back to an older configuration. Before the first document
// its Current fails with ErrNoConfiguration, which says nothing about the request.
package routes

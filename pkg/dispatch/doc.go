// Package dispatch connects the gate to admission and routing. It turns the
// gate's work into an admission request, waits while the request is held, and
// returns the chosen endpoint as an assignment.
//
// It tracks the held requests and the endpoints that run requests suspected of
// crashing endpoints. pkg/admission and pkg/routing make the decisions on a
// snapshot that Update replaces. Without a snapshot, requests are held as long
// as their class's limits allow and then refused as not run.
package dispatch

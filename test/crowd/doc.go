// Package crowd tests entry hosts against many hostile clients at once.
//
// Each test starts one entry host as a process of its own, with the stand-ins of
// its endpoints, and lowers the limits of the process so that a small number of
// clients exceeds them. It then checks, with the clients' connections still open,
// that the process runs, that its resident set and its descriptors stayed within
// their bounds, and that an ordinary request of each kind is answered. It checks
// no times and no share of served requests.
//
// The tests need /proc and run on Linux only, one at a time.
package crowd

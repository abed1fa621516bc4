// Package declaration defines the objects that operators declare in version
// control: teams, keys, classes of work with their latency targets, models,
// services, routes, endpoint kinds and the budget. Declarations never contain
// model weights or addresses.
//
// The package owns no state. It decodes documents strictly, validates them and
// reports all errors at once, and computes the difference between two
// documents.
package declaration

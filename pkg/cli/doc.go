// Package cli implements the commands of clementineshed.
//
// Exit codes: 0 success; 1 the command failed, or its result is negative (a
// conflict, a host that has not confirmed, an incomplete answer); 2 the input is
// invalid and nothing was done.
package cli

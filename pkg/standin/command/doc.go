// Package command implements the command line of the stand-ins. Each subcommand
// runs one stand-in until SIGINT or SIGTERM.
//
// State: only that of the running stand-in.
//
// Guarantees: settings are checked before anything listens; the keys of a
// settings file are flag names, and a flag on the command line takes precedence;
// unknown keys are errors; a signal closes the stand-in gracefully.
package command

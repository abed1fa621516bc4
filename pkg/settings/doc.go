// Package settings holds the settings of one entry host process: its identity,
// listen addresses, platform addresses and limits. Latency targets and other
// guarantees to teams are declarations, not settings.
//
// Settings are one JSON file. Decoding is strict and reports all errors at
// once; durations and sizes carry their unit ("20s", "1MiB"); addresses are
// IP:port, because a host must start without name resolution. Table lists every
// setting with its default.
//
// The package owns no state and reads only the given file. A settings file with
// any error yields no settings, so that no process starts with part of them.
package settings

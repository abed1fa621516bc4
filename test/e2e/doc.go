// Package e2e tests the real programs as processes on loopback.
//
// The files without tests are the harness. Main builds the programs once per
// test run. Start runs a Deployment: stand-ins, entry hosts, a fault proxy on
// every link, and declarations applied by the command line. Process controls
// one program by signals.
//
// Each Deployment ends its processes and proxies when its test ends. If the
// test process itself dies, the kernel kills its children (Linux only).
//
// CLEMENTINESHED_LONG=1 runs longer schedules.
package e2e

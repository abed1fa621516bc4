//go:build !linux

package e2e

import "syscall"

// killWithParent has no effect outside Linux, where only the cleanup of a test
// ends its processes.
func killWithParent() *syscall.SysProcAttr { return nil }

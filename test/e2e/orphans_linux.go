package e2e

import "syscall"

// killWithParent makes the kernel kill a child when the thread that started it
// ends. This covers a test process that panics or exceeds its time limit.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

package e2e

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/freeport"
)

// binaries is the directory of the programs built for one test run.
type binaries struct{ dir string }

func (p binaries) path(name string) string { return filepath.Join(p.dir, name) }

var (
	built         binaries
	startRequests = make(chan func())
)

// Main builds the programs, runs the tests and returns the exit code.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clementineshed-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	built = binaries{dir: dir}
	go startOnOneThread()
	return m.Run()
}

// startOnOneThread starts all processes from a thread that lives as long as the
// test process, because killWithParent kills a child when that thread ends.
func startOnOneThread() {
	runtime.LockOSThread()
	for start := range startRequests {
		start()
	}
}

// Process is one running program. It is safe for concurrent use.
type Process struct {
	// Name identifies the process in the output of failed tests.
	Name string

	cmd    *exec.Cmd
	output lockedBuffer
	exited chan struct{}
}

// StartProcess starts one of the built programs. The caller ends the process.
func StartProcess(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	return startProcess(t, name, exec.Command(built.path(program), args...))
}

// StartLimitedProcess is like StartProcess and sets the process's limit of open
// files, soft and hard: a Go program raises its soft limit to the hard one.
func StartLimitedProcess(t testing.TB, name string, openFiles int, program string, args ...string) *Process {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, openFiles)
	return startProcess(t, name, exec.Command("/bin/sh", append([]string{"-c", script, built.path(program)}, args...)...))
}

func startProcess(t testing.TB, name string, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.SysProcAttr = killWithParent()
	if err := startCommand(p.cmd); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

func startCommand(cmd *exec.Cmd) error {
	started := make(chan error)
	startRequests <- func() { started <- cmd.Start() }
	return <-started
}

// PID returns the process id, also after the process has ended.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends sig to the process, not to its children, unless it has ended.
func (p *Process) Signal(sig syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Pause sends SIGSTOP and does not wait.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Continue sends SIGCONT, which ends Pause.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Running reports whether the process has not ended; it may be paused.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// WaitExit waits up to limit for the process to end and returns its exit code.
func (p *Process) WaitExit(limit time.Duration) (code int, ended bool) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(limit):
		return 0, false
	}
}

// Output returns what the process has written to both standard streams so far.
func (p *Process) Output() string { return p.output.String() }

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// freeAddress returns a loopback address that neither TCP nor UDP uses.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Eventually polls condition until it holds. It fails the test after limit.
func Eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// Scaled returns long if CLEMENTINESHED_LONG=1, else short.
func Scaled(short, long int) int {
	if os.Getenv("CLEMENTINESHED_LONG") == "1" {
		return long
	}
	return short
}

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// vm is a simulated VM, which runs one gateway process at a time.
type vm struct {
	name, requestAddr, program, settings, log string
	grace                                     time.Duration
	check                                     *Checker

	mu      sync.Mutex
	process *process
}

// process is one run of the VM's program.
type process struct {
	cmd *exec.Cmd
	// terminating is set once the process was sent SIGTERM or SIGKILL.
	terminating bool
	// sigtermAt is when the process was first sent SIGTERM, or zero; interrupted is set once it was
	// killed or suspended.
	sigtermAt   time.Time
	interrupted bool
	// exited is closed when the process has exited.
	exited chan struct{}
}

// running returns the latest process, or nil if there is none or it was told to end.
func (v *vm) running() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.terminating {
		return nil
	}
	return v.process
}

// latest returns the process that was started last, or nil.
func (v *vm) latest() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// shutdownStart returns when a process was sent SIGTERM; false if it was not, or if it was also killed
// or suspended.
func (v *vm) shutdownStart(p *process) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p == nil || p.interrupted || p.sigtermAt.IsZero() {
		return time.Time{}, false
	}
	return p.sigtermAt, true
}

// start waits until a terminating process has exited, and starts a new one. It does nothing if a
// process runs or another call has started one meanwhile. Signals can be sent while it waits.
func (v *vm) start() error {
	before := v.latest()
	if before != nil {
		if v.running() != nil {
			return nil
		}
		<-before.exited
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != before {
		return nil
	}
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	defer out.Close()
	p := &process{cmd: exec.Command(v.program, "--config", v.settings), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The process gets its own group, so that a signal of the terminal reaches only the soak, which
	// then ends the processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.process = p
	go v.wait(p)
	return nil
}

// wait waits for the exit of a process and records a violation if the process was not told to end.
func (v *vm) wait(p *process) {
	err := p.cmd.Wait()
	close(p.exited)
	v.mu.Lock()
	defer v.mu.Unlock()
	if !p.terminating {
		v.check.Violated(NoUnexpectedExit, v.name, "its process ended by itself: %v", err)
	}
}

// signal sends a signal to the latest process, if any; terminates tells that the signal ends it.
func (v *vm) signal(s syscall.Signal, terminates bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		v.process.terminating = v.process.terminating || terminates
		v.process.interrupted = v.process.interrupted || s == syscall.SIGKILL || s == syscall.SIGSTOP
		if s == syscall.SIGTERM && v.process.sigtermAt.IsZero() {
			v.process.sigtermAt = time.Now()
		}
		_ = v.process.cmd.Process.Signal(s)
	}
}

func (v *vm) suspend() { v.signal(syscall.SIGSTOP, false) }
func (v *vm) resume()  { v.signal(syscall.SIGCONT, false) }
func (v *vm) kill()    { v.signal(syscall.SIGKILL, true) }

// terminate sends SIGTERM to the process and kills it after the grace period.
func (v *vm) terminate() {
	v.signal(syscall.SIGTERM, true)
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.process; p != nil {
		time.AfterFunc(v.grace, func() { _ = p.cmd.Process.Kill() })
	}
}

// close terminates the process and waits for its exit.
func (v *vm) close() {
	v.resume()
	v.terminate()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		<-v.process.exited
	}
}

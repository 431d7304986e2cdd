package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// vm is a VM, on which one process runs at a time.
type vm struct {
	name, requestAddr, program, settings, log string
	grace                                     time.Duration
	check                                     *Checker

	mu      sync.Mutex
	process *process
}

// process is one life of a VM's program.
type process struct {
	cmd *exec.Cmd
	// terminating reports whether it got a signal to end.
	terminating bool
	// sigtermAt is when it got SIGTERM, zero before; interrupted reports whether it was killed
	// or suspended.
	sigtermAt   time.Time
	interrupted bool
	// exited is closed when it has ended.
	exited chan struct{}
}

// running returns the process that is not to end, or nil.
func (v *vm) running() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.terminating {
		return nil
	}
	return v.process
}

// latest returns the process of the latest life, or nil.
func (v *vm) latest() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// shutdownStart returns when a process that nothing else disturbs got SIGTERM; false where it
// got none.
func (v *vm) shutdownStart(p *process) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p == nil || p.interrupted || p.sigtermAt.IsZero() {
		return time.Time{}, false
	}
	return p.sigtermAt, true
}

// start waits until a process that leaves is gone, and starts the next. It does nothing
// where another call has started one. Signals can be sent while it waits.
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
	// A terminal's signal is for the soak, which then ends the processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.process = p
	go v.wait(p)
	return nil
}

// wait is the duty of learning how a process ended.
func (v *vm) wait(p *process) {
	err := p.cmd.Wait()
	close(p.exited)
	v.mu.Lock()
	defer v.mu.Unlock()
	if !p.terminating {
		v.check.Violated(NoUnexpectedExit, v.name, "its process ended by itself: %v", err)
	}
}

// signal sends a signal to the process; a process that is gone gets none.
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

// terminate asks the process to end, and kills it after its grace.
func (v *vm) terminate() {
	v.signal(syscall.SIGTERM, true)
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.process; p != nil {
		time.AfterFunc(v.grace, func() { _ = p.cmd.Process.Kill() })
	}
}

// close ends the process for good.
func (v *vm) close() {
	v.resume()
	v.terminate()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		<-v.process.exited
	}
}

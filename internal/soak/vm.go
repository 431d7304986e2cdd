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
	name, front, program, settings, log string
	grace                               time.Duration
	check                               *Checker

	mu  sync.Mutex
	now *process
}

// process is one life of a VM's program.
type process struct {
	cmd *exec.Cmd
	// ending reports whether it got a signal to end.
	ending bool
	// stoppedAt is when it got SIGTERM, zero before; disturbed reports whether it was killed
	// or suspended.
	stoppedAt time.Time
	disturbed bool
	// gone is closed when it has ended.
	gone chan struct{}
}

// staying returns the process that is not to end, or nil.
func (v *vm) staying() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.now == nil || v.now.ending {
		return nil
	}
	return v.now
}

// current returns the process of the latest life, or nil.
func (v *vm) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// stopping returns when a process that nothing else disturbs got SIGTERM; false where it
// got none.
func (v *vm) stopping(p *process) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p == nil || p.disturbed || p.stoppedAt.IsZero() {
		return time.Time{}, false
	}
	return p.stoppedAt, true
}

// start waits until a process that leaves is gone, and starts the next. It does nothing
// where another call has started one. Signals can be sent while it waits.
func (v *vm) start() error {
	before := v.current()
	if before != nil {
		if v.staying() != nil {
			return nil
		}
		<-before.gone
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.now != before {
		return nil
	}
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	defer out.Close()
	p := &process{cmd: exec.Command(v.program, "--config", v.settings), gone: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A terminal's signal is for the soak, which then ends the processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.now = p
	go v.await(p)
	return nil
}

// await is the duty of learning how a process ended.
func (v *vm) await(p *process) {
	err := p.cmd.Wait()
	close(p.gone)
	v.mu.Lock()
	defer v.mu.Unlock()
	if !p.ending {
		v.check.Broken(StaysUp, v.name, "its process ended by itself: %v", err)
	}
}

// signal sends a signal to the process; a process that is gone gets none.
func (v *vm) signal(s syscall.Signal, ends bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.now != nil {
		v.now.ending = v.now.ending || ends
		v.now.disturbed = v.now.disturbed || s == syscall.SIGKILL || s == syscall.SIGSTOP
		if s == syscall.SIGTERM && v.now.stoppedAt.IsZero() {
			v.now.stoppedAt = time.Now()
		}
		_ = v.now.cmd.Process.Signal(s)
	}
}

func (v *vm) suspend() { v.signal(syscall.SIGSTOP, false) }
func (v *vm) resume()  { v.signal(syscall.SIGCONT, false) }
func (v *vm) kill()    { v.signal(syscall.SIGKILL, true) }

// leave asks the process to end, and kills it after its grace.
func (v *vm) leave() {
	v.signal(syscall.SIGTERM, true)
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.now; p != nil {
		time.AfterFunc(v.grace, func() { _ = p.cmd.Process.Kill() })
	}
}

// close ends the process for good.
func (v *vm) close() {
	v.resume()
	v.leave()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.now != nil {
		<-v.now.gone
	}
}

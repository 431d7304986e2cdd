package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The stated limits of each process. They are the bounds of the tests: neither follows from a measurement.
const (
	// memoryMB is the memory of the machine. It holds the resident memory and the bytes that were received and not read.
	memoryMB = 96
	// descriptors is the number of descriptors that a process may have.
	descriptors = 1000
)

// programs is the folder of the programs under test. They are built without the race detector, which takes memory itself.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hostile")
	if err == nil {
		programs = dir
		build := exec.Command("go", "build", "-o", dir+"/", "hemlockquay/cmd/...")
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program under test and the largest use of its limits that was seen.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    string
	exited chan struct{}

	stop     chan struct{}
	stopped  sync.WaitGroup
	memory   int64
	openMost int
	// unreadMost is the part of memory that was received and not read, at its largest.
	unreadMost int64
}

// startProcess starts a program with its limit of descriptors, and with a file of settings behind other arguments.
func startProcess(t *testing.T, name, settings string, args ...string) *process {
	t.Helper()
	p := &process{t: t, log: filepath.Join(t.TempDir(), name+".log"), exited: make(chan struct{}), stop: make(chan struct{})}
	out, err := os.Create(p.log)
	require.NoError(t, err)
	defer out.Close()
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p.cmd = exec.Command("sh", append([]string{"-c", limit, filepath.Join(programs, name)}, append(args, "--config", settings)...)...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.end)
	return p
}

func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	if p.t.Failed() {
		text, _ := os.ReadFile(p.log)
		p.t.Logf("end of the log:\n%s", text[max(0, len(text)-1000):])
	}
}

// watch samples the process until check is called.
func (p *process) watch() {
	p.stopped.Go(func() {
		for {
			p.sample()
			select {
			case <-p.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
}

func (p *process) sample() {
	sockets, open := p.sockets()
	resident, waiting := p.status("VmRSS"), unread(sockets)
	p.memory = max(p.memory, resident+waiting)
	p.unreadMost = max(p.unreadMost, waiting)
	p.openMost = max(p.openMost, open)
}

// check ends the watch and checks that the process lives and stayed within its limits.
func (p *process) check() {
	p.t.Helper()
	close(p.stop)
	p.stopped.Wait()
	select {
	case <-p.exited:
		require.Fail(p.t, "the process has ended", p.cmd.ProcessState.String())
	default:
	}
	resident := p.status("VmHWM")
	p.memory = max(p.memory, resident)
	p.t.Logf("peak: %.1f MB of %d (resident %.1f, unread %.1f), %d descriptors of %d", float64(p.memory)/(1<<20), memoryMB,
		float64(resident)/(1<<20), float64(p.unreadMost)/(1<<20), p.openMost, descriptors)
	require.Less(p.t, p.memory, int64(memoryMB<<20), "resident memory and unread bytes")
	require.Less(p.t, p.openMost, descriptors, "open descriptors")
}

// status returns a size in bytes from the status of the process, or 0 if it has ended.
func (p *process) status(field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kB, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kB << 10
		}
	}
	return 0
}

// sockets returns the inodes of the process's sockets, and the number of its descriptors.
func (p *process) sockets() (map[string]bool, int) {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0
	}
	out := make(map[string]bool)
	for _, e := range entries {
		link, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok && err == nil {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out, len(entries)
}

// unread returns the bytes that were received on sockets and not read. A socket that listens has none.
func unread(sockets map[string]bool) int64 {
	const listening = "0A"
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) < 10 || f[3] == listening || !sockets[f[9]] {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}

// awaitListening waits until a program listens at its addresses.
func (p *process) awaitListening(addrs ...string) {
	p.t.Helper()
	for _, addr := range addrs {
		p.eventually("listens at "+addr, func() error {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			return conn.Close()
		})
	}
}

// hangTimeout only ends tests that hang.
const hangTimeout = 30 * time.Second

// eventually repeats an attempt until it succeeds.
func (p *process) eventually(what string, attempt func() error) {
	p.t.Helper()
	var err error
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = attempt(); err == nil {
			return
		}
		select {
		case <-p.exited:
			require.NoError(p.t, errors.Join(err, errors.New("the process has ended")), what)
		default:
		}
	}
	require.NoError(p.t, err, what)
}

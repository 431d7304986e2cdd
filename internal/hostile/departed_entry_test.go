package hostile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/agent"
	"hemlockquay/internal/dispatch"
	"hemlockquay/internal/entry"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
	"hemlockquay/internal/standin"
	"hemlockquay/internal/standin/plan"
)

// lab is some VMs with hq-agent, hq-dispatch and hq-entry, the last ones of which are used, and the stand-ins of the store and the targets.
type lab struct {
	t          *testing.T
	entry      *process
	dispatches []*process
	// addr is where hq-entry listens, admin the address of the stand-ins.
	addr, admin string
}

// labVMs is the number of VMs. The entries of all of them share the limits of a customer.
const labVMs = 3

// labDeadline is the time limit of requests.
const labDeadline = model.Duration(2 * time.Second)

const labRequest = "GET /s/booth/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\nX-Load-Id: %s\r\n%s"

func newLab(t *testing.T) *lab {
	t.Helper()
	return newLabWith(t, func(string) {})
}

// newLabWith is newLab, with a change of the files of objects before they are applied.
func newLabWith(t *testing.T, change func(dir string)) *lab {
	t.Helper()
	const most = 1000
	dir := t.TempDir()
	addrs, err := plan.Write(dir, labVMs, []plan.Deployment{{
		Name: "lab", DataCentres: []string{"a"},
		Services: []plan.Service{{
			Service: model.Service{Name: "booth", Slots: 64, Connections: 200, Deadline: labDeadline, MaxDeadline: labDeadline}, Servers: 1, MeanWorkUS: 1000,
		}},
		Customers: []plan.Customer{{Customer: "c", Token: "token", Services: []model.Allowance{{Service: "booth", Rate: most, Burst: most, Concurrency: most, Class: model.Interactive, Weight: 1}}}},
	}})
	require.NoError(t, err)
	change(filepath.Join(dir, "objects"))
	l := &lab{t: t, admin: addrs.Admin}
	startProcess(t, "hq-standin", filepath.Join(dir, "standin.jsonc"), "run").eventually("the stand-ins", func() error {
		return requireStatus(l.admin[len("http://"):], "/healthz", http.StatusOK)
	})
	for _, kind := range []string{"service", "contract"} {
		files, err := filepath.Glob(filepath.Join(dir, "objects", kind+".*"))
		require.NoError(t, err)
		text, err := exec.Command(filepath.Join(programs, "hqctl"), append([]string{"--store", addrs.Store, kind, "apply"}, files...)...).CombinedOutput()
		require.NoError(t, err, "%s", text)
	}
	for i := labVMs; i > 0; i-- {
		l.startVM(dir, fmt.Sprintf("vm%d", i))
	}
	l.requireServed()
	return l
}

// startVM starts the daemons of a VM. Those of the last one are the lab's.
func (l *lab) startVM(dir, vm string) {
	l.t.Helper()
	dir = filepath.Join(dir, vm)
	var a agent.Settings
	var d dispatch.Settings
	var e entry.Settings
	l.start(dir, "agent", &a, func() string { return a.Admin })
	l.dispatches = append(l.dispatches, l.start(dir, "dispatch", &d, func() string { return d.Admin }))
	// hq-entry gives out no concurrency for as long as requests of an earlier process may run.
	l.entry = l.start(dir, "entry", &e, func() string {
		e.ReadTimeout = labDeadline
		return e.Admin
	})
	l.addr = e.Listen
}

// start starts a daemon and waits until it is ready. change may change its settings, and returns its address for operators.
func (l *lab) start(dir, name string, s settings.Checker, change func() (admin string)) *process {
	l.t.Helper()
	file := filepath.Join(dir, name+".jsonc")
	require.NoError(l.t, settings.Load(file, s))
	admin := change()
	require.NoError(l.t, plan.WriteJSON(file, s))
	p := startProcess(l.t, "hq-"+name, file)
	p.eventually(name+" is ready", func() error { return requireStatus(admin, "/readyz", http.StatusOK) })
	return p
}

// requireServed sends an ordinary request until it is answered.
func (l *lab) requireServed() {
	l.t.Helper()
	l.entry.eventually("an ordinary request", func() error {
		conn, err := net.Dial("tcp", l.addr)
		if err != nil {
			return err
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(hangTimeout))
		if _, err := fmt.Fprintf(conn, labRequest, "ordinary", "Connection: close\r\n\r\n"); err != nil {
			return err
		}
		answer, err := io.ReadAll(conn)
		if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
			return fmt.Errorf("answered %.600q, %v", answer, err)
		}
		return nil
	})
}

// leave has callers send requests and leave.
func (l *lab) leave() (ids []string) {
	l.t.Helper()
	for i := range departedCallers {
		conn, err := net.Dial("tcp", l.addr)
		require.NoError(l.t, err)
		ids = append(ids, fmt.Sprintf("left-%d", i))
		_, err = fmt.Fprintf(conn, labRequest, ids[i], "\r\n")
		require.NoError(l.t, err)
		require.NoError(l.t, conn.Close())
	}
	return ids
}

// requireNoneRan checks that no target ran any of the requests.
func (l *lab) requireNoneRan(ids []string) {
	l.t.Helper()
	query, err := json.Marshal(standin.RunsQuery{IDs: ids})
	require.NoError(l.t, err)
	resp, err := http.Post(l.admin+"/ledger/runs", "application/json", bytes.NewReader(query))
	require.NoError(l.t, err)
	defer resp.Body.Close()
	var reply standin.RunsReply
	require.NoError(l.t, json.NewDecoder(resp.Body).Decode(&reply))
	require.Len(l.t, reply.Runs, len(ids))
	ran := 0
	for _, n := range reply.Runs {
		ran += n
	}
	require.Zero(l.t, ran, "requests of callers that left ran")
}

// Guards against requests that hq-entry passes on after their callers left while it did not run.
func TestEntryPassesOnNothingForCallersThatLeft(t *testing.T) {
	l := newLab(t)
	l.entry.suspend()
	ids := l.leave()
	l.entry.awaitHangups(l.addr, departedCallers)
	require.NoError(t, l.entry.cmd.Process.Signal(syscall.SIGCONT))
	l.entry.awaitHangups(l.addr, 0)
	l.requireServed()
	l.requireNoneRan(ids)
}

// Guards against requests that hq-dispatch passes on although their callers left while it did not run.
func TestDispatchPassesOnNothingForCallersThatLeft(t *testing.T) {
	l := newLab(t)
	for _, d := range l.dispatches {
		d.suspend()
	}
	ids := l.leave()
	l.entry.awaitHangups(l.addr, 0)
	time.Sleep(time.Second)
	for _, d := range l.dispatches {
		require.NoError(t, d.cmd.Process.Signal(syscall.SIGCONT))
	}
	l.requireServed()
	l.requireNoneRan(ids)
}

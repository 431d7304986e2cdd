package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"hemlockquay/internal/gateway"
	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/fleet"
	"hemlockquay/internal/standin/link"
)

const (
	// vmCount is the number of VMs, targetCount the number of targets per service, and slots the
	// number of requests that a target runs concurrently.
	vmCount, targetCount, slots = 3, 3, 4
	// serviceTime is how long a target works on a request: long enough that link faults hit
	// requests in progress.
	serviceTime = 100 * time.Millisecond
	// bodyBytes is the minimum size of an answer: large enough that a link forwards it in several
	// reads.
	bodyBytes = 20_000
)

// vmNames returns the names of the VMs.
func vmNames() []string { return names("vm", vmCount) }

// targetNames returns the names of the targets: k-N for the keyed service, p-N for the other.
func targetNames() []string { return append(names("k", targetCount), names("p", targetCount)...) }

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", prefix, i+1)
	}
	return out
}

// site is the environment of a run: the simulated store and targets, the links, and the VMs.
type site struct {
	profile Profile
	check   *Checker
	store   *fleet.Store
	server  *http.Server
	targets map[string]*fleet.Target
	vms     map[string]*vm
	// links has the link to each target and the link of each VM to the store, by the name of the
	// target or VM.
	links map[string]*link.Link
	// paths has the links of each VM to the targets, by the name of the VM, if the profile has separate
	// paths.
	paths map[string][]*link.Link

	// checkRates is Run.CheckRates.
	checkRates bool

	mu sync.Mutex
	// active counts the faults in progress by activeKey, since faults overlap.
	active map[[2]string]int
	// faultEnded is when the last fault of each VM or target ended.
	faultEnded map[string]time.Time
	added      addedRoutes
	limits     map[string]*limitWatch
	signals    map[string]*signalWatch
}

// newSite starts the store, the targets and the links, and writes the settings of the VMs.
func newSite(dir, program string, profile Profile, check *Checker) (*site, error) {
	w := &site{
		profile: profile, check: check, store: fleet.NewStore(), targets: make(map[string]*fleet.Target), vms: make(map[string]*vm),
		links: make(map[string]*link.Link), paths: make(map[string][]*link.Link), active: make(map[[2]string]int), faultEnded: make(map[string]time.Time), limits: make(map[string]*limitWatch), signals: make(map[string]*signalWatch),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: listen for the store: %w", err)
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	w.store.Set("config", "main", fleet.Config(1, ""))
	err = errors.Join(w.addTargets(check), w.addVMs(dir, program, listener.Addr().String(), check))
	if err != nil {
		w.close()
		return nil, fmt.Errorf("soak: %w", err)
	}
	return w, nil
}

func (w *site) addTargets(check *Checker) error {
	for i, name := range targetNames() {
		t := &fleet.Target{ID: name, Service: "pool", Zone: mainDC, Slots: slots, Pad: bodyBytes, Observer: check}
		if i < targetCount {
			t.Service, t.Keyed = "keyed", true
		}
		if w.profile.TwoDataCentres {
			t.Zone = dataCentreOf(name)
		}
		if w.profile.Pipelines {
			t.Room = pipelineRoom
		}
		if w.profile.Limits {
			t.Arrived = func(from string, limited bool) { w.arrived(name, from, limited) }
			t.Exchanged = func(e fleet.Exchange) { w.observe(name, e) }
			w.signals[name] = newSignalWatch()
		}
		t.Via = func(addr string) (string, error) {
			if w.profile.SeparatePaths {
				return w.addPaths(name, addr)
			}
			if w.profile.Limits {
				return addr, nil
			}
			return w.addLink(name, addr)
		}
		t.SetWork(serviceTime)
		if err := t.Start(w.store); err != nil {
			return err
		}
		w.targets[name] = t
	}
	return nil
}

// addLink starts a link to addr and returns the address of the link.
func (w *site) addLink(name, addr string) (string, error) {
	l, err := link.New(addr)
	if err != nil {
		return "", err
	}
	w.links[name] = l
	return l.Addr(), nil
}

func (w *site) addVMs(dir, program, store string, check *Checker) error {
	written, err := fleet.WriteGateways(dir, w.profile.vmNames(), w.profile.Grace, func(s *gateway.Settings) (err error) {
		if w.profile.SeparatePaths {
			s.TargetSource = pathAddr(s.VM)
		}
		if w.profile.Limits {
			s.TargetSource = limitSource(s.VM)
		}
		if w.profile.Pipelines {
			customizePipelines(s)
		}
		if w.profile.TwoDataCentres {
			s.EvacuateWithin = model.Duration(evacuateWithin)
		}
		s.Store, err = w.addLink(s.VM, store)
		return err
	})
	if err != nil {
		return err
	}
	for _, s := range written {
		file := filepath.Join(dir, s.VM)
		w.vms[s.VM] = &vm{name: s.VM, requestAddr: s.Front, program: program, settings: file + ".jsonc", log: file + ".log", grace: w.profile.Grace, check: check}
	}
	return nil
}

// startFault starts a fault unless one with the same activeKey is in progress.
func (w *site) startFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Kind == StateLimit {
		w.stateLimit(f.Subject, f.Limit)
	}
	if w.active[f.activeKey()]++; w.active[f.activeKey()] > 1 {
		return
	}
	if f.Kind != Evacuate && f.Kind != AddRoute {
		w.check.countOtherFault(1)
	}
	switch f.Kind {
	case AnnounceLeaving, RefuseRequests, SendEndlessly:
		w.setSignal(f, true)
	case StoreAway:
		w.setStoreAway(true)
	case AddRoute:
		w.addRoute(f.Subject)
	case Evacuate:
		w.setEvacuated(true)
	case HoldLink:
		w.links[f.Subject].Hold()
	case ResetLink:
		w.links[f.Subject].Reset()
	case RemoveEntry:
		w.store.Remove("servers", f.Subject)
	case SlowTarget:
		w.targets[f.Subject].SetWork(slowServiceTime)
	case DropAnswers:
		w.targets[f.Subject].SetDropResponses(true)
	case Starve:
		go w.starve(f)
	case Suspend:
		w.forgetTold(f.Subject)
		w.vms[f.Subject].suspend()
	case Kill:
		w.forgetTold(f.Subject)
		w.vms[f.Subject].kill()
	case Terminate:
		w.forgetTold(f.Subject)
		w.vms[f.Subject].terminate()
	case DropPaths, ResetPaths, RefusePaths:
		w.cutPaths(f)
	}
}

// endFault ends a fault unless another with the same activeKey is in progress.
func (w *site) endFault(f Fault) error {
	if !w.deactivate(f) {
		return nil
	}
	if f.Kind != Evacuate && f.Kind != AddRoute {
		defer w.check.countOtherFault(-1)
	}
	switch f.Kind {
	case StateLimit:
		w.endLimit(f.Subject)
	case AnnounceLeaving:
		return w.restartTarget(f.Subject)
	case RefuseRequests, SendEndlessly:
		w.setSignal(f, false)
	case StoreAway:
		w.setStoreAway(false)
	case AddRoute:
		w.checkNotDenied(f.Subject)
		if w.checkRates {
			w.checkRoute(f.Subject)
		}
	case Evacuate:
		w.setEvacuated(false)
	case HoldLink:
		w.links[f.Subject].Heal()
	case RemoveEntry:
		w.targets[f.Subject].Register(w.store)
	case SlowTarget:
		w.targets[f.Subject].SetWork(serviceTime)
	case DropAnswers:
		w.targets[f.Subject].SetDropResponses(false)
	case Suspend:
		w.vms[f.Subject].resume()
	case Kill, Terminate:
		defer w.recordFaultEnd(f.Subject)
		return w.vms[f.Subject].start()
	case DropPaths, ResetPaths, RefusePaths:
		w.healPaths(f.Subject)
	}
	return nil
}

// deactivate removes a fault from the count and reports whether it was the last one with its
// activeKey.
func (w *site) deactivate(f Fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[f.activeKey()]--
	if f.Kind == Suspend || f.Kind == Kill || f.Kind == Terminate {
		w.forgetTold(f.Subject)
	}
	w.faultEnded[f.Subject] = time.Now()
	return w.active[f.activeKey()] == 0
}

func (w *site) recordFaultEnd(subject string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultEnded[subject] = time.Now()
}

// activeKey identifies overlapping faults that end together with the last of them. Kill and Terminate
// share a key, so that a VM under both is restarted once, and so do the cuts of a VM from the targets, of
// which the first decides the kind.
func (f Fault) activeKey() [2]string {
	switch f.Kind {
	case Terminate:
		return [2]string{f.Subject, string(Kill)}
	case ResetPaths, RefusePaths:
		return [2]string{f.Subject, string(DropPaths)}
	}
	return [2]string{f.Subject, string(f.Kind)}
}

// close ends the processes, and then the links, targets and store that they were connected to.
func (w *site) close() {
	var wait sync.WaitGroup
	for _, v := range w.vms {
		wait.Go(v.close)
	}
	wait.Wait()
	for _, l := range w.links {
		l.Close()
	}
	for _, paths := range w.paths {
		for _, l := range paths {
			l.Close()
		}
	}
	for _, t := range w.targets {
		t.Kill()
	}
	_ = w.server.Close()
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/fleet"
)

const (
	// AnnounceLeaving has a target say in its responses that it leaves. The store lists it as draining some time later. When
	// the fault ends, a new incarnation of the target starts.
	AnnounceLeaving Kind = "leaving"
	// RefuseRequests has a target refuse a part of the requests until the fault ends, and ask for a rest or not.
	RefuseRequests Kind = "refuse"
	// SendEndlessly has a target answer a part of the requests with bytes that do not end.
	SendEndlessly Kind = "endless"
	// StoreAway has the store leave the calls of all VMs unanswered.
	StoreAway Kind = "away"

	// LeavingKept: a request that a caller sent later than leavingBound after a VM had got a response which says that
	// its target leaves does not reach that target from that VM.
	LeavingKept = "LEAVING"
	// RestKept: no more than restAllowed requests of a VM reach a target between restBegins after it has asked that VM
	// for a rest, and the end of the rest.
	RestKept = "REST"
	// MemoryKept: no VM takes more memory than maxMemoryMB, the memory of the users' VMs.
	MemoryKept = "MEMORY"

	leavingBound = 2 * time.Second
	restBegins   = 500 * time.Millisecond
	restAllowed  = 2
	maxMemoryMB  = 284
)

// signalWatch is what one incarnation of a target has told VMs. It is guarded by site.mu.
type signalWatch struct {
	// born is the start of the incarnation, or 0 until its first request.
	born int64
	// leavingSince holds when a VM first got a response which says that the target leaves.
	leavingSince map[string]time.Time
	rests        []rest
}

// rest is a rest that a target has asked a VM for, with the number of requests that it got from it meanwhile.
type rest struct {
	vm         string
	begin, end time.Time
	got        int
}

func newSignalWatch() *signalWatch { return &signalWatch{leavingSince: make(map[string]time.Time)} }

// observe records a request at a target and its response, which was written at the end of the request.
func (w *site) observe(target string, e fleet.Exchange) {
	sentAt, known := w.check.SentAt(e.ID)
	vm := vmAt(e.From)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.signals[target]
	if s == nil || vm == "" || e.Born < s.born {
		// A request of the last incarnation may end after the next one has started.
		return
	}
	s.born = e.Born
	if since, told := s.leavingSince[vm]; told && known && sentAt.Sub(since) > leavingBound {
		w.check.Violated(LeavingKept, target, "%s, sent %v after %s was told, arrives", e.ID, sentAt.Sub(since).Round(time.Millisecond), vm)
	}
	for i := range s.rests {
		r := &s.rests[i]
		if r.vm != vm || e.Arrived.Before(r.begin.Add(restBegins)) || !e.Arrived.Before(r.end) {
			continue
		}
		if r.got++; r.got > restAllowed {
			w.check.Violated(RestKept, target, "%d requests of %s in a rest of %v", r.got, vm, r.end.Sub(r.begin))
		}
	}
	now := time.Now()
	if _, told := s.leavingSince[vm]; e.Leaving && !told {
		s.leavingSince[vm] = now
	}
	if e.Rest > 0 {
		s.rests = append(slices.DeleteFunc(s.rests, func(r rest) bool { return now.After(r.end) }), rest{vm: vm, begin: now, end: now.Add(e.Rest)})
	}
}

// forgetTold drops what targets have told a VM: its process ends, or stands still. It needs w.mu.
func (w *site) forgetTold(vm string) {
	for _, s := range w.signals {
		delete(s.leavingSince, vm)
		s.rests = slices.DeleteFunc(s.rests, func(r rest) bool { return r.vm == vm })
	}
}

// restartTarget starts a new incarnation of a target that has left.
func (w *site) restartTarget(name string) error {
	w.targets[name].Kill()
	w.check.Released(name, 0, keys-1)
	err := w.targets[name].Restart(w.store)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signals[name] = newSignalWatch()
	w.signals[name].born = w.targets[name].Born()
	return err
}

// setSignal starts or ends a fault of a target's responses. It needs w.mu.
func (w *site) setSignal(f Fault, on bool) {
	t := w.targets[f.Subject]
	switch f.Kind {
	case AnnounceLeaving:
		t.SetLeaving()
		time.AfterFunc(f.DrainAfter.D(), func() { w.drainIfLeaving(f, t) })
	case RefuseRequests:
		t.SetRefusals(fleet.Refusals{Share: f.Share, Rest: f.Rest.D()}, on)
	case SendEndlessly:
		share := 0.0
		if on {
			share = f.Share
		}
		t.SetEndless(share)
	}
}

// drainIfLeaving lists a target as draining, unless a new incarnation has started since.
func (w *site) drainIfLeaving(f Fault, t *fleet.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active[f.activeKey()] > 0 {
		t.Drain(w.store)
	}
}

// setStoreAway holds or heals the links of all VMs to the store.
func (w *site) setStoreAway(away bool) {
	for name := range w.vms {
		if away {
			w.links[name].Hold()
		} else {
			w.links[name].Heal()
		}
	}
}

// checkMemory checks the most memory that the processes of the VMs have taken.
func (w *site) checkMemory() {
	for name, v := range w.vms {
		if p := v.running(); p != nil {
			if mb := peakMemoryMB(p.cmd.Process.Pid); mb > maxMemoryMB {
				w.check.Violated(MemoryKept, name, "%d MB, %d allowed", mb, maxMemoryMB)
			}
		}
	}
}

// peakMemoryMB returns the most memory that a process has taken, in MB, or 0 if it is not known.
func peakMemoryMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// Distributions of the faults of the profile signals.
var (
	signalInterval = durationRange{400 * time.Millisecond, 2 * time.Second}
	signalDuration = durationRange{3 * time.Second, 8 * time.Second}
	drainAfter     = durationRange{time.Millisecond, 9 * time.Second}
	awayInterval   = durationRange{4 * time.Second, 10 * time.Second}
	awayDuration   = durationRange{time.Second, 7 * time.Second}
)

// restLengths are the rests that refusing targets ask for. With 0, they only refuse.
var restLengths = []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second}

// GenerateSignals returns the fault schedule of a seed for the profile signals.
func GenerateSignals(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s, targets, vms := new(Schedule), targetNames(), names("vm", limitVMs)
	for at := signalInterval.min; at < over; at += signalInterval.random(r) {
		f := Fault{At: model.Duration(at), Subject: targets[r.IntN(len(targets))], Duration: model.Duration(signalDuration.random(r))}
		switch r.IntN(6) {
		case 0, 1:
			f.Kind, f.DrainAfter = AnnounceLeaving, model.Duration(drainAfter.random(r))
		case 2:
			f.Kind, f.Share = SendEndlessly, 0.02+0.1*r.Float64()
		default:
			f.Kind, f.Rest, f.Share = RefuseRequests, model.Duration(restLengths[r.IntN(len(restLengths))]), 1
			if r.IntN(3) == 0 {
				f.Share = r.Float64()
			}
		}
		s.add(f, over)
		if r.IntN(2) == 0 {
			kind := kinds[false][r.IntN(len(kinds[false]))]
			s.add(Fault{At: model.Duration(at + offsetInSeries.random(r)), Kind: kind, Subject: vms[r.IntN(limitVMs)], Duration: model.Duration(durations[kind].random(r))}, over)
		}
	}
	for at := awayInterval.min; at < over; at += awayInterval.random(r) {
		s.add(Fault{At: model.Duration(at), Kind: StoreAway, Subject: storeName, Duration: model.Duration(awayDuration.random(r))}, over)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// storeName is the subject of StoreAway.
const storeName = "store"

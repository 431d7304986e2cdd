package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/quarantine"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/ring"
	"hemlockquay/internal/wire"
)

// stepQuarantine is the step of refusals of requests that crash targets.
const stepQuarantine = "quarantine"

// Times and sizes of the talk between dispatchers about crashing requests.
const (
	// askTimeout bounds a round of permits or notices.
	askTimeout = 300 * time.Millisecond
	// catchUpEvery is how often a dispatcher that has just started asks for
	// the cases of others, until one answers.
	catchUpEvery = 250 * time.Millisecond
	// catchUpFor is how long it takes no requests meanwhile: time for three that
	// are listed and do not answer. It goes on asking.
	catchUpFor = time.Second
	// talkLength is how many rounds may wait. Deaths come one a second at most
	// for each target, and each makes as many as the target had slots.
	talkLength = 1024
)

// crashWatch is Suspects for the running dispatcher. It is safe for concurrent
// use; mu is held for no call to another process.
type crashWatch struct {
	vm      string
	clock   boottime.Clock
	feed    viewSource
	peers   *peer.Pool
	log     *log.Logger
	journal *journal.Journal
	talk    *ring.Ring[talk]
	counts  crashCounts
	// ready says that requests may come.
	ready func()

	mu    sync.Mutex
	watch *quarantine.Watch
	// told are the quarantines that stand in the journal.
	told map[quarantine.Fingerprint]bool
	// queued and concluded count rounds; progress is closed at each conclusion.
	queued, concluded uint64
	progress          chan struct{}
}

type crashCounts struct{ deaths, refused, permits, denied, cleared metrics.Counter }

// talk is one round with all other dispatchers: a notice, or the question for a
// permit.
type talk struct {
	notice quarantine.Case
	// pool is set where a permit is asked for, asked is when it was wanted.
	pool  string
	asked time.Duration
}

var _ Suspects = (*crashWatch)(nil)

func newCrashWatch(vm string, f viewSource, ready func(), j *journal.Journal, logger *log.Logger, registry metrics.Registry) *crashWatch {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quarantine."+name, registry) }
	return &crashWatch{
		vm: vm, clock: boottime.System{}, feed: f, peers: peer.NewPool(1), log: logger, journal: j, ready: ready,
		talk:   ring.New[talk]("quarantine", talkLength, ring.Refuse, registry),
		counts: crashCounts{counter("deaths"), counter("refused"), counter("permits"), counter("denied"), counter("cleared")},
		watch:  quarantine.New(vm),
		told:   make(map[quarantine.Fingerprint]bool),

		progress: make(chan struct{}),
	}
}

func fingerprint(r *wire.Request) quarantine.Fingerprint {
	return quarantine.Fingerprint(crashPrint(r))
}

// say queues a round. A round that finds no room is lost like a message: a permit
// is asked for again, and a notice goes along with the next permit. The caller
// holds mu.
func (w *crashWatch) say(t talk) {
	if w.talk.Push(context.Background(), t) == nil {
		w.queued++
	}
}

// settled waits until the others were told of the deaths under a request, askTimeout
// at most. It comes before the request's answer.
//
// Failure: a request kills its target. Its caller is told at once and sends it again
// through an entry whose view differs, to another dispatcher, which has not heard of
// the death and runs it beside others: a third target dies. Whoever sends again only
// after an answer now meets dispatchers that know.
func (w *crashWatch) settled(ctx context.Context, r *wire.Request) {
	w.mu.Lock()
	c := w.watch.Case(fingerprint(r), w.clock.Now())
	until := w.queued
	w.mu.Unlock()
	if !c.Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		done, progress := w.concluded >= until, w.progress
		w.mu.Unlock()
		if done {
			return
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return
		}
	}
}

// Admit implements Suspects.
func (w *crashWatch) Admit(target string, r *wire.Request, _ time.Time) (Admission, *problem.Error) {
	fp := fingerprint(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	switch w.watch.Admit(fp, r.Service, target, now) {
	case quarantine.Run:
		return AdmitRun, nil
	case quarantine.Refuse:
		w.counts.refused.Inc(1)
		return AdmitRefuse, problem.Refuse(problem.Quarantined, stepQuarantine, w.vm, "targets died under this request; it is not run for now").After(quarantine.Lifetime)
	case quarantine.NeedsPermit:
		w.say(talk{notice: w.watch.Case(fp, now), pool: r.Service, asked: now})
	}
	return AdmitHold, nil
}

// Started implements Suspects.
func (w *crashWatch) Started(target string, r *wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.Started(fingerprint(r), r.Service, target, w.clock.Now())
}

// Finished implements Suspects.
func (w *crashWatch) Finished(target string, r *wire.Request, answered bool, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.watch.Finished(fingerprint(r), r.Service, target, answered, w.clock.Now())
	if c == nil {
		return
	}
	w.counts.cleared.Inc(1)
	w.journal.Add(stepQuarantine, "cleared: it ran alone and its target lived", r.Customer, r.Service, printName(c.Fingerprint), r.ID)
	w.say(talk{notice: *c})
}

// Died implements Suspects.
func (w *crashWatch) Died(target string, running []*wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.deaths.Inc(1)
	prints := make([]quarantine.Fingerprint, len(running))
	service := ""
	for i, r := range running {
		prints[i], service = fingerprint(r), r.Service
		w.journal.Add(stepQuarantine, "suspect: target "+target+" died while it ran", r.Customer, r.Service, printName(prints[i]), r.ID)
	}
	for _, c := range w.watch.Died(prints, service, target, w.clock.Now()) {
		w.noteQuarantine(&c)
		w.say(talk{notice: c})
	}
}

// noteQuarantine enters a quarantine into the journal, once.
func (w *crashWatch) noteQuarantine(c *quarantine.Case) {
	if !c.Quarantined() || w.told[c.Fingerprint] {
		return
	}
	w.told[c.Fingerprint] = true
	names := make([]string, len(c.Deaths))
	for i, d := range c.Deaths {
		names[i] = d.Name
	}
	w.journal.Add(stepQuarantine, fmt.Sprintf("quarantined for %v: targets died under it: %v", quarantine.Lifetime, names), printName(c.Fingerprint))
}

func printName(fp quarantine.Fingerprint) string { return fmt.Sprintf("fingerprint %016x", uint64(fp)) }

// PermitArgs asks another dispatcher to agree to the run of a suspect, or tells it
// of a case where Pool is "".
type PermitArgs struct {
	From string
	Pool string
	Case quarantine.Case
}

// PermitReply answers PermitArgs with what the other knows.
type PermitReply struct {
	Granted bool
	Case    quarantine.Case
}

// CaseList is all cases of a dispatcher.
type CaseList struct{ Cases []quarantine.Case }

// Permit implements the RPC for other dispatchers.
func (w *crashWatch) Permit(args *PermitArgs, reply *PermitReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.merge(args.Case, now)
	if args.Pool != "" {
		reply.Granted = w.watch.MayPermit(args.Case.Fingerprint, args.Pool, args.From, now)
	}
	reply.Case = w.watch.Case(args.Case.Fingerprint, now)
	return nil
}

// Cases implements the RPC for dispatchers that have just started.
func (w *crashWatch) Cases(_ *wire.Empty, reply *CaseList) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Cases = w.watch.Cases(w.clock.Now())
	return nil
}

func (w *crashWatch) merge(c quarantine.Case, now time.Duration) {
	if len(c.Deaths) == 0 {
		return
	}
	w.watch.Notice(c, now)
	merged := w.watch.Case(c.Fingerprint, now)
	w.noteQuarantine(&merged)
}

// run is the duty that talks to the other dispatchers.
func (w *crashWatch) run(ctx context.Context) {
	tick := time.NewTicker(catchUpEvery)
	defer tick.Stop()
	changed := w.feed.Changed()
	began := w.clock.Now()
	join := func() {
		if w.join(ctx, w.clock.Now()-began) {
			tick.Stop()
			changed = nil
		}
	}
	for {
		select {
		case t := <-w.talk.Entries():
			w.round(ctx, t)
		case <-changed:
			changed = w.feed.Changed()
			join()
		case <-tick.C:
			join()
		case <-ctx.Done():
			return
		}
	}
}

// join fetches what the others know and then lets requests come. It returns true
// once one of them answered.
//
// Failure: a dispatcher that has just started takes requests before it knows of the
// quarantines, and runs a request that the others refuse. Its address is told to
// entries only once it is ready. The first view names all that the agent hears, so
// one that names no other dispatcher leaves nothing to fetch; and no other that is
// silent holds up the start for longer than catchUpFor.
func (w *crashWatch) join(ctx context.Context, waited time.Duration) bool {
	if w.feed.Current().Source == "" {
		return false
	}
	fetched := w.catchUp(ctx)
	if fetched || len(w.others()) == 0 || waited >= catchUpFor {
		w.ready()
	}
	return fetched
}

func (w *crashWatch) others() []wire.Member {
	var out []wire.Member
	for _, m := range w.feed.Current().Members {
		if m.VM != w.vm && m.DispatchAddr != "" {
			out = append(out, m)
		}
	}
	return out
}

// round asks or tells all other dispatchers at once. A permit needs the word of
// each that counts as a member: one that does not answer may be running the
// suspect.
func (w *crashWatch) round(ctx context.Context, t talk) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	others := w.others()
	replies := make([]PermitReply, len(others))
	args := &PermitArgs{From: w.vm, Pool: t.pool, Case: t.notice}
	var calls sync.WaitGroup
	for i, m := range others {
		calls.Go(func() {
			var reply PermitReply
			if err := w.peers.Get(m.DispatchAddr).Call(ctx, wire.MethodPermit, args, &reply); err != nil {
				w.log.Debug().Err(err).Str("step", stepQuarantine).Str("peer", m.VM).Msg("no answer")
				return
			}
			replies[i] = reply
		})
	}
	calls.Wait()
	w.conclude(t, replies)
}

func (w *crashWatch) conclude(t talk, replies []PermitReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.concluded++
	close(w.progress)
	w.progress = make(chan struct{})
	now := w.clock.Now()
	granted := true
	for _, r := range replies {
		w.merge(r.Case, now)
		granted = granted && r.Granted
	}
	if t.pool == "" {
		return
	}
	w.watch.Permit(t.notice.Fingerprint, t.asked, granted, now)
	if granted {
		w.counts.permits.Inc(1)
		return
	}
	w.counts.denied.Inc(1)
}

// catchUp fetches the cases that others know. It returns true once one answered.
func (w *crashWatch) catchUp(ctx context.Context) bool {
	for _, m := range w.others() {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		var list CaseList
		err := w.peers.Get(m.DispatchAddr).Call(callCtx, wire.MethodCases, &wire.Empty{}, &list)
		cancel()
		if err != nil {
			continue
		}
		w.mu.Lock()
		for _, c := range list.Cases {
			w.merge(c, w.clock.Now())
		}
		w.mu.Unlock()
		return true
	}
	return false
}

// crashState is the section of the dump.
type crashState struct {
	Suspects    []quarantine.Case `json:"suspects"`
	Quarantined []quarantine.Case `json:"quarantined"`
}

func (w *crashWatch) dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out crashState
	for _, c := range w.watch.Cases(w.clock.Now()) {
		switch {
		case c.Quarantined():
			out.Quarantined = append(out.Quarantined, c)
		case c.Suspect():
			out.Suspects = append(out.Suspects, c)
		}
	}
	return out
}

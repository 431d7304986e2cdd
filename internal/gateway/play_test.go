package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/route"
)

// play runs gateways in virtual time, without a network: calls between VMs and to the store are function
// calls that take some time. It needs a bubble of synctest.
type play struct {
	t     *testing.T
	begin time.Time
	store *sharedStore
	vms   []*playVM
	// byAddr holds the gateways by the address for other VMs.
	byAddr map[string]*Gateway
	// down holds the addresses of the VMs that neither call others nor are called by them.
	down sync.Map
	// late holds how much later the VM at an address gets the messages of other VMs, as a time.Duration.
	late sync.Map
}

// playVM is a VM of a play. While silent is set, the store leaves its calls unanswered.
type playVM struct {
	*Gateway
	silent atomic.Bool
	// heldUp is how long the VM reads the answers of the store after they were sent, in nanoseconds.
	heldUp atomic.Int64
}

const (
	peerLatency  = time.Millisecond
	storeLatency = 4 * time.Millisecond
)

// elapsed is a clock that counts from the start of the play.
type elapsed struct{ begin time.Time }

func (c elapsed) Now() time.Duration { return time.Hour + time.Since(c.begin) }

// newPlay starts VMs that know each other and the first objects of the store.
func newPlay(t *testing.T, vms int) *play {
	p := &play{t: t, begin: time.Now(), store: newSharedStore(), byAddr: make(map[string]*Gateway)}
	p.store.put("config", "main", route.Config{Version: 1})
	p.store.put("targets", "t", catalog.Target{ID: "t", Service: "s", DataCentre: "a"})
	for i := range vms {
		vm := new(playVM)
		s := &Settings{Store: "store", MemoryMB: defaultMemoryMB, EvacuateWithin: minEvacuateWithin}
		s.VM, s.DataCentre, s.Peers = fmt.Sprintf("vm-%03d", i), "a", fmt.Sprintf("vm-%03d:1", i)
		store := &storePath{sharedStore: p.store, silent: &vm.silent, heldUp: &vm.heldUp}
		vm.Gateway = newGateway(s, fakeAdapter{store: store}, elapsed{p.begin}, discardLogger(), metrics.NewRegistry())
		vm.mesh.UseClients(func(addr string) mesh.Client { return playClient{p, s.Peers, addr} })
		vm.mesh.Start(vm.Gateway)
		p.vms, p.byAddr[s.Peers] = append(p.vms, vm), vm.Gateway
	}
	for _, vm := range p.vms {
		for _, other := range p.vms {
			vm.mesh.Add(other.self)
		}
		vm.startWatches(vm.ctx)
	}
	return p
}

func (p *play) stop() {
	for _, vm := range p.vms {
		vm.cancel()
	}
	for _, vm := range p.vms {
		vm.mesh.Close()
	}
}

// playClient calls one VM of a play.
type playClient struct {
	play *play
	// from and addr are the addresses of the caller and of the VM that is called.
	from, addr string
}

func (playClient) Close() {}

func (c playClient) Call(ctx context.Context, method string, args, reply any) error {
	if err := sleep(ctx, peerLatency); err != nil {
		return err
	}
	g, runs := c.play.byAddr[c.addr]
	_, callerDown := c.play.down.Load(c.from)
	if _, down := c.play.down.Load(c.addr); down || callerDown {
		<-ctx.Done()
		return ctx.Err()
	}
	if !runs {
		return fmt.Errorf("call %s: %w", c.addr, peer.ErrNotSent)
	}
	err := c.run(ctx, g, method, args, reply)
	return errors.Join(err, sleep(ctx, peerLatency+c.play.latenessOf(c.from)))
}

// latenessOf returns how much later the VM at an address gets the messages of other VMs.
func (p *play) latenessOf(addr string) time.Duration {
	late, _ := p.late.Load(addr)
	d, _ := late.(time.Duration)
	return d
}

// run runs a call at the VM that is called. A call that arrives late runs although its caller has given up.
func (c playClient) run(ctx context.Context, g *Gateway, method string, args, reply any) error {
	late := c.play.latenessOf(c.addr)
	if late == 0 {
		return serveCall(g, method, args, reply)
	}
	if method != "Mesh.Heartbeat" {
		if err := sleep(ctx, late); err != nil {
			return err
		}
		return serveCall(g, method, args, reply)
	}
	ran, out := make(chan error, 1), new(mesh.Heartbeat)
	time.AfterFunc(late, func() { ran <- serveCall(g, method, args, out) })
	select {
	case err := <-ran:
		*reply.(*mesh.Heartbeat) = *out
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func serveCall(g *Gateway, method string, args, reply any) error {
	var err error
	switch method {
	case "Mesh.Heartbeat":
		err = mesh.Service{Mesh: g.mesh}.Heartbeat(args.(*mesh.Heartbeat), reply.(*mesh.Heartbeat))
	case "View.ConfigVersion":
		err = View{g}.ConfigVersion(args.(*FetchArgs), reply.(*FetchReply))
	case "View.TargetsSince":
		err = View{g}.TargetsSince(args.(*FetchArgs), reply.(*FetchReply))
	case "View.Routing":
		err = View{g}.Routing(args.(*string), reply.(*lease.Routing))
	case "Permits.Ask":
		err = Permits{g}.Ask(args.(*PermitArgs), reply.(*PermitReply))
	case "Permits.Notify":
		err = Permits{g}.Notify(args.(*PermitArgs), reply.(*struct{}))
	case "Permits.MayHold":
		err = Permits{g}.MayHold(args.(*mesh.TargetReport), reply.(*bool))
	case "Places.Take":
		err = Places{g}.Take(args.(*PlaceArgs), reply.(*PlaceReply))
	case "Places.Return":
		err = Places{g}.Return(args.(*PlaceReturn), reply.(*struct{}))
	case "Places.Ready":
		err = Places{g}.Ready(args.(*PlaceReady), reply.(*bool))
	default:
		err = fmt.Errorf("method %s is not known", method)
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sharedStore is the store of a play.
type sharedStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[platform.ID]platform.Object
	history  []platform.Event
	changed  chan struct{}
	calls    int
	// hiddenFrom is the revision from which waiting watches are not told of changes, although their answers count them,
	// or 0. keptFrom is the revision from which the history is kept.
	hiddenFrom, keptFrom uint64
}

func newSharedStore() *sharedStore {
	return &sharedStore{objects: make(map[platform.ID]platform.Object), changed: make(chan struct{})}
}

// put writes an object as an operator or a target does. It returns the revision.
func (s *sharedStore) put(kind model.Kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := platform.Object{Kind: kind, Name: name, Spec: text, Version: s.revision}
	s.objects[o.ID()] = o
	s.history = append(s.history, platform.Event{Type: platform.EventPut, Object: o, Revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// nextRevision returns the revision of the next write.
func (s *sharedStore) nextRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision + 1
}

// callCount returns the number of calls of all VMs.
func (s *sharedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *sharedStore) list(kind model.Kind) platform.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := platform.Listing{Revision: s.revision}
	for _, o := range s.objects {
		if o.Kind == kind {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

// since returns the changes of a kind after a revision, and a channel that is closed at the next change.
func (s *sharedStore) since(kind model.Kind, from uint64) (platform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := platform.Changes{Revision: s.revision}
	for _, e := range s.history {
		if s.hiddenFrom > 0 && e.Revision >= s.hiddenFrom {
			break
		}
		if e.Object.Kind == kind && e.Revision > from {
			out.Events = append(out.Events, e)
		}
	}
	return out, s.changed
}

// hideChanges makes watches miss the changes from now on, until dropHistory.
func (s *sharedStore) hideChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenFrom = s.revision + 1
}

// dropHistory drops all changes so far, and ends the watches that wait.
func (s *sharedStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenFrom, s.keptFrom, s.history = 0, s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropped reports whether changes after a revision have been dropped.
func (s *sharedStore) dropped(from uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from < s.keptFrom
}

// storePath is the path of one VM to the store.
type storePath struct {
	*sharedStore
	silent *atomic.Bool
	heldUp *atomic.Int64
}

// answer ends a call whose result is known. It returns an error if the path was silent at its begin or its end.
func (s *storePath) answer(ctx context.Context, call func() error) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	silent := s.silent.Load()
	err := sleep(ctx, storeLatency)
	if err == nil && !silent {
		err = call()
	}
	time.Sleep(time.Duration(s.heldUp.Load()))
	if silent || s.silent.Load() {
		<-ctx.Done()
		err = ctx.Err()
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrGone) {
		return errors.Join(platform.ErrAmbiguous, err)
	}
	return err
}

func (s *storePath) Get(ctx context.Context, id platform.ID) (out platform.Object, err error) {
	return out, s.answer(ctx, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		found := false
		if out, found = s.objects[id]; !found {
			return platform.ErrNotFound
		}
		return nil
	})
}

func (s *storePath) Put(context.Context, platform.Object) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

func (s *storePath) ListKind(ctx context.Context, kind model.Kind) (out platform.Listing, err error) {
	return out, s.answer(ctx, func() error {
		out = s.list(kind)
		return nil
	})
}

func (s *storePath) WatchKind(ctx context.Context, kind model.Kind, from uint64, wait time.Duration) (out platform.Changes, err error) {
	return out, s.answer(ctx, func() error {
		end := time.After(wait)
		for {
			var changed <-chan struct{}
			if s.dropped(from) {
				return platform.ErrGone
			}
			out, changed = s.since(kind, from)
			if len(out.Events) > 0 {
				return nil
			}
			select {
			case <-changed:
			case <-end:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
}

// byPreference returns the VMs in the order in which they are preferred for watching the store.
func (p *play) byPreference() []*playVM {
	out := slices.Clone(p.vms)
	place := make(map[*playVM]int)
	for _, vm := range out {
		place[vm] = vm.place("watch", func(string) bool { return true })
	}
	slices.SortFunc(out, func(a, b *playVM) int { return place[a] - place[b] })
	return out
}

// changeBound is the time within which a change that the store has acknowledged must be known at each VM that
// reaches the store.
const changeBound = 2 * time.Second

// storeChanges are the changes that VMs must know in time, with the check that a VM knows them.
var storeChanges = map[string]struct {
	write func(s *sharedStore) uint64
	known func(v *catalog.View, revision uint64) bool
}{
	"configuration": {
		func(s *sharedStore) uint64 { return s.put("config", "main", route.Config{Version: 2}) },
		func(v *catalog.View, _ uint64) bool { return v.ConfigVersion() == 2 },
	},
	"target drains": {
		func(s *sharedStore) uint64 {
			revision := s.nextRevision()
			return s.put("targets", "t", catalog.Target{ID: "t", Service: "s", DataCentre: "a", Draining: true, Revision: revision})
		},
		func(v *catalog.View, _ uint64) bool { return v.ByID["t"] != nil && v.ByID["t"].Draining },
	},
	"evacuation": {
		func(s *sharedStore) uint64 { return s.put("evacuations", "a", struct{}{}) },
		func(v *catalog.View, _ uint64) bool { return v.Evacuations.Contains("a") },
	},
}

// inPlay runs a test in a bubble. The library of metrics starts one goroutine for all of them, which must not
// belong to a bubble.
func inPlay(t *testing.T, run func(t *testing.T)) {
	metrics.NewMeter().Stop()
	synctest.Test(t, run)
}

// Guards against changes that no VM knows because watchers that fall silent are replaced one after the other.
func TestChangesAreKnownInTimeWhileWatchersAreSilent(t *testing.T) {
	for name, change := range storeChanges {
		for _, size := range []struct{ vms, silent int }{{10, 3}, {10, 9}, {40, 3}, {40, 12}, {40, 24}, {40, 39}, {82, 74}} {
			t.Run(fmt.Sprintf("%s, %d of %d VMs silent", name, size.silent, size.vms), func(t *testing.T) {
				inPlay(t, func(t *testing.T) {
					p := newPlay(t, size.vms)
					defer p.stop()
					draw := rand.New(rand.NewPCG(uint64(size.vms), uint64(size.silent)))
					time.Sleep(5*time.Second + time.Duration(draw.Int64N(int64(time.Second))))
					order := p.byPreference()
					for _, vm := range order[:size.silent] {
						vm.silent.Store(true)
					}
					time.Sleep(20 * time.Millisecond)
					revision := change.write(p.store)
					written := time.Now()
					for waiting := order[size.silent:]; len(waiting) > 0 && time.Since(written) < 20*time.Second; {
						time.Sleep(10 * time.Millisecond)
						waiting = slices.DeleteFunc(waiting, func(vm *playVM) bool { return change.known(vm.state.view.Load(), revision) })
					}
					t.Log("known after", time.Since(written), "with calls to the store:", p.store.callCount())
					require.LessOrEqual(t, time.Since(written), changeBound)
				})
			})
		}
	}
}

// Guards against an answer of the store that waited at its reader for seconds and counts as a recent confirmation.
func TestAnswerThatWaitedConfirmsNothing(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newPlay(t, 3)
		defer p.stop()
		time.Sleep(3 * time.Second)
		kind := p.vms[0].adapter.ConfigID().Kind
		for _, vm := range p.vms {
			vm.heldUp.Store(int64(4 * time.Second))
		}
		time.Sleep(5 * time.Second)
		before := p.vms[0].confirmations.mark(kind).Count
		time.Sleep(9 * time.Second)
		after, age := p.vms[0].confirmations.mark(kind).Count, p.vms[0].confirmations.age(kind)
		for _, vm := range p.vms {
			vm.heldUp.Store(0)
		}
		time.Sleep(9 * time.Second)
		require.Equal(t, before, after)
		require.Greater(t, age, 9*time.Second)
		require.Less(t, p.vms[0].confirmations.age(kind), 2*time.Second, "later answers confirm again")
	})
}

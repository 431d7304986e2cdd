package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/decide/idempotency"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// setView is a view that the test sets, also while calls of dispatchers read it.
type setView struct{ v atomic.Pointer[view.View] }

func newSetView(v *view.View) *setView {
	f := new(setView)
	f.v.Store(v)
	return f
}

func (f *setView) Current() *view.View      { return f.v.Load() }
func (f *setView) Changed() <-chan struct{} { return nil }

// intentFleet is some dispatchers' intents on loopback ports.
type intentFleet struct {
	nodes   []*intents
	servers []*peer.Server
	runs    atomic.Int64
}

func newIntentFleet(t *testing.T, n int) *intentFleet {
	f := &intentFleet{}
	v := view.Build(nil, nil, nil)
	logger := &log.Logger{Level: log.PanicLevel}
	for i := range n {
		server, err := peer.Listen("127.0.0.1:0")
		require.NoError(t, err)
		name := fmt.Sprintf("vm%d", i+1)
		node := newIntents(name, newSetView(v), journal.New(name, processName, 16), logger, metrics.NewRegistry())
		node.book = idempotency.NewRecordStore(name, node.clock.Now()-time.Second)
		require.NoError(t, server.Register("Dispatch", node))
		go func() { _ = server.Serve() }()
		t.Cleanup(server.Close)
		t.Cleanup(node.peers.Close)
		dc := fmt.Sprintf("dc%d", i%3)
		v.Members = append(v.Members, wire.Member{VM: name, DataCentre: dc, DispatchAddr: server.Addr()})
		v.Listed = append(v.Listed, wire.Place{VM: name, DataCentre: dc})
		f.nodes, f.servers = append(f.nodes, node), append(f.servers, server)
	}
	f.copyAll(t)
	return f
}

func (f *intentFleet) copyAll(t *testing.T) {
	for range 2 {
		for _, node := range f.nodes {
			for _, m := range node.toCopy() {
				node.copyFrom(t.Context(), m)
			}
		}
	}
}

func booking(id, key, body string) *wire.Request {
	r := &wire.Request{ID: id, Service: "booth", Customer: "narrators", Method: "POST", Path: "/book", IdempotencyKey: key, Budget: 5 * time.Second}
	r.Body, r.Sum = []byte(body), wire.Sum([]byte(body))
	return r
}

// book is the target: it counts runs and names the request that ran.
func (f *intentFleet) book(r *wire.Request) wire.Answer {
	f.runs.Add(1)
	body := []byte("booked by " + r.ID)
	return wire.Answer{ID: r.ID, Status: 201, Body: body, Sum: wire.Sum(body)}
}

// A narrator's app gets no answer in time and books again through other entries,
// which lead to other dispatchers. Each repeat gets the first answer, whole and as
// its own, and the booth is booked once.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	f := newIntentFleet(t, 4)
	first := f.nodes[0].once(t.Context(), booking("a", "k1", "10:00"), f.book)
	require.Equal(t, 201, first.Status)
	for i, node := range f.nodes {
		id := fmt.Sprintf("repeat-%d", i)
		answer := node.once(t.Context(), booking(id, "k1", "10:00"), f.book)
		require.Nil(t, answer.Problem)
		require.True(t, answer.Valid(id))
		require.Equal(t, "booked by a", string(answer.Body))
	}
	require.EqualValues(t, 1, f.runs.Load())

	other := f.nodes[1].once(t.Context(), booking("b", "k1", "11:00"), f.book)
	require.Equal(t, problem.BadRequest, other.Problem.Kind)
	require.Equal(t, problem.RanNo, other.Problem.Ran)
	require.EqualValues(t, 1, f.runs.Load())
}

// The first request still runs when its repeat comes: the repeat waits for it.
func TestRepeatWaitsForTheFirst(t *testing.T) {
	f := newIntentFleet(t, 3)
	started, proceed := make(chan struct{}), make(chan struct{})
	done := make(chan wire.Answer)
	go func() {
		done <- f.nodes[0].once(context.Background(), booking("a", "k", "x"), func(r *wire.Request) wire.Answer {
			close(started)
			<-proceed
			return f.book(r)
		})
	}()
	<-started
	go func() { done <- f.nodes[1].once(context.Background(), booking("b", "k", "x"), f.book) }()
	close(proceed)
	for range 2 {
		answer := <-done
		require.Nil(t, answer.Problem)
		require.Equal(t, "booked by a", string(answer.Body))
	}
	require.EqualValues(t, 1, f.runs.Load())
}

// The first request was refused as not run. Its caller must be able to try again
// with the same key, or the booking is lost for ten minutes.
func TestKeyIsFreeAfterARefusal(t *testing.T) {
	f := newIntentFleet(t, 3)
	refused := f.nodes[0].once(t.Context(), booking("a", "k", "x"), func(r *wire.Request) wire.Answer {
		return wire.ProblemAnswer(r.ID, problem.Refuse(problem.Full, "queue", "vm1", "full"))
	})
	require.Equal(t, problem.RanNo, refused.Problem.Ran)
	answer := f.nodes[1].once(t.Context(), booking("b", "k", "x"), f.book)
	require.Nil(t, answer.Problem)
	require.EqualValues(t, 1, f.runs.Load())
}

// The dispatcher is lost while it runs a booking. Whether the booth was booked is
// not known: the repeat gets unknown, and no second run.
func TestRepeatAfterLossOfTheCoordinatorIsUnknown(t *testing.T) {
	f := newIntentFleet(t, 4)
	started, never := make(chan struct{}), make(chan struct{})
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		f.nodes[0].once(context.Background(), booking("a", "k", "x"), func(r *wire.Request) wire.Answer {
			close(started)
			<-never
			return f.book(r)
		})
	}()
	<-started
	// The dispatcher's port closes; it forgets everything.
	f.servers[0].Close()
	r := booking("b", "k", "x")
	answer := f.nodes[1].once(t.Context(), r, f.book)
	require.NotNil(t, answer.Problem)
	require.Equal(t, problem.RanUnknown, answer.Problem.Ran)
	require.EqualValues(t, 0, f.runs.Load())
	close(never)
	<-lost
}

// Two of a key's three holders are lost after a booking. The third alone cannot
// promise anything: the answer is the first one, or unknown, never a second run.
func TestTwoHoldersLost(t *testing.T) {
	f := newIntentFleet(t, 6)
	first := f.nodes[0].once(t.Context(), booking("a", "k", "x"), f.book)
	require.Nil(t, first.Problem)
	by := idempotency.Holders(f.nodes[0].book.Places(), idempotency.Key{Customer: "narrators", Service: "booth", Name: "k"})
	asker := -1
	for i, node := range f.nodes {
		switch node.vm {
		case by[0], by[1]:
			f.servers[i].Close()
		case by[2]:
		default:
			asker = i
		}
	}
	answer := f.nodes[asker].once(t.Context(), booking("b", "k", "x"), f.book)
	if answer.Problem != nil {
		require.Equal(t, problem.RanUnknown, answer.Problem.Ran)
	}
	require.EqualValues(t, 1, f.runs.Load())
}

// Two of a key's three holders leave as planned after a booking, one after the
// other, and the platform drops them. Their records were handed over: a repeat gets
// the first answer.
func TestPlannedLeavesLoseNoRecord(t *testing.T) {
	f := newIntentFleet(t, 6)
	first := f.nodes[0].once(t.Context(), booking("a", "k", "x"), f.book)
	require.Nil(t, first.Problem)
	key := idempotency.Key{Customer: "narrators", Service: "booth", Name: "k"}
	by := idempotency.Holders(f.nodes[0].book.Places(), key)[:2]
	v := *f.nodes[0].feed.Current()
	for _, name := range by {
		for i, node := range f.nodes {
			if node.vm == name {
				node.leave(t.Context())
				f.servers[i].Close()
			}
		}
		next := v
		next.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m wire.Member) bool { return m.VM == name })
		next.Listed = slices.DeleteFunc(slices.Clone(v.Listed), func(p wire.Place) bool { return p.VM == name })
		v = next
		for _, node := range f.nodes {
			node.feed.(*setView).v.Store(&next)
		}
		f.copyAll(t)
	}
	for i, node := range f.nodes {
		if slices.Contains(by, node.vm) {
			continue
		}
		answer := node.once(t.Context(), booking(fmt.Sprint("r", i), "k", "x"), f.book)
		require.Nil(t, answer.Problem)
		require.Equal(t, "booked by a", string(answer.Body))
	}
	require.EqualValues(t, 1, f.runs.Load())
}

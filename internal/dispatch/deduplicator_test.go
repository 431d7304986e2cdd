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

// setView is a viewSource with a view that tests may replace while dispatchers read it.
type setView struct{ v atomic.Pointer[view.View] }

func newSetView(v *view.View) *setView {
	f := new(setView)
	f.v.Store(v)
	return f
}

func (f *setView) Current() *view.View      { return f.v.Load() }
func (f *setView) Changed() <-chan struct{} { return nil }

// dedupFleet holds the deduplicators of several dispatchers, which call each other on
// loopback ports.
type dedupFleet struct {
	nodes   []*deduplicator
	servers []*peer.Server
	runs    atomic.Int64
}

func newDedupFleet(t *testing.T, n int) *dedupFleet {
	f := &dedupFleet{}
	v := view.Build(nil, nil, nil)
	logger := &log.Logger{Level: log.PanicLevel}
	for i := range n {
		server, err := peer.Listen("127.0.0.1:0")
		require.NoError(t, err)
		name := fmt.Sprintf("vm%d", i+1)
		node := newDeduplicator(name, newSetView(v), journal.New(name, processName, 16), logger, metrics.NewRegistry())
		node.records = idempotency.NewRecordStore(name, node.clock.Now()-time.Second)
		require.NoError(t, server.Register("Dispatch", node))
		go server.Serve()
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

func (f *dedupFleet) copyAll(t *testing.T) {
	for range 2 {
		for _, node := range f.nodes {
			for _, m := range node.membersToCopy() {
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

// book simulates the target: it counts the runs, and the answer names the request that ran.
func (f *dedupFleet) book(r *wire.Request) wire.Answer {
	f.runs.Add(1)
	body := []byte("booked by " + r.ID)
	return wire.Answer{ID: r.ID, Status: 201, Body: body, Sum: wire.Sum(body)}
}

// A caller gets no answer in time and repeats a booking through entries that use other
// dispatchers. Each repeat must get the first answer, complete and with its own request id,
// and the booking must run once.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	f := newDedupFleet(t, 4)
	first := f.nodes[0].runOnce(t.Context(), booking("a", "k1", "10:00"), f.book)
	require.Equal(t, 201, first.Status)
	for i, node := range f.nodes {
		id := fmt.Sprintf("repeat-%d", i)
		answer := node.runOnce(t.Context(), booking(id, "k1", "10:00"), f.book)
		require.Nil(t, answer.Problem)
		require.True(t, answer.Valid(id))
		require.Equal(t, "booked by a", string(answer.Body))
	}
	require.EqualValues(t, 1, f.runs.Load())

	other := f.nodes[1].runOnce(t.Context(), booking("b", "k1", "11:00"), f.book)
	require.Equal(t, problem.BadRequest, other.Problem.Kind)
	require.Equal(t, problem.RanNo, other.Problem.Ran)
	require.EqualValues(t, 1, f.runs.Load())
}

// A repeat that arrives while the first request is still running must wait for its answer.
func TestRepeatWaitsForTheFirst(t *testing.T) {
	f := newDedupFleet(t, 3)
	started, proceed := make(chan struct{}), make(chan struct{})
	done := make(chan wire.Answer)
	go func() {
		done <- f.nodes[0].runOnce(context.Background(), booking("a", "k", "x"), func(r *wire.Request) wire.Answer {
			close(started)
			<-proceed
			return f.book(r)
		})
	}()
	<-started
	go func() { done <- f.nodes[1].runOnce(context.Background(), booking("b", "k", "x"), f.book) }()
	close(proceed)
	for range 2 {
		answer := <-done
		require.Nil(t, answer.Problem)
		require.Equal(t, "booked by a", string(answer.Body))
	}
	require.EqualValues(t, 1, f.runs.Load())
}

// After a refusal as not run, the caller must be able to use the same key again. Otherwise
// the booking could not be made for ten minutes.
func TestKeyIsReusableAfterRefusal(t *testing.T) {
	f := newDedupFleet(t, 3)
	refused := f.nodes[0].runOnce(t.Context(), booking("a", "k", "x"), func(r *wire.Request) wire.Answer {
		return wire.ProblemAnswer(r.ID, problem.Refuse(problem.Full, "queue", "vm1", "full"))
	})
	require.Equal(t, problem.RanNo, refused.Problem.Ran)
	answer := f.nodes[1].runOnce(t.Context(), booking("b", "k", "x"), f.book)
	require.Nil(t, answer.Problem)
	require.EqualValues(t, 1, f.runs.Load())
}

// A dispatcher is lost while it runs a request. Whether the request ran is unknown, so the
// repeat must be answered so and must not run.
func TestRepeatAfterLossOfTheCoordinatorIsUnknown(t *testing.T) {
	f := newDedupFleet(t, 4)
	started, never := make(chan struct{}), make(chan struct{})
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		f.nodes[0].runOnce(context.Background(), booking("a", "k", "x"), func(r *wire.Request) wire.Answer {
			close(started)
			<-never
			return f.book(r)
		})
	}()
	<-started
	// The loss of the dispatcher closes its port.
	f.servers[0].Close()
	r := booking("b", "k", "x")
	answer := f.nodes[1].runOnce(t.Context(), r, f.book)
	require.NotNil(t, answer.Problem)
	require.Equal(t, problem.RanUnknown, answer.Problem.Ran)
	require.EqualValues(t, 0, f.runs.Load())
	close(never)
	<-lost
}

// Two of the three holders of a key are lost after a request ran. The third alone is not a
// quorum: a repeat must get the first answer or unknown, and must never run.
func TestLossOfTwoHoldersCausesNoSecondRun(t *testing.T) {
	f := newDedupFleet(t, 6)
	first := f.nodes[0].runOnce(t.Context(), booking("a", "k", "x"), f.book)
	require.Nil(t, first.Problem)
	holders := idempotency.Holders(f.nodes[0].records.Places(), idempotency.Key{Customer: "narrators", Service: "booth", Name: "k"})
	repeater := -1
	for i, node := range f.nodes {
		switch node.vm {
		case holders[0], holders[1]:
			f.servers[i].Close()
		case holders[2]:
		default:
			repeater = i
		}
	}
	answer := f.nodes[repeater].runOnce(t.Context(), booking("b", "k", "x"), f.book)
	if answer.Problem != nil {
		require.Equal(t, problem.RanUnknown, answer.Problem.Ran)
	}
	require.EqualValues(t, 1, f.runs.Load())
}

// Two of the three holders of a key shut down as planned after a request ran, one after the
// other, and are removed from the list of VMs. They handed their records over, so a repeat
// must get the first answer.
func TestPlannedLeavesLoseNoRecord(t *testing.T) {
	f := newDedupFleet(t, 6)
	first := f.nodes[0].runOnce(t.Context(), booking("a", "k", "x"), f.book)
	require.Nil(t, first.Problem)
	key := idempotency.Key{Customer: "narrators", Service: "booth", Name: "k"}
	leaving := idempotency.Holders(f.nodes[0].records.Places(), key)[:2]
	v := *f.nodes[0].feed.Current()
	for _, name := range leaving {
		for i, node := range f.nodes {
			if node.vm == name {
				node.handOverRecords(t.Context())
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
		if slices.Contains(leaving, node.vm) {
			continue
		}
		answer := node.runOnce(t.Context(), booking(fmt.Sprint("r", i), "k", "x"), f.book)
		require.Nil(t, answer.Problem)
		require.Equal(t, "booked by a", string(answer.Body))
	}
	require.EqualValues(t, 1, f.runs.Load())
}

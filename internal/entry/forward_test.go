package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// staleView provides an entry with its view and with one dispatcher, whose view is newer. The
// dispatcher refuses requests that the entry sends for any target but the actual owner.
type staleView struct {
	t *testing.T
	// mu guards view and changed, which are replaced while the entry reads them.
	mu      sync.Mutex
	view    *view.View
	changed chan struct{}
	owner   string
	calls   int
}

func (s *staleView) Close() {}

func (s *staleView) Current() *view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *staleView) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// setShownOwner gives the entry a view in which the target owns all keys, "" for no owner.
func (s *staleView) setShownOwner(owner string) {
	shelf := model.Service{Name: "shelf", Keyed: true, Slots: 2, Connections: 10, MaxBody: 16}
	for name, addr := range map[string]string{"t1": "127.0.0.1:1", "t2": "127.0.0.1:2"} {
		shelf.Targets = append(shelf.Targets, model.Target{Name: name, Addr: addr, DataCentre: "dc1"})
	}
	var grants []wire.Grant
	if owner != "" {
		grants = []wire.Grant{{Service: "shelf", Group: 1, Slices: []keyspace.Slice{{First: 0, Last: ^keyspace.Point(0)}}, Target: model.TargetRef{Name: owner}}}
	}
	members := []wire.Member{{VM: "vm1", DataCentre: "dc1", DispatchAddr: owner}}
	if owner == "" {
		members[0].DispatchAddr = "any"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = view.Build([]platform.Object{storedObject(s.t, model.KindService, "shelf", &shelf)}, members, grants)
	require.Empty(s.t, s.view.Problems)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Call implements dispatcherClient. The address is the name of the owner in the entry's view.
func (s *staleView) Call(_ context.Context, addr, _ string, args, reply any) error {
	s.calls++
	if s.calls > 200 {
		return errors.New("more than 200 calls: retried without a pause")
	}
	id := args.(*wire.Request).ID
	*reply.(*wire.Answer) = wire.Answer{ID: id, Status: http.StatusOK, Sum: wire.Sum(nil), Target: addr}
	if addr != s.owner {
		*reply.(*wire.Answer) = wire.ProblemAnswer(id, problem.Refuse(problem.NoOwner, "grant", "vm1", "another target owns the key now"))
	}
	return nil
}

// forwardDuringMove forwards a request while the entry's view shows one owner and the dispatcher
// knows another. If after is not 0, the entry's view shows next after that time.
func (s *staleView) forwardDuringMove(shown, next string, after, timeout time.Duration) (*wire.Answer, *problem.Error, time.Duration) {
	s.setShownOwner(shown)
	start := time.Now()
	if after > 0 {
		time.AfterFunc(after, func() { s.setShownOwner(next) })
	}
	f := &forwarder{vm: "vm1", feed: s, client: s}
	req := &parsedRequest{service: s.view.Service("shelf"), wireRequest: &wire.Request{ID: "r", Service: "shelf", Key: "k"}, deadline: start.Add(timeout)}
	answer, p := f.forward(s.t.Context(), req)
	return answer, p, time.Since(start)
}

// Failure: callers receive refusals during each planned move. The dispatcher already has the new
// view and refuses, while the entry has the old one for another 110 ms and sends the request for
// the old owner. The request must wait for the entry's next view and be sent as soon as it comes.
func TestRequestForMovedKeyWaitsForNextView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &staleView{t: t, owner: "t2"}
		answer, p, took := s.forwardDuringMove("t1", "t2", 110*time.Millisecond, 10*time.Second)
		require.Nil(t, p)
		require.Equal(t, "t2", answer.Target)
		require.Equal(t, 110*time.Millisecond, took)
		require.LessOrEqual(t, s.calls, int(took/viewRetryInterval)+2, "must be sent at most once per viewRetryInterval")
	})
}

// Failure: requests are refused while a lost owner is replaced. The entry's view shows no owner
// for 300 ms, then the standby.
func TestRequestWaitsUntilItsKeyHasAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &staleView{t: t, owner: "t2"}
		answer, p, took := s.forwardDuringMove("", "t2", 300*time.Millisecond, 10*time.Second)
		require.Nil(t, p)
		require.Equal(t, "t2", answer.Target)
		require.Equal(t, 300*time.Millisecond, took)
		require.Equal(t, 1, s.calls, "nothing is sent without an owner")
	})
}

// Failure: a request waits without a limit because no new view comes, as at an entry without a
// connection to its agent. It must be refused as not run after maxOwnerWait, or at its deadline
// if that is sooner.
func TestOwnerWaitIsBounded(t *testing.T) {
	for _, timeout := range []time.Duration{10 * time.Second, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &staleView{t: t, owner: "t2"}
			_, p, took := s.forwardDuringMove("t1", "", 0, timeout)
			require.NotNil(t, p)
			require.Equal(t, problem.RanNo, p.Ran)
			require.Equal(t, min(timeout, maxOwnerWait), took)
		})
	}
}

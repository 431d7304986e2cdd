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

// slowMove is a fleet of one dispatcher, whose view is newer than the entry's: it
// refuses what it would send to any target but the owner.
type slowMove struct {
	t *testing.T
	// mu guards view and changed: a view comes while the entry looks at one.
	mu      sync.Mutex
	view    *view.View
	changed chan struct{}
	owner   string
	calls   int
}

func (s *slowMove) Close() {}

func (s *slowMove) Current() *view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *slowMove) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// show gives the entry a view in which the target owns all keys; "" is nobody.
func (s *slowMove) show(owner string) {
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
	s.view = view.Build([]platform.Object{stored(s.t, model.KindService, "shelf", &shelf)}, members, grants)
	require.Empty(s.t, s.view.Problems)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Call implements dispatchers; the address is the owner in the entry's eyes.
func (s *slowMove) Call(_ context.Context, addr, _ string, args, reply any) error {
	s.calls++
	if s.calls > 200 {
		return errors.New("asked without a pause")
	}
	id := args.(*wire.Request).ID
	*reply.(*wire.Answer) = wire.Answer{ID: id, Status: http.StatusOK, Sum: wire.Sum(nil), Target: addr}
	if addr != s.owner {
		*reply.(*wire.Answer) = wire.ProblemAnswer(id, problem.Refuse(problem.NoOwner, "grant", "vm1", "another target owns the key now"))
	}
	return nil
}

// carry forwards a request while the entry's view shows one owner and the dispatcher
// knows another; after a while the entry's view shows next.
func (s *slowMove) carry(shown, next string, after, patience time.Duration) (*wire.Answer, *problem.Error, time.Duration) {
	s.show(shown)
	begun := time.Now()
	if after > 0 {
		time.AfterFunc(after, func() { s.show(next) })
	}
	f := &forwarder{vm: "vm1", feed: s, peers: s}
	v := &parsedRequest{service: s.view.Service("shelf"), request: &wire.Request{ID: "r", Service: "shelf", Key: "k"}, deadline: begun.Add(patience)}
	answer, p := f.forward(s.t.Context(), v)
	return answer, p, time.Since(begun)
}

// A planned move gives a slice to another target. The dispatcher has the new view,
// the entry has the old one for 110 ms more and sends there; the dispatcher refuses,
// since another target owns the key. Callers would see each move as refusals: the
// request waits for the entry's next view instead, and goes on at once when it comes.
func TestRequestOfAMovedKeyWaitsForTheNextView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowMove{t: t, owner: "t2"}
		answer, p, took := s.carry("t1", "t2", 110*time.Millisecond, 10*time.Second)
		require.Nil(t, p)
		require.Equal(t, "t2", answer.Target)
		require.Equal(t, 110*time.Millisecond, took)
		require.LessOrEqual(t, s.calls, int(took/viewPause)+2, "asked again at the pause only")
	})
}

// An owner was lost: for 300 ms the entry's view shows none, then the standby.
func TestRequestWithoutAnOwnerWaitsForOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowMove{t: t, owner: "t2"}
		answer, p, took := s.carry("", "t2", 300*time.Millisecond, 10*time.Second)
		require.Nil(t, p)
		require.Equal(t, "t2", answer.Target)
		require.Equal(t, 300*time.Millisecond, took)
		require.Equal(t, 1, s.calls, "nothing is sent without an owner")
	})
}

// No view comes, as on an entry that is cut off from its agent. The caller is told
// within the bound, or at its deadline if that is sooner, that nothing ran.
func TestWaitForAViewIsBounded(t *testing.T) {
	for _, patience := range []time.Duration{10 * time.Second, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &slowMove{t: t, owner: "t2"}
			_, p, took := s.carry("t1", "", 0, patience)
			require.NotNil(t, p)
			require.Equal(t, problem.RanNo, p.Ran)
			require.Equal(t, min(patience, ownerlessFor), took)
		})
	}
}

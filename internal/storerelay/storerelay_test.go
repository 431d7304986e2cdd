package storerelay

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
)

// fakeStore counts its calls and returns a fixed result and err from each.
type fakeStore struct {
	platform.ObjectStore
	err   error
	calls int
}

func (s *fakeStore) Get(_ context.Context, id platform.ID) (platform.Object, error) {
	s.calls++
	return platform.Object{Kind: id.Kind, Name: id.Name, Version: 7}, s.err
}

func (s *fakeStore) Put(_ context.Context, o platform.Object) (platform.Object, error) {
	s.calls++
	o.Version++
	return o, s.err
}

func (s *fakeStore) ListKind(_ context.Context, kind model.Kind) (platform.Listing, error) {
	s.calls++
	return platform.Listing{Revision: 9, Objects: []platform.Object{{Kind: kind}}}, s.err
}

// fakeMesh passes calls to the services of its relays. transferErr, if set, is returned in place
// of the call.
type fakeMesh struct {
	names       []string
	services    map[string]Service
	transferErr error
}

func (m *fakeMesh) StoreRelays() []mesh.Member {
	var out []mesh.Member
	for _, name := range m.names {
		out = append(out, mesh.Member{VM: name})
	}
	return out
}

func (m *fakeMesh) Transfer(_ context.Context, vm, method string, args, reply any) error {
	if m.transferErr != nil {
		return m.transferErr
	}
	service, out := m.services[vm], reply.(*Reply)
	switch method {
	case "Store.Get":
		return service.Get(args.(*platform.ID), out)
	case "Store.Put":
		return service.Put(args.(*platform.Object), out)
	}
	return service.ListKind(args.(*ListArgs), out)
}

// fixture is the Store of a VM whose direct calls fail, with two relays that share the store
// relayed.
type fixture struct {
	*Store
	direct, relayed *fakeStore
	relays          *fakeMesh
	relayAnswers    int
}

// newFixture returns a fixture whose Store.Up reports up.
func newFixture(up bool) *fixture {
	p := &fixture{direct: &fakeStore{err: platform.ErrUnavailable}, relayed: &fakeStore{}}
	yes := func() bool { return true }
	service := NewService(context.Background(), p.relayed, yes)
	p.relays = &fakeMesh{names: []string{"a", "b"}, services: map[string]Service{"a": service, "b": service}}
	p.Store = &Store{Direct: p.direct, Up: func() bool { return up }, Mesh: p.relays, OnRelayAnswer: func() { p.relayAnswers++ }}
	return p
}

var id = platform.ID{Kind: "k", Name: "n"}

// Guards against a grantor that loses its authority because the store does not answer its VM,
// while it answers others.
func TestCallsAreRelayedWhileTheStoreRejectsThisVM(t *testing.T) {
	p := newFixture(false)
	o, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.EqualValues(t, 7, o.Version)
	o, err = p.Put(t.Context(), platform.Object{Kind: "k", Name: "n", Version: 7})
	require.NoError(t, err)
	require.EqualValues(t, 8, o.Version)
	l, err := p.ListKind(t.Context(), "k")
	require.NoError(t, err)
	require.EqualValues(t, 9, l.Revision)
	require.Zero(t, p.direct.calls)
	require.Equal(t, 3, p.relayAnswers)
}

// Guards against the failure of the first calls after the store has stopped answering this VM,
// before Up reports it.
func TestFailedDirectCallIsRelayedAtOnce(t *testing.T) {
	p := newFixture(true)
	_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
	require.NoError(t, err)
	require.Equal(t, 1, p.direct.calls)
	require.Equal(t, 1, p.relayed.calls)
}

func TestCallsAreDirectWhileTheStoreAnswers(t *testing.T) {
	p := newFixture(true)
	p.direct.err = nil
	_, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.Zero(t, p.relayed.calls)
	require.Zero(t, p.relayAnswers)
}

// Guards against a conditional write that is executed twice, so that the second execution
// conflicts with the first.
func TestAmbiguousWriteIsNotRetriedThroughAnotherRelay(t *testing.T) {
	for name, lost := range map[string]error{"at the store": nil, "at the relay": peer.ErrLost} {
		p := newFixture(false)
		p.relayed.err, p.relays.transferErr = platform.ErrAmbiguous, lost
		_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
		require.ErrorIs(t, err, platform.ErrAmbiguous, name)
		require.LessOrEqual(t, p.relayed.calls, 1, name)
	}
	p := newFixture(true)
	p.direct.err = platform.ErrAmbiguous
	_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
	require.ErrorIs(t, err, platform.ErrAmbiguous)
	require.Zero(t, p.relayed.calls)
}

func TestReadIsRetriedThroughASecondRelay(t *testing.T) {
	p := newFixture(false)
	p.relays.services["a"] = NewService(context.Background(), p.relayed, func() bool { return false })
	_, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, 1, p.relayed.calls)
}

// Guards against errors of the store that lose their class in the relay's reply.
func TestErrorClassesSurviveTheRelay(t *testing.T) {
	for _, class := range []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrAmbiguous} {
		p := newFixture(false)
		p.relayed.err = class
		_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
		require.ErrorIs(t, err, class)
	}
	p := newFixture(false)
	p.relayed.err = errors.Join(platform.ErrUnavailable, platform.ErrAmbiguous)
	_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
	require.ErrorIs(t, err, platform.ErrAmbiguous)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
}

func TestCallIsDirectWhereThereAreNoRelays(t *testing.T) {
	p := newFixture(false)
	p.relays.names = nil
	p.direct.err = nil
	_, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, 1, p.direct.calls)
}

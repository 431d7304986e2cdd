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

// fakeStore counts its calls and answers each with err or a fixed object.
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

// fakeMesh passes calls to the services of its relays; lost is the error of the way there.
type fakeMesh struct {
	names    []string
	services map[string]Service
	lost     error
}

func (m *fakeMesh) StoreRelays() []mesh.Member {
	var out []mesh.Member
	for _, name := range m.names {
		out = append(out, mesh.Member{VM: name})
	}
	return out
}

func (m *fakeMesh) Transfer(_ context.Context, vm, method string, args, reply any) error {
	if m.lost != nil {
		return m.lost
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

// play returns a VM that the store turns away and two relays in front of the given store.
type play struct {
	*Store
	direct, relayed *fakeStore
	mesh            *fakeMesh
	answered        int
}

func newPlay(up bool) *play {
	p := &play{direct: &fakeStore{err: platform.ErrUnavailable}, relayed: &fakeStore{}}
	yes := func() bool { return true }
	service := NewService(context.Background(), p.relayed, yes)
	p.mesh = &fakeMesh{names: []string{"a", "b"}, services: map[string]Service{"a": service, "b": service}}
	p.Store = &Store{Direct: p.direct, Up: func() bool { return up }, Mesh: p.mesh, OnRelayAnswer: func() { p.answered++ }}
	return p
}

var id = platform.ID{Kind: "k", Name: "n"}

// Guards against a grantor that loses its authority while other VMs reach the store.
func TestCallsGoThroughAnotherVMWhileTheStoreTurnsThisOneAway(t *testing.T) {
	p := newPlay(false)
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
	require.Equal(t, 3, p.answered)
}

// Guards against a first call that is lost before the VM knows that the store turns it away.
func TestCallThatTheStoreRefusesIsRelayedAtOnce(t *testing.T) {
	p := newPlay(true)
	_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
	require.NoError(t, err)
	require.Equal(t, 1, p.direct.calls)
	require.Equal(t, 1, p.relayed.calls)
}

func TestStoreThatAnswersNeedsNoRelay(t *testing.T) {
	p := newPlay(true)
	p.direct.err = nil
	_, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.Zero(t, p.relayed.calls)
	require.Zero(t, p.answered)
}

// Guards against a conditional write that is made twice and conflicts with itself.
func TestAmbiguousWriteIsNotRepeatedAtAnotherRelay(t *testing.T) {
	for name, lost := range map[string]error{"at the store": nil, "at the relay": peer.ErrLost} {
		p := newPlay(false)
		p.relayed.err, p.mesh.lost = platform.ErrAmbiguous, lost
		_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
		require.ErrorIs(t, err, platform.ErrAmbiguous, name)
		require.LessOrEqual(t, p.relayed.calls, 1, name)
	}
	p := newPlay(true)
	p.direct.err = platform.ErrAmbiguous
	_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
	require.ErrorIs(t, err, platform.ErrAmbiguous)
	require.Zero(t, p.relayed.calls)
}

func TestReadGoesToASecondRelay(t *testing.T) {
	p := newPlay(false)
	p.mesh.services["a"] = NewService(context.Background(), p.relayed, func() bool { return false })
	_, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, 1, p.relayed.calls)
}

// Guards against errors of the store that lose their class on the way.
func TestErrorsKeepTheirClass(t *testing.T) {
	for _, class := range []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrAmbiguous} {
		p := newPlay(false)
		p.relayed.err = class
		_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
		require.ErrorIs(t, err, class)
	}
	p := newPlay(false)
	p.relayed.err = errors.Join(platform.ErrUnavailable, platform.ErrAmbiguous)
	_, err := p.Put(t.Context(), platform.Object{Kind: "k", Name: "n"})
	require.ErrorIs(t, err, platform.ErrAmbiguous)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
}

func TestWithoutRelaysTheStoreIsCalledDirectly(t *testing.T) {
	p := newPlay(false)
	p.mesh.names = nil
	p.direct.err = nil
	_, err := p.Get(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, 1, p.direct.calls)
}

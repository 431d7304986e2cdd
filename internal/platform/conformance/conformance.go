// Package conformance is the test suite that every platform.Store must pass: the
// in-memory store, the HTTP client against the stand-in, the same client behind its
// guard, and the adapter's client of a store that lists by kind. Tests that use the
// in-memory store are then valid for the real one too.
package conformance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// caseTimeout only ends cases that hang.
const caseTimeout = 20 * time.Second

// historyOverflow is a number of changes that exceeds the watch history of every store.
const historyOverflow = 5000

// Store is a store under test with the hooks that the suite needs.
type Store struct {
	platform.Store
	// Unthrottled is the same store without a rate limit, for the one case that needs
	// thousands of writes. It is nil if Store itself has no rate limit.
	Unthrottled platform.Store
	// SetVMs replaces the platform's list of VMs. It is nil if the store has no list.
	SetVMs func([]platform.VM)
	// LoseAnswers drops the answers to the next n writes after the writes took
	// effect; LoseRequests drops the next n writes before they take effect. Both are
	// nil if the store cannot simulate this.
	LoseAnswers, LoseRequests func(n int)
	// Bookmarks reports that the store sends bookmarks on a watch without changes.
	Bookmarks bool
}

// Run runs the suite. newStore returns an empty store for each case.
func Run(t *testing.T, newStore func(t *testing.T) Store) {
	cases := []struct {
		name string
		run  func(*testing.T, context.Context, Store)
	}{
		{"ConditionalWrites", conditionalWrites},
		{"Deletes", deletes},
		{"List", list},
		{"VMs", vms},
		{"WatchOrder", watchOrder},
		{"WatchTooOld", watchTooOld},
		{"WatchEndsWithHandle", watchEndsWithHandle},
		{"Bookmarks", bookmarks},
		{"LargeValue", largeValue},
		{"LostAnswers", lostAnswers},
		{"LostCreate", lostCreate},
		{"LostRequests", lostRequests},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			c.run(t, ctx, newStore(t))
		})
	}
}

func object(name, writer string, version uint64) platform.Object {
	return platform.Object{
		Kind: model.KindService, Name: name, Version: version, Writer: writer,
		Spec: json.RawMessage(fmt.Sprintf(`{"name":%q,"by":%q}`, name, writer)),
	}
}

func mustPut(t *testing.T, ctx context.Context, s platform.Store, o platform.Object) platform.Object {
	t.Helper()
	written, err := s.Put(ctx, o)
	require.NoError(t, err)
	return written
}

func conditionalWrites(t *testing.T, ctx context.Context, s Store) {
	_, err := s.Get(ctx, object("a", "", 0).ID())
	require.ErrorIs(t, err, platform.ErrNotFound)
	first := mustPut(t, ctx, s, object("a", "w1", 0))
	require.NotZero(t, first.Version)
	_, err = s.Put(ctx, object("a", "w2", 0))
	require.ErrorIs(t, err, platform.ErrConflict, "create of an existing object")
	second := mustPut(t, ctx, s, object("a", "w3", first.Version))
	require.Greater(t, second.Version, first.Version)
	_, err = s.Put(ctx, object("a", "w4", first.Version))
	require.ErrorIs(t, err, platform.ErrConflict, "update of an old version")
	_, err = s.Put(ctx, object("b", "w5", first.Version))
	require.ErrorIs(t, err, platform.ErrConflict, "update of a missing object")
	held, err := s.Get(ctx, first.ID())
	require.NoError(t, err)
	require.Equal(t, "w3", held.Writer)
	require.Equal(t, second.Version, held.Version)
	require.JSONEq(t, string(second.Spec), string(held.Spec))
}

func deletes(t *testing.T, ctx context.Context, s Store) {
	first := mustPut(t, ctx, s, object("a", "w1", 0))
	second := mustPut(t, ctx, s, object("a", "w2", first.Version))
	require.ErrorIs(t, s.Delete(ctx, first), platform.ErrConflict)
	require.NoError(t, s.Delete(ctx, second))
	require.ErrorIs(t, s.Delete(ctx, second), platform.ErrNotFound)
	_, err := s.Put(ctx, object("a", "w3", second.Version))
	require.ErrorIs(t, err, platform.ErrConflict, "update of a deleted object")
	again := mustPut(t, ctx, s, object("a", "w4", 0))
	require.Greater(t, again.Version, second.Version, "a version was reused after delete and create")
}

func list(t *testing.T, ctx context.Context, s Store) {
	b := mustPut(t, ctx, s, object("b", "w1", 0))
	a := mustPut(t, ctx, s, object("a", "w2", 0))
	l, err := s.List(ctx)
	require.NoError(t, err)
	require.Equal(t, a.Version, l.Revision)
	require.Len(t, l.Objects, 2)
	require.Equal(t, []string{"a", "b"}, []string{l.Objects[0].Name, l.Objects[1].Name})
	require.Equal(t, b.Version, l.Objects[1].Version)
}

func vms(t *testing.T, ctx context.Context, s Store) {
	if s.SetVMs == nil {
		t.Skip("the store has no list of VMs")
	}
	want := []platform.VM{{Name: "vm1", DataCentre: "dc1", AgentAddr: "10.0.0.1:1", State: platform.VMLeaving}}
	s.SetVMs(want)
	got, err := s.VMs(ctx)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// errStopWatch is returned by a handler to end its watch.
var errStopWatch = errors.New("stop watch")

func watchOrder(t *testing.T, ctx context.Context, s Store) {
	a := mustPut(t, ctx, s, object("a", "w1", 0))
	seen := make(chan platform.Event, 16)
	ended := make(chan error, 1)
	go func() {
		ended <- s.Watch(ctx, a.Version, func(e platform.Event) error {
			if e.Type == platform.EventBookmark {
				return nil
			}
			seen <- e
			if len(seen) == 4 {
				return errStopWatch
			}
			return nil
		})
	}()
	b := mustPut(t, ctx, s, object("b", "w2", 0))
	a2 := mustPut(t, ctx, s, object("a", "w3", a.Version))
	require.NoError(t, s.Delete(ctx, b))
	b2 := mustPut(t, ctx, s, object("b", "w4", 0))
	require.ErrorIs(t, <-ended, errStopWatch)
	var got []platform.Event
	for range 4 {
		got = append(got, <-seen)
	}
	for i := 1; i < len(got); i++ {
		require.Greater(t, got[i].Revision, got[i-1].Revision)
	}
	require.Equal(t, b.Version, got[0].Revision)
	require.Equal(t, "w3", got[1].Object.Writer)
	require.Equal(t, a2.Version, got[1].Object.Version)
	require.Equal(t, platform.EventDelete, got[2].Type)
	require.Equal(t, b.ID(), got[2].Object.ID())
	require.Equal(t, b2.Version, got[3].Revision)
}

func watchTooOld(t *testing.T, _ context.Context, s Store) {
	var bulk platform.Store = s
	if s.Unthrottled != nil {
		bulk = s.Unthrottled
	}
	// The timeout of a case is for the watches. The writes before them take as long as the machine needs.
	o := mustPut(t, t.Context(), bulk, object("a", "w", 0))
	first := o.Version
	for i := range historyOverflow {
		// A store may ignore a write that changes nothing.
		o.Writer = fmt.Sprint("w", i)
		o = mustPut(t, t.Context(), bulk, o)
	}
	ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
	defer cancel()
	err := s.Watch(ctx, first, func(platform.Event) error { return errStopWatch })
	require.ErrorIs(t, err, platform.ErrGone)
	err = s.Watch(ctx, o.Version+1, func(platform.Event) error { return errStopWatch })
	require.ErrorIs(t, err, platform.ErrGone, "watch from a future revision")
}

func watchEndsWithHandle(t *testing.T, ctx context.Context, s Store) {
	o := mustPut(t, ctx, s, object("a", "w1", 0))
	calls := 0
	mustPut(t, ctx, s, object("a", "w2", o.Version))
	err := s.Watch(ctx, o.Version, func(platform.Event) error { calls++; return errStopWatch })
	require.ErrorIs(t, err, errStopWatch)
	require.Equal(t, 1, calls)
}

func bookmarks(t *testing.T, ctx context.Context, s Store) {
	if !s.Bookmarks {
		t.Skip("the store sends no bookmarks")
	}
	o := mustPut(t, ctx, s, object("a", "w1", 0))
	err := s.Watch(ctx, o.Version, func(e platform.Event) error {
		require.Equal(t, platform.EventBookmark, e.Type)
		require.Equal(t, o.Version, e.Revision)
		return errStopWatch
	})
	require.ErrorIs(t, err, errStopWatch)
}

func largeValue(t *testing.T, ctx context.Context, s Store) {
	o := object("a", "w1", 0)
	o.Spec = json.RawMessage(`{"name":"` + strings.Repeat("x", 1<<20-12) + `"}`)
	mustPut(t, ctx, s, o)
	held, err := s.Get(ctx, o.ID())
	require.NoError(t, err)
	require.Equal(t, len(o.Spec), len(held.Spec))
	require.JSONEq(t, string(o.Spec), string(held.Spec))
}

// An operator's update takes effect and the answer is lost. Reported as a conflict with
// itself, it would look as if another operator had changed the object.
func lostAnswers(t *testing.T, ctx context.Context, s Store) {
	if s.LoseAnswers == nil {
		t.Skip("the store cannot simulate lost messages")
	}
	first := mustPut(t, ctx, s, object("a", "w1", 0))
	s.LoseAnswers(1)
	_, err := s.Put(ctx, object("a", "w2", first.Version))
	require.ErrorIs(t, err, platform.ErrAmbiguous)
	held, err := s.Get(ctx, first.ID())
	require.NoError(t, err)
	require.Equal(t, "w2", held.Writer, "the write whose answer was lost took effect")
	s.LoseAnswers(1)
	settled, err := platform.Write(ctx, s, object("a", "w3", held.Version))
	require.NoError(t, err)
	require.Equal(t, "w3", settled.Writer)
	s.LoseAnswers(1)
	_, err = platform.Write(ctx, s, object("a", "w4", first.Version))
	require.ErrorIs(t, err, platform.ErrConflict, "a real conflict with its answer lost")
}

func lostCreate(t *testing.T, ctx context.Context, s Store) {
	if s.LoseAnswers == nil {
		t.Skip("the store cannot simulate lost messages")
	}
	s.LoseAnswers(1)
	created, err := platform.Write(ctx, s, object("a", "w1", 0))
	require.NoError(t, err)
	require.Equal(t, "w1", created.Writer)
	s.LoseRequests(1)
	_, err = platform.Write(ctx, s, object("b", "w2", 0))
	require.ErrorIs(t, err, platform.ErrAmbiguous, "an absent object does not prove that the create had no effect")
}

func lostRequests(t *testing.T, ctx context.Context, s Store) {
	if s.LoseRequests == nil {
		t.Skip("the store cannot simulate lost messages")
	}
	first := mustPut(t, ctx, s, object("a", "w1", 0))
	s.LoseRequests(2)
	written, err := platform.Write(ctx, s, object("a", "w2", first.Version))
	require.NoError(t, err)
	require.Equal(t, "w2", written.Writer)
}

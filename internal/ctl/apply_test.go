package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
)

// fault is the fault of an operator's first write.
type fault int

const (
	none fault = iota
	answerLost
	requestLost
)

// steppedStore makes each store call of one operator wait for a turn.
type steppedStore struct {
	platform.Store
	turns chan chan struct{}
	fault fault
	tags  *[]string
}

func (g *steppedStore) awaitTurn() func() {
	done := <-g.turns
	return func() { done <- struct{}{} }
}

func (g *steppedStore) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	defer g.awaitTurn()()
	return g.Store.Get(ctx, id)
}

func (g *steppedStore) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	defer g.awaitTurn()()
	f := g.fault
	g.fault = none
	if f == requestLost {
		return platform.Object{}, platform.ErrAmbiguous
	}
	written, err := g.Store.Put(ctx, o)
	if err == nil {
		*g.tags = append(*g.tags, o.Writer)
	}
	if f == answerLost {
		return platform.Object{}, platform.ErrAmbiguous
	}
	return written, err
}

func contractObject(rate float64, version uint64) platform.Object {
	spec, _ := json.Marshal(model.Contract{
		Customer: "a", TokenSHA256: fmt.Sprintf("%064x", 1),
		Services: []model.Allowance{{Service: "s", Rate: rate, Burst: 1, Concurrency: 1, Class: model.Interactive, Weight: 1}},
	})
	return platform.Object{Kind: model.KindContract, Name: "a", Version: version, Spec: spec}
}

// maxCalls is the largest number of store calls of one Apply: read, write, check
// after a lost answer, write again, check after its conflict, read the winner's object.
const maxCalls = 6

// interleavings returns every order in which two operators can take n turns each.
func interleavings(n int) [][]int {
	var out [][]int
	var walk func(order []int, left [2]int)
	walk = func(order []int, left [2]int) {
		if left[0]+left[1] == 0 {
			out = append(out, append([]int(nil), order...))
			return
		}
		for i := range left {
			if left[i] > 0 {
				next := left
				next[i]--
				walk(append(order, i), next)
			}
		}
	}
	walk(nil, [2]int{n, n})
	return out
}

// Guards against lost updates and wrongly reported conflicts. Two operators read the same
// contract and apply different limits: the second write could silently overwrite the first
// one, or a lost answer could make the accepted write look refused. For all orders of
// their store calls, and all faults of their first writes, one write must succeed and be
// stored once, and the other must fail with the differences.
func TestConcurrentAppliesGiveOneSuccessAndOneConflict(t *testing.T) {
	orders := interleavings(maxCalls)
	require.Len(t, orders, 924)
	for _, order := range orders {
		for faults := range 9 {
			synctest.Test(t, func(t *testing.T) { runRace(t, order, fault(faults%3), fault(faults/3)) })
		}
	}
}

func runRace(t *testing.T, order []int, first, second fault) {
	t.Helper()
	ctx := context.Background()
	mem := memstore.New()
	base, err := mem.Put(ctx, contractObject(10, 0))
	require.NoError(t, err)
	var tags []string
	stores := [2]*steppedStore{
		{Store: mem, turns: make(chan chan struct{}), fault: first, tags: &tags},
		{Store: mem, turns: make(chan chan struct{}), fault: second, tags: &tags},
	}
	var errs [2]error
	ended := [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	for i := range stores {
		go func() {
			defer close(ended[i])
			_, errs[i] = Apply(ctx, stores[i], contractObject(float64(20+i), base.Version))
		}()
	}
	for _, i := range order {
		done := make(chan struct{})
		select {
		case stores[i].turns <- done:
			<-done
		case <-ended[i]:
		}
	}
	<-ended[0]
	<-ended[1]
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	require.NoError(t, errs[winner], "order %v faults %v %v", order, first, second)
	var conflict *ConflictError
	require.True(t, errors.As(errs[1-winner], &conflict), "order %v faults %v %v: %v", order, first, second, errs[1-winner])
	require.Equal(t, []Difference{{"/services/0/rate", fmt.Sprint(20 + winner), fmt.Sprint(21 - winner)}}, conflict.Differences)
	stored, err := mem.Get(ctx, base.ID())
	require.NoError(t, err)
	require.Empty(t, Diff(stored.Spec, contractObject(float64(20+winner), 0).Spec))
	require.Len(t, tags, 1)
}

// Guards against a file without a version overwriting a stored contract, as it is unknown
// which version the file is based on. Applying the same content is not a change.
func TestApplyWithoutVersionNeverOverwrites(t *testing.T) {
	ctx := context.Background()
	mem := memstore.New()
	_, err := Apply(ctx, mem, contractObject(10, 0))
	require.NoError(t, err)
	again, err := Apply(ctx, mem, contractObject(10, 0))
	require.NoError(t, err)
	require.False(t, again.Changed)
	_, err = Apply(ctx, mem, contractObject(11, 0))
	require.ErrorIs(t, err, platform.ErrConflict)
}

// lostDeleteAnswers is a store that carries out every deletion and loses its answer.
type lostDeleteAnswers struct{ platform.Store }

func (l lostDeleteAnswers) Delete(ctx context.Context, o platform.Object) error {
	_ = l.Store.Delete(ctx, o)
	return platform.ErrAmbiguous
}

// Guards against a deletion that is reported as failed because its answer was lost. The
// operator would repeat it, and could delete an object created again in the meantime.
func TestDeleteSettlesLostAnswer(t *testing.T) {
	ctx := context.Background()
	mem := memstore.New()
	old, err := mem.Put(ctx, contractObject(10, 0))
	require.NoError(t, err)
	require.NoError(t, Delete(ctx, lostDeleteAnswers{mem}, old.ID(), old.Version))
	_, err = mem.Put(ctx, contractObject(10, 0))
	require.NoError(t, err)
	require.ErrorIs(t, Delete(ctx, lostDeleteAnswers{mem}, old.ID(), old.Version), platform.ErrConflict)
}

func TestRenderedFileKeepsItsVersion(t *testing.T) {
	want := contractObject(10, 7)
	text, err := Render(want)
	require.NoError(t, err)
	got, err := Parse(model.KindContract, "a.jsonc", text)
	require.NoError(t, err)
	require.Equal(t, uint64(7), got.Version)
	require.Empty(t, Diff(want.Spec, got.Spec))
}

// Guards against two customers with the same token: the limits that apply to a caller
// would depend on the VM. The second contract must be rejected before it is written.
func TestCrossCheckRefusesSharedToken(t *testing.T) {
	mine := contractObject(10, 0)
	warnings, err := CrossCheck(mine, nil)
	require.NoError(t, err)
	require.Len(t, warnings, 1)
	other := mine
	other.Name = "b"
	other.Spec = []byte(`{"customer":"b","tokenSHA256":"` + fmt.Sprintf("%064X", 1) + `","services":[{"service":"s","rate":1,"burst":1,"concurrency":1}]}`)
	_, err = CrossCheck(mine, []platform.Object{other})
	require.ErrorContains(t, err, "customer b holds this token")
}

package ring

import (
	"context"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestRefuseReportsFull(t *testing.T) {
	r := New[int]("t", 1, Refuse, metrics.NewRegistry())
	require.NoError(t, r.Push(context.Background(), 1))
	require.ErrorIs(t, r.Push(context.Background(), 2), ErrFull)
	require.Equal(t, 1, <-r.Entries())
}

func TestDropOldestKeepsNewest(t *testing.T) {
	r := New[int]("t", 2, DropOldest, metrics.NewRegistry())
	for i := range 5 {
		require.NoError(t, r.Push(context.Background(), i))
	}
	require.Equal(t, 3, <-r.Entries())
	require.Equal(t, 4, <-r.Entries())
}

func TestWaitEndsWithContext(t *testing.T) {
	r := New[int]("t", 1, Wait, metrics.NewRegistry())
	require.NoError(t, r.Push(context.Background(), 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, r.Push(ctx, 2), context.Canceled)
	require.Equal(t, 1, r.Depth())
}

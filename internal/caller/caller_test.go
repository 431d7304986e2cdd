package caller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

type connection bool

// Left implements Connection.
func (c connection) Left() bool { return bool(c) }

type clock time.Duration

// Now implements boottime.Clock.
func (c *clock) Now() time.Duration { return time.Duration(*c) }

func TestRequestOfACallerThatWaitsIsPassedOn(t *testing.T) {
	require.NoError(t, Check(t.Context()))
	ctx := WithExpiry(WithConnection(t.Context(), connection(false)), new(clock), time.Second)
	require.NoError(t, Check(ctx))
	require.NoError(t, Check(WithConnection(t.Context(), nil)))
}

// Guards against requests that are passed on between the end of their caller's connection and the end of their context.
func TestEndOfTheConnectionCountsBeforeTheContextEnds(t *testing.T) {
	ctx := WithConnection(t.Context(), connection(true))
	require.ErrorIs(t, Check(ctx), ErrLeft)
	child, cancel := context.WithTimeout(ctx, time.Hour)
	defer cancel()
	require.ErrorIs(t, Check(child), ErrLeft)
}

// Guards against a VM that was suspended and gives requests the time that has passed meanwhile.
func TestExpiryCountsTheTimeOfASuspendedVM(t *testing.T) {
	var now clock
	ctx := WithExpiry(t.Context(), &now, time.Second)
	require.NoError(t, Check(ctx))
	now = clock(time.Second)
	require.ErrorIs(t, Check(ctx), ErrExpired)
}

func TestEndOfTheContextNamesItsReason(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, Check(ctx), ErrLeft)
	stopped := errors.New("the process stops")
	ctx, stop := context.WithCancelCause(t.Context())
	stop(stopped)
	require.ErrorIs(t, Check(ctx), stopped)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(time.Second)
		require.ErrorIs(t, Check(ctx), ErrExpired)
	})
}

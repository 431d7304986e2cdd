package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		require.True(t, For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(begin))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, For(ctx, time.Hour))
		require.Equal(t, 2*time.Second, time.Since(begin))
	})
}

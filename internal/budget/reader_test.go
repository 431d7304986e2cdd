package budget

import (
	"io"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against several senders without end that each stay within a limit of their own.
func TestReadersShareTheirMemory(t *testing.T) {
	share := New("memory", 100, metrics.NewRegistry()).Share(100)
	first := Reader{In: strings.NewReader(strings.Repeat("a", 30)), Share: share}
	text, err := io.ReadAll(&first)
	require.NoError(t, err)
	require.Len(t, text, 30)
	second := Reader{In: strings.NewReader(strings.Repeat("a", 30)), Share: share}
	_, err = io.ReadAll(&second)
	require.ErrorIs(t, err, ErrNoMemory)
	first.Release()
	second.Release()
	require.Zero(t, share.Used())
	unbounded := Reader{In: strings.NewReader("text")}
	text, err = io.ReadAll(&unbounded)
	require.NoError(t, err)
	require.Equal(t, "text", string(text))
	unbounded.Release()
}

package wire

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestReadAllIgnoresWrongLength(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, maxPreallocated + 1} {
		for _, announced := range []int64{-1, 0, 1, int64(size), 1 << 60} {
			body := bytes.Repeat([]byte{7}, size)
			got, err := ReadAll(iotest.HalfReader(bytes.NewReader(body)), announced)
			require.NoError(t, err)
			require.True(t, bytes.Equal(body, got))
		}
	}
	_, err := ReadAll(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(make([]byte, 9)))), 9)
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

package packed

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

type value struct {
	Name  string
	Parts []string
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	in := value{Name: "a", Parts: []string{"b", "c"}}
	data, err := Encode(in)
	require.NoError(t, err)
	var out value
	require.NoError(t, Decode(data, &out))
	require.Equal(t, in, out)
}

func TestDamagedValueIsAnError(t *testing.T) {
	data, err := Encode(value{Name: "a", Parts: []string{"b", "c"}})
	require.NoError(t, err)
	var out value
	require.Error(t, Decode(data[:len(data)-6], &out))
	require.Error(t, Decode(nil, &out))
}

// Guards against a small message that decompresses to more than the memory of the VM.
func TestValueThatUnpacksToTooMuchIsRefused(t *testing.T) {
	data, err := Encode(bytes.Repeat([]byte{1}, maxBytes+1))
	require.NoError(t, err)
	require.Less(t, len(data), maxBytes/100)
	var out []byte
	require.ErrorIs(t, Decode(data, &out), ErrTooLarge)
}

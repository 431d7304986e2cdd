package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name  string `json:"name"`
	Inner struct {
		Count int `json:"count"`
	} `json:"inner"`
}

func (s *sample) Check() error {
	if s.Inner.Count < 1 {
		return Invalid("/inner/count", "%d is below 1", s.Inner.Count)
	}
	return nil
}

func TestDecodeNamesLineAndField(t *testing.T) {
	cases := []struct {
		name, text, field string
		line              int
	}{
		{"unknown", "{\n // note\n \"name\": \"a\",\n \"nmae\": 1}", "/nmae", 4},
		{"type", "{\n \"name\": 5}", "/name", 2},
		{"impossible", "{\n \"name\": \"a\",\n \"inner\": {\n  \"count\": 0}}", "/inner/count", 4},
		{"missing parent", "{\n \"name\": \"a\"}", "/inner/count", 1},
		{"syntax", "{\n \"name\": \"a\"\n \"inner\": {}}", "", 3},
		{"duplicate", "{\n \"name\": \"a\",\n \"name\": \"b\"}", "/name", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s sample
			err := Decode("f.jsonc", []byte(c.text), &s)
			var e *Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.Equal(t, c.line, e.Line, "%v", err)
			require.Equal(t, c.field, e.Field, "%v", err)
		})
	}
}

func TestDecodeAcceptsComments(t *testing.T) {
	var s sample
	require.NoError(t, Decode("f", []byte("{ /* c */ \"name\": \"a\", \"inner\": {\"count\": 2,}, } // end"), &s))
	require.Equal(t, 2, s.Inner.Count)
}

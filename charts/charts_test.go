package charts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/statechart"
)

func TestChartsAreSound(t *testing.T) {
	for _, name := range Names() {
		c, err := Load(name)
		require.NoError(t, err)
		require.Equal(t, name, c.Name)
	}
}

func TestChartIsRefused(t *testing.T) {
	cases := []struct{ name, text string }{
		{"unreachable state", `{"name":"x","initial":"a","states":["a","b"],"events":["e"],"transitions":[{"from":"a","event":"e","to":"a"}]}`},
		{"undeclared event", `{"name":"x","initial":"a","states":["a"],"events":[],"transitions":[{"from":"a","event":"e","to":"a"}]}`},
		{"undeclared state", `{"name":"x","initial":"a","states":["a"],"events":["e"],"transitions":[{"from":"a","event":"e","to":"z"}]}`},
		{"unused event", `{"name":"x","initial":"a","states":["a"],"events":["e"],"transitions":[]}`},
		{"two targets", `{"name":"x","initial":"a","states":["a","b"],"events":["e"],"transitions":[{"from":"a","event":"e","to":"a"},{"from":"a","event":"e","to":"b"}]}`},
	}
	for _, c := range cases {
		_, err := statechart.Parse("t", []byte(c.text))
		require.Error(t, err, c.name)
	}
}

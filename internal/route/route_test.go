package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

func newTestTable(routes ...Route) *Table { return NewTable(&Config{Version: 1, Routes: routes}, nil) }

func TestLongestPrefixWins(t *testing.T) {
	tab := newTestTable(
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", Prefix: "/"},
	)
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		r, _ := tab.Find("a.example", path)
		require.NotNil(t, r, path)
		require.Equal(t, want, r.Name, path)
	}
	r, _ := tab.Find("A.example:8080", "/x/y/")
	require.Equal(t, "long", r.Name, "hosts are compared without case and port")
	r, _ = tab.Find("a.example", "/xy/")
	require.Nil(t, r)
	r, _ = tab.Find("c.example", "/x/")
	require.Nil(t, r)
}

func TestRotationKeepsSharesWithinOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		weights[0]++
		splits, total := make([]Split, len(weights)), 0
		for i, w := range weights {
			splits[i] = Split{Service: string(rune('a' + i)), Weight: float64(w)}
			total += w
		}
		s, got := NewRotation(splits), make(map[string]int)
		n := rapid.IntRange(1, 500).Draw(t, "requests")
		for range n {
			got[s.Next()]++
		}
		for i, p := range splits {
			want := float64(n) * float64(weights[i]) / float64(total)
			require.InDelta(t, want, float64(got[p.Service]), float64(len(splits)), "service %s", p.Service)
		}
	})
}

// Guards against a change of the configuration that resets the rotations of unchanged
// routes: with a change every 0.3 s and few requests in between, the first service of
// a route would get all of them.
func TestRotationIsKeptAcrossConfigurations(t *testing.T) {
	splits := []Split{{"a", 1}, {"b", 1}}
	c := &Config{Routes: []Route{{Host: "h", Prefix: "/", Splits: splits}}}
	got := make(map[string]int)
	var tab *Table
	for range 100 {
		tab = NewTable(c, tab)
		_, s := tab.Find("h", "/")
		got[s.Next()]++
	}
	require.Equal(t, map[string]int{"a": 50, "b": 50}, got)
}

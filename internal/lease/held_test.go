package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playCut plays an owner that is cut off for six seconds, and the move of its keys. It
// returns the breach, if there was one.
func playCut(onlyCloses bool) (breach string) {
	w := startWorld(usualDraw, func(text string) {
		if breach == "" {
			breach = text
		}
	})
	w.keepsAnswers, w.onlyCloses = true, onlyCloses
	w.takeOver(0)
	for range 40 {
		w.tick()
	}
	w.vms[0].cutTargets[0] = w.now + 6*time.Second
	for range 34 {
		w.tick()
	}
	w.move(0, 0, 1)
	for range 200 {
		w.readEpoch(0)
		w.tick()
	}
	return breach
}

// An owner was cut off; renewals to it that were given up arrived at the end of the cut,
// when another held its keys. The random walks had no bytes that wait in a cut, and passed.
// The world must show the breach where connections are only closed, and none where they
// are reset.
func TestWorldShowsGrantsThatWereGivenUpInACut(t *testing.T) {
	require.Contains(t, playCut(true), "has owners [0 1]")
	require.Empty(t, playCut(false))
}

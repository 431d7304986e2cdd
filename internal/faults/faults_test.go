package faults

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/charts"
)

// Guards against a step that is added to a chart without a test of the faults at it.
func TestStepWithoutEntryIsReported(t *testing.T) {
	c := charts.MustLoad("daemon")
	m := New(c, "")
	steps := Steps(c)
	require.Len(t, steps, len(c.Transitions)+1)
	for _, f := range All() {
		for _, s := range steps[:len(steps)-1] {
			m.Impossible(f, s, "no reason")
		}
	}
	require.Len(t, m.Missing(), len(All()))
	require.ErrorContains(t, m.Compare(t.TempDir()), "cells without an entry")
	for _, f := range All() {
		m.Set(f, steps[len(steps)-1], "answered")
	}
	require.Empty(t, m.Missing())
	require.ErrorIs(t, m.Compare(t.TempDir()), os.ErrNotExist)
}

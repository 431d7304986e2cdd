package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// A seed is reported, and the run that is to show the failure again plays other faults.
func TestSameSeedSameSchedule(t *testing.T) {
	for seed := range uint64(50) {
		s := GenerateMixed(seed, 20*time.Second)
		require.Equal(t, s, GenerateMixed(seed, 20*time.Second))
		require.NoError(t, s.Check())
		require.NotEqual(t, s, GenerateMixed(seed+1, 20*time.Second))
		for _, f := range s.Faults {
			require.Positive(t, f.Duration)
			require.LessOrEqual(t, f.At+f.Duration, model.Duration(20*time.Second), "over at the end: %v", f)
			require.LessOrEqual(t, f.Duration, model.Duration(8*time.Second))
		}
	}
}

// A schedule is printed, shrunk by hand and played.
func TestPrintedScheduleCanBeReadBack(t *testing.T) {
	for seed := range uint64(50) {
		s, read := GenerateMixed(seed, 20*time.Second), new(Schedule)
		require.NoError(t, settings.Decode("printed", []byte(s.String()), read))
		require.Equal(t, s, read)
	}
}

// Faults of every kind are drawn, and they overlap: a soak without them finds little.
func TestGeneratedFaultsHaveAllKindsAndOverlap(t *testing.T) {
	drawn, overlaps := make(map[Kind]int), 0
	for seed := range uint64(50) {
		s := GenerateMixed(seed, 20*time.Second)
		for i, f := range s.Faults {
			drawn[f.Kind]++
			if i > 0 && s.Faults[i-1].At+s.Faults[i-1].Duration > f.At {
				overlaps++
			}
		}
	}
	for _, k := range []Kind{HoldLink, ResetLink, RemoveEntry, Suspend, Kill, Terminate} {
		require.Positive(t, drawn[k], k)
	}
	require.Positive(t, overlaps)
}

func TestImpossibleFaultsAreRejected(t *testing.T) {
	for _, text := range []string{
		`{"faults": [{"at": "1s", "kind": "cut", "what": "k-9", "for": "1s"}]}`,
		`{"faults": [{"at": "1s", "kind": "stop", "what": "k-1", "for": "1s"}]}`,
		`{"faults": [{"at": "1s", "kind": "lapse", "what": "vm-1", "for": "1s"}]}`,
		`{"faults": [{"at": "-1s", "kind": "cut", "what": "k-1", "for": "1s"}]}`,
		`{"faults": [{"at": "1s", "kind": "cut", "what": "k-1", "fro": "1s"}]}`,
	} {
		var bad *settings.Error
		require.ErrorAs(t, settings.Decode("text", []byte(text), new(Schedule)), &bad, text)
	}
}

// Guards against a soak that cannot find a request which outlasts its VM.
func TestGeneratedStopsIncludeTargetFaults(t *testing.T) {
	for seed := range uint64(50) {
		s := GenerateStops(seed, 20*time.Second)
		require.Equal(t, s, GenerateStops(seed, 20*time.Second))
		require.NoError(t, s.Check())
		drawn := make(map[Kind]int)
		for _, f := range s.Faults {
			drawn[f.Kind]++
			require.Positive(t, f.Duration)
			require.LessOrEqual(t, f.At+f.Duration, model.Duration(20*time.Second), "over at the end: %v", f)
		}
		require.GreaterOrEqual(t, drawn[Terminate], vmCount, "every VM stops")
		require.Positive(t, drawn[SlowTarget])
		require.Positive(t, drawn[DropAnswers])
	}
}

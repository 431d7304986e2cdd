package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Guards against a seed that does not reproduce the faults of the run that reported it.
func TestSameSeedSameSchedule(t *testing.T) {
	for seed := range uint64(50) {
		s := GenerateMixed(seed, 20*time.Second)
		require.Equal(t, s, GenerateMixed(seed, 20*time.Second))
		require.NoError(t, s.Check())
		require.NotEqual(t, s, GenerateMixed(seed+1, 20*time.Second))
		for _, f := range s.Faults {
			require.Positive(t, f.Duration)
			require.LessOrEqual(t, f.At+f.Duration, model.Duration(20*time.Second), "ends within the run: %v", f)
			require.LessOrEqual(t, f.Duration, model.Duration(8*time.Second))
		}
	}
}

// Guards against a printed schedule that cannot be edited and run again.
func TestPrintedScheduleCanBeReadBack(t *testing.T) {
	for seed := range uint64(50) {
		s, read := GenerateMixed(seed, 20*time.Second), new(Schedule)
		require.NoError(t, settings.Decode("printed", []byte(s.String()), read))
		require.Equal(t, s, read)
	}
}

// Guards against generated schedules that lack a kind of fault, or whose faults never overlap.
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

// Guards against generated shutdowns without slow targets or dropped answers, with which no request
// would outlast its VM.
func TestGeneratedStopsIncludeTargetFaults(t *testing.T) {
	for seed := range uint64(50) {
		s := GenerateStops(seed, 20*time.Second)
		require.Equal(t, s, GenerateStops(seed, 20*time.Second))
		require.NoError(t, s.Check())
		drawn := make(map[Kind]int)
		for _, f := range s.Faults {
			drawn[f.Kind]++
			require.Positive(t, f.Duration)
			require.LessOrEqual(t, f.At+f.Duration, model.Duration(20*time.Second), "ends within the run: %v", f)
		}
		require.GreaterOrEqual(t, drawn[Terminate], vmCount, "every VM is shut down")
		require.Positive(t, drawn[SlowTarget])
		require.Positive(t, drawn[DropAnswers])
	}
}

// Guards against generated evacuations that are never judged, because VMs have faults all the time.
func TestGeneratedEvacuationsHaveFaultFreeParts(t *testing.T) {
	judged, drawn := 0, make(map[Kind]int)
	for seed := range uint64(50) {
		s := GenerateEvacuations(seed, 30*time.Second)
		require.Equal(t, s, GenerateEvacuations(seed, 30*time.Second))
		require.NoError(t, s.Check())
		read := new(Schedule)
		require.NoError(t, settings.Decode("printed", []byte(s.String()), read))
		faultFreeAt := time.Duration(0)
		for _, f := range s.Faults {
			drawn[f.Kind]++
			if f.Kind != Evacuate {
				faultFreeAt = max(faultFreeAt, (f.At+f.Duration).D()+faultFreeTime)
			} else if end := (f.At + f.Duration).D(); end > f.At.D()+evacuateWithin && end > faultFreeAt {
				judged++
			}
		}
	}
	require.Greater(t, judged, 25)
	for _, k := range []Kind{Evacuate, HoldLink, ResetLink, Suspend, Kill, Terminate} {
		require.Positive(t, drawn[k], k)
	}
}

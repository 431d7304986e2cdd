package suspicion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms      = time.Millisecond
	setting = 190 * ms
)

func sendHeartbeats(d *Detector, from, every time.Duration, n int) time.Duration {
	for i := range n {
		d.RecordHeartbeat(from + time.Duration(i)*every)
	}
	return from + time.Duration(n-1)*every
}

// Keys are served late on a busy evening. Heartbeats come with gaps of 250 ms; each
// was taken for a loss, the next grantor took over, and the records were rewritten
// five times a second. Only the first gap may count as a loss.
func TestGapsUnderLoadRaiseTheTimeout(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 95*ms, 20)
	require.False(t, d.Alive(last+200*ms, setting), "the first gap is a loss for all that is known")
	last = sendHeartbeats(&d, last+250*ms, 250*ms, 10)
	require.True(t, d.Alive(last+450*ms, setting))
	require.False(t, d.Alive(last+500*ms, setting), "a true loss is still noticed")
}

func TestGapsExpire(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 250*ms, 10)
	last = sendHeartbeats(&d, last+95*ms, 95*ms, 330)
	require.Equal(t, setting, d.Timeout(setting))
	require.False(t, d.Alive(last+setting, setting))
}

// A VM was cut off for a minute. Its return must not make its next loss take a
// minute to notice.
func TestTrueLossDoesNotRaiseTheTimeout(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 95*ms, 10)
	sendHeartbeats(&d, last+time.Minute, 95*ms, 10)
	require.Equal(t, setting, d.Timeout(setting))
}

func TestTimeoutStaysBelowMaximum(t *testing.T) {
	var d Detector
	sendHeartbeats(&d, time.Second, 590*ms, 10)
	require.Equal(t, MaxTimeout, d.Timeout(setting))
}

func TestOwnPauseDoesNotCountAsSilence(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 95*ms, 10)
	d.ExcludePause(5 * time.Second)
	require.True(t, d.Alive(last+5*time.Second+50*ms, setting))
}

func TestPeerWithoutHeartbeatIsNotAlive(t *testing.T) {
	var d Detector
	require.False(t, d.Alive(0, setting))
}

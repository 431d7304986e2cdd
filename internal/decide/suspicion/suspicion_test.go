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

// sendHeartbeats records n heartbeats and returns the time of the last one.
func sendHeartbeats(d *Detector, from, every time.Duration, n int) time.Duration {
	for i := range n {
		d.RecordHeartbeat(from + time.Duration(i)*every)
	}
	return from + time.Duration(n-1)*every
}

// Guards against a takeover at each gap under load, which serves keys late: heartbeats arrived
// with gaps of 250 ms, each gap was taken for a failure, the next grantor took over, and the
// records were rewritten five times a second. Only the first gap may count as a failure.
func TestGapsUnderLoadRaiseTheTimeout(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 95*ms, 20)
	require.False(t, d.Alive(last+200*ms, setting), "the first gap cannot be told from a failure")
	last = sendHeartbeats(&d, last+250*ms, 250*ms, 10)
	require.True(t, d.Alive(last+450*ms, setting))
	require.False(t, d.Alive(last+500*ms, setting), "a real failure is still detected")
}

// Guards against a timeout that stays raised after the load has ended.
func TestGapsExpire(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 250*ms, 10)
	last = sendHeartbeats(&d, last+95*ms, 95*ms, 330)
	require.Equal(t, setting, d.Timeout(setting))
	require.False(t, d.Alive(last+setting, setting))
}

// Guards against a slow detection after a real failure: a VM was partitioned for a minute, and
// its next failure would then take a minute or longer to detect.
func TestTrueLossDoesNotRaiseTheTimeout(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 95*ms, 10)
	sendHeartbeats(&d, last+time.Minute, 95*ms, 10)
	require.Equal(t, setting, d.Timeout(setting))
}

// Guards against long gaps that raise the timeout beyond MaxTimeout.
func TestTimeoutStaysBelowMaximum(t *testing.T) {
	var d Detector
	sendHeartbeats(&d, time.Second, 590*ms, 10)
	require.Equal(t, MaxTimeout, d.Timeout(setting))
}

// Guards against a resumed process that considers all its peers failed.
func TestOwnPauseDoesNotCountAsSilence(t *testing.T) {
	var d Detector
	last := sendHeartbeats(&d, time.Second, 95*ms, 10)
	d.ExcludePause(5 * time.Second)
	require.True(t, d.Alive(last+5*time.Second+50*ms, setting))
}

// Guards against a peer that counts as alive before its first heartbeat.
func TestPeerWithoutHeartbeatIsNotAlive(t *testing.T) {
	var d Detector
	require.False(t, d.Alive(0, setting))
}

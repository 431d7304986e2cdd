package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/decide/repeats"
	"hemlockquay/internal/settings"
)

// settingsCheckInterval is the interval at which the modification time of the settings file is
// checked, because the file may change without a signal.
const settingsCheckInterval = 2 * time.Second

// repeatLimit returns the limit on repeats from the settings.
func (s *Settings) repeatLimit() repeats.Limit {
	return repeats.Limit{Ratio: s.Repeats.Ratio, Slack: s.Repeats.Slack, Window: s.Repeats.Window.D()}
}

// receiveSIGHUP makes SIGHUP reload the settings. It stays in effect until the process exits,
// because an unhandled SIGHUP would end the process, also while it starts or shuts down.
func (g *Gateway) receiveSIGHUP() { signal.Notify(g.sighups, syscall.SIGHUP) }

// watchSettings applies changed settings after SIGHUP or when the file was modified.
func (g *Gateway) watchSettings(ctx context.Context) {
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	last := g.settingsModTime()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-g.sighups:
		case <-tick.C:
			cause = "file changed"
			if g.settingsModTime().Equal(last) {
				continue
			}
		}
		last = g.settingsModTime()
		g.reloadSettings(cause)
	}
}

func (g *Gateway) settingsModTime() time.Time {
	info, err := os.Stat(g.settings.source)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings reads the settings file again. If it is invalid, nothing changes.
func (g *Gateway) reloadSettings(cause string) {
	next := new(Settings)
	if err := settings.Load(g.settings.source, next); err != nil {
		g.log.Error().Str("step", "reload").Str("cause", cause).Err(err).Msg("settings rejected, the current ones stay in force")
		return
	}
	g.state.setRepeatLimit(next.repeatLimit())
	g.state.setLimits(next.Warmup, next.Regions)
	g.state.setPlacesFromVMs(next.Places.FromVMs)
	g.evacuateWithin.Store(int64(next.EvacuateWithin))
	g.log.SetLevel(log.ParseLevel(next.Log))
	if !g.leaving.Load() {
		g.grace.Store(int64(next.Grace))
	}
	g.log.Info().Str("step", "reload").Str("cause", cause).Float64("ratio", next.Repeats.Ratio).Float64("slack", next.Repeats.Slack).
		Dur("grace", time.Duration(g.grace.Load())).Msg("settings in force; changed addresses need a restart")
}

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

// settingsCheckInterval is how often the settings file is looked at: it may change without
// a signal.
const settingsCheckInterval = 2 * time.Second

// repeatLimit returns the bound of repeats that the settings state.
func (s *Settings) repeatLimit() repeats.Limit {
	return repeats.Limit{Ratio: s.Repeats.Ratio, Slack: s.Repeats.Slack, Window: s.Repeats.Window.D()}
}

// receiveSIGHUP has SIGHUP reload the settings. It stays so to the end of the process: a
// SIGHUP that nothing receives ends a process, also one that still starts or already stops.
func (g *Gateway) receiveSIGHUP() { signal.Notify(g.sighups, syscall.SIGHUP) }

// watchSettings puts changed settings in force, after SIGHUP or when the file is
// another one.
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

// reloadSettings reads the file again. What cannot be read changes nothing.
func (g *Gateway) reloadSettings(cause string) {
	next := new(Settings)
	if err := settings.Load(g.settings.source, next); err != nil {
		g.log.Error().Str("step", "reload").Str("cause", cause).Err(err).Msg("settings refused, the old ones stay in force")
		return
	}
	g.state.setRepeatLimit(next.repeatLimit())
	g.log.SetLevel(log.ParseLevel(next.Log))
	if !g.leaving.Load() {
		g.grace.Store(int64(next.Grace))
	}
	g.log.Info().Str("step", "reload").Str("cause", cause).Float64("ratio", next.Repeats.Ratio).Float64("slack", next.Repeats.Slack).
		Dur("grace", time.Duration(g.grace.Load())).Msg("settings in force; addresses need a restart")
}

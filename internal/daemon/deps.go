package daemon

import (
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
)

// Deps holds the dependencies of a daemon with settings S. BaseModule provides it.
type Deps[S Settings] struct {
	Settings  S
	LC        fx.Lifecycle
	Lifecycle *Lifecycle
	Log       *log.Logger
	Registry  metrics.Registry
	Journal   *journal.Journal
}

func newDeps[S Settings](s S, lc fx.Lifecycle, life *Lifecycle, logger *log.Logger, registry metrics.Registry, j *journal.Journal) *Deps[S] {
	return &Deps[S]{Settings: s, LC: lc, Lifecycle: life, Log: logger, Registry: registry, Journal: j}
}

// PeerBounds returns the bounds of what other daemons may occupy. Its memory is a budget of its own.
func (b *Base) PeerBounds(registry metrics.Registry) peer.Bounds {
	bytes := int64(b.PeerMemoryMB * (1 << 20))
	memory := budget.New("peers.memory", bytes, registry)
	return peer.Bounds{
		Connections: min(b.MaxPeers, int(float64(budget.Descriptors(0))*peerDescriptorShare)),
		Memory:      memory.Share(bytes), Unproven: memory.Share(bytes / 2), Registry: registry,
	}
}

// peerDescriptorShare is the fraction of the process's descriptors for connections of other daemons.
const peerDescriptorShare = 0.25

// BaseModule returns the fx module that all daemons share: it provides settings, log,
// metrics, journal and lifecycle, singly and as Deps, and starts the admin server.
func BaseModule[S Settings](name string, s S, logger *log.Logger) fx.Option {
	base := s.Common()
	return fx.Options(
		fx.Supply(s, base, logger),
		fx.Provide(
			metrics.NewRegistry,
			func() *journal.Journal { return journal.New(base.VM, name, base.JournalLength) },
			func(sh fx.Shutdowner, j *journal.Journal) *Lifecycle { return newLifecycle(name, base, logger, j, sh) },
			newDeps[S],
		),
		fx.Invoke(startAdmin, registerDroppedLines),
	)
}

// registerDroppedLines registers the metric of the lines that the log has dropped.
func registerDroppedLines(logger *log.Logger, registry metrics.Registry) error {
	if io, ok := logger.Writer.(*log.IOWriter); ok {
		if w, ok := io.Writer.(*logWriter); ok {
			return registry.Register("log.lines.dropped", w.dropped)
		}
	}
	return nil
}

package daemon

import (
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/journal"
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

package conformance

import (
	"net/http/httptest"
	"testing"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
	"hemlockquay/internal/platform/objectapi"
	"hemlockquay/internal/standin"
)

func TestMemoryStore(t *testing.T) {
	Run(t, func(*testing.T) Store {
		m := memstore.New()
		return Store{Store: m, SetVMs: m.SetVMs}
	})
}

func newHTTPStore(t *testing.T) Store {
	world := standin.NewStore()
	server := httptest.NewServer(world.Handler())
	t.Cleanup(server.Close)
	return Store{
		Store:        objectapi.New(server.URL),
		SetVMs:       world.Backend().SetVMs,
		LoseAnswers:  func(n int) { world.SetFaults(standin.StoreFaults{LoseAnswers: n}) },
		LoseRequests: func(n int) { world.SetFaults(standin.StoreFaults{LoseRequests: n}) },
		Bookmarks:    true,
	}
}

func TestObjectAPI(t *testing.T) { Run(t, newHTTPStore) }

func TestGuardedObjectAPI(t *testing.T) {
	Run(t, func(t *testing.T) Store {
		s := newHTTPStore(t)
		s.Unthrottled = s.Store
		s.Store = platform.NewGuard(metrics.NewRegistry()).Wrap(s.Store)
		return s
	})
}

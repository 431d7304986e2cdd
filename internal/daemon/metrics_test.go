package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/journal"
)

func get(t *testing.T, handler http.Handler, path string) string {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	require.Equal(t, http.StatusOK, w.Code)
	text, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	return string(text)
}

func TestAdminShowsUnitsAndRings(t *testing.T) {
	registry := metrics.NewRegistry()
	j := journal.New("vm1", "hq-test", 4)
	life := newLifecycle("hq-test", &newMinimalSettings(t).Base, discardLogger, j, nil)
	handler := adminHandler(adminParams{Lifecycle: life, Registry: registry, Journal: j})
	life.AddDumpSection(ringsSection, func() any { return ringStates(registry) })
	metrics.GetOrRegisterTimer("entry.answered", registry).Update(1500 * time.Microsecond)
	metrics.GetOrRegisterGauge("ring.a.b.depth", registry).Update(7)
	metrics.GetOrRegisterCounter("ring.a.b.dropped", registry).Inc(2)

	var shown map[string]map[string]float64
	require.NoError(t, json.Unmarshal([]byte(get(t, handler, "/metrics")), &shown))
	require.InDelta(t, 1.5, shown["entry.answered"]["p99Ms"], 1e-9)
	require.InDelta(t, 1, shown["entry.answered"]["count"], 0)
	require.InDelta(t, 7, shown["ring.a.b.depth"]["value"], 0)

	text := get(t, handler, "/metrics.txt")
	require.Contains(t, text, "entry.answered.count 1\n")
	require.Contains(t, text, "entry.answered.p99Ms 1.5\n")
	require.Contains(t, text, "ring.a.b.depth.value 7\nring.a.b.dropped.count 2\n", "sorted by name")
	metrics.GetOrRegisterCounter("outcome.503.all full", registry).Inc(1)
	require.Contains(t, get(t, handler, "/metrics.txt"), "outcome.503.all_full.count 1\n", "spaces in a name become underscores")

	require.Contains(t, get(t, handler, "/dump"), `"a.b":{"depth":7,"dropped":2}`)
	require.Contains(t, get(t, handler, "/dump?pretty"), "\n    \"process\": \"hq-test\"")
	require.Len(t, TruncateForDump(make([]int, maxDumpItems+1)), maxDumpItems)
	require.Len(t, TruncateForDump(make([]int, 3)), 3)
	life.AddJournalEntry("configure", "contract c1 version 2 is in force", "c1")
	require.Contains(t, get(t, handler, "/journal?pretty"), "\n        \"text\": \"contract c1 version 2 is in force\"")
}

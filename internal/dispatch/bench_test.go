package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/target"
)

// BenchmarkRequest sends requests through a queue and real connections. The time includes
// that of the HTTP server.
func BenchmarkRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 256)) }))
	defer server.Close()
	bed := &testbed{changed: make(chan struct{}), service: &model.Service{Name: "master", Slots: 64, Connections: 110}}
	bed.service.Targets = []model.Target{{Name: "master-1", Addr: server.Listener.Addr().String(), DataCentre: "a"}}
	bed.publish(b, "")
	registry, sender := metrics.NewRegistry(), target.NewSender(64)
	defer sender.Close()
	q := newQueue(queueID{Service: "master"}, &queueDeps{
		vm: "vm1", limit: 1024, feed: bed, sender: sender, prober: target.NewProber(), quarantine: noQuarantine{},
		journal: journal.New("vm1", processName, 100), registry: registry, counters: newCounters(registry),
	})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go q.run(ctx)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			j := newJob(bed.request(stream{customer: "listeners", deadline: 2 * time.Second}, fmt.Sprintf("%p-%d", pb, n), 0), time.Now())
			_ = q.inbox.Push(ctx, message{arrive: j})
			if a := <-j.done; a.Problem != nil {
				b.Error(a.Problem)
			}
		}
	})
}

package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// GatewayLoad is a load on gateways, as a platform's load balancer forwards it:
// plain HTTP with the platform's headers.
type GatewayLoad struct {
	// Addrs are the gateways' IP:PORTs for callers, Admins their admin IP:PORTs in
	// the same order. Gateways whose /readyz reports that they are not ready get no requests.
	Addrs  []string `json:"fronts"`
	Admins []string `json:"admins"`
	// Rate is the number of requests per second, over all routes in turn.
	Rate float64 `json:"rate"`
	// Duration is how long requests are sent. Default 20s.
	Duration model.Duration `json:"duration,omitempty"`
	Routes   []GatewayRoute `json:"routes"`
	// Headers has the platform's header names.
	Headers GatewayHeaders `json:"headers"`
}

// GatewayHeaders has the names of the headers of requests and answers.
type GatewayHeaders struct {
	RequestID string `json:"requestId"`
	// DeadlineMs carries the time left to the deadline, in milliseconds.
	DeadlineMs string `json:"deadlineMs"`
	Key        string `json:"key"`
	// Stamp is set by the target that answered.
	Stamp string `json:"stamp"`
}

// GatewayRoute is a route to which requests are sent.
type GatewayRoute struct {
	Host string `json:"host"`
	// Path is the prefix of the path, to which each request appends its number.
	Path string `json:"path"`
	// Keyed is set if requests carry a key, drawn uniformly at random.
	Keyed bool `json:"keyed,omitempty"`
}

// Limits of requests to gateways.
const (
	gatewayDeadline = 2 * time.Second
	// gatewayTimeout is how long the load waits for an answer.
	gatewayTimeout = gatewayDeadline + time.Second
)

// Check implements settings.Checker.
func (p *GatewayLoad) Check() error {
	if p.Duration == 0 {
		p.Duration = defaultDuration
	}
	switch {
	case len(p.Addrs) == 0 || len(p.Admins) != len(p.Addrs):
		return settings.Invalid("/admins", "%d for %d fronts", len(p.Admins), len(p.Addrs))
	case p.Rate <= 0:
		return settings.Invalid("/rate", "%v is not above 0", p.Rate)
	case p.Duration < 0:
		return settings.Invalid("/duration", "%v is negative", p.Duration)
	case len(p.Routes) == 0:
		return settings.Invalid("/routes", "empty")
	case p.Headers.RequestID == "" || p.Headers.DeadlineMs == "" || p.Headers.Key == "" || p.Headers.Stamp == "":
		return settings.Invalid("/headers", "one is empty")
	}
	return nil
}

// GatewayReport is the result of a load on gateways.
type GatewayReport struct {
	// Asked counts all requests; each also counts as one of the others.
	Asked int64 `json:"asked"`
	// Whole counts answers with a target's stamp and the path of their request.
	Whole int64 `json:"whole"`
	// Refused counts requests that were answered 503: not run.
	Refused int64 `json:"refused"`
	// Failed counts answers with another status, Lost requests without an answer, Wrong
	// answers without a stamp or with the path of another request.
	Failed int64 `json:"failed"`
	Lost   int64 `json:"lost"`
	Wrong  int64 `json:"wrong"`
	// P50Ms and P99Ms are latency quantiles of whole answers, in milliseconds from the planned time.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Complete reports whether there were requests and each got its whole answer.
func (r *GatewayReport) Complete() bool { return r.Asked > 0 && r.Whole == r.Asked }

// Text writes the report as one line of text.
func (r *GatewayReport) Text(w io.Writer) {
	fmt.Fprintf(w, "asked %d, whole %d, refused %d, failed %d, lost %d, wrong %d; p50 %.1f ms, p99 %.1f ms\n",
		r.Asked, r.Whole, r.Refused, r.Failed, r.Lost, r.Wrong, r.P50Ms, r.P99Ms)
}

// gatewayRun is the state of a load on gateways.
type gatewayRun struct {
	load     *GatewayLoad
	balancer *balancer
	client   *http.Client

	whole, refused, failed, lost, wrong atomic.Int64

	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

// RunGatewayLoad sends the load and returns the report.
func RunGatewayLoad(ctx context.Context, p *GatewayLoad) *GatewayReport {
	r := &gatewayRun{
		load: p, times: newHistogram(),
		balancer: newBalancer(p.Addrs, p.Admins),
		client:   &http.Client{Timeout: gatewayTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	healthCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.balancer.run(healthCtx)
	asked := r.sendAll(ctx)
	out := &GatewayReport{
		Asked: asked, Whole: r.whole.Load(), Refused: r.refused.Load(), Failed: r.failed.Load(), Lost: r.lost.Load(), Wrong: r.wrong.Load(),
	}
	out.P50Ms, out.P99Ms = quantile(r.times, 50), quantile(r.times, 99)
	return out
}

// sendAll sends requests at their planned times, waits for the answers and returns the number of
// requests.
func (r *gatewayRun) sendAll(ctx context.Context) int64 {
	var wait sync.WaitGroup
	defer wait.Wait()
	begin := time.Now()
	pause := time.Duration(float64(time.Second) / r.load.Rate)
	for n := 0; ; n++ {
		planned := begin.Add(time.Duration(n) * pause)
		if planned.Sub(begin) >= r.load.Duration.D() {
			return int64(n)
		}
		select {
		case <-time.After(time.Until(planned)):
		case <-ctx.Done():
			return int64(n)
		}
		wait.Go(func() { r.send(ctx, n, planned) })
	}
}

func (r *gatewayRun) send(ctx context.Context, n int, planned time.Time) {
	rt := r.load.Routes[n%len(r.load.Routes)]
	path := rt.Path + strconv.Itoa(n)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.balancer.pick(n/len(r.load.Routes), 0)+path, nil)
	if err != nil {
		r.lost.Add(1)
		return
	}
	req.Host = rt.Host
	req.Header.Set(r.load.Headers.RequestID, fmt.Sprintf("load-%d", n))
	req.Header.Set(r.load.Headers.DeadlineMs, strconv.FormatInt(gatewayDeadline.Milliseconds(), 10))
	if rt.Keyed {
		req.Header.Set(r.load.Headers.Key, strconv.Itoa(rand.IntN(1<<16)))
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.lost.Add(1)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.lost.Add(1)
		return
	}
	r.count(resp, string(body), path, time.Since(planned))
}

func (r *gatewayRun) count(resp *http.Response, body, path string, took time.Duration) {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		r.refused.Add(1)
	case resp.StatusCode != http.StatusOK:
		r.failed.Add(1)
	case resp.Header.Get(r.load.Headers.Stamp) == "" || !strings.HasSuffix(body, " "+path):
		r.wrong.Add(1)
	default:
		r.whole.Add(1)
		r.mu.Lock()
		defer r.mu.Unlock()
		// A latency beyond the range of the histogram is not recorded, but the answer counts as whole.
		_ = r.times.RecordValue(took.Microseconds())
	}
}

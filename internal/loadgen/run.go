package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/standin"
	"hemlockquay/internal/target"
)

// maxConnections limits the connections to one entry.
const maxConnections = 512

// deadlineSlack is how long after its deadline a request is given up.
const deadlineSlack = time.Second

// runner runs one experiment.
type runner struct {
	experiment *Experiment
	http       *http.Client
	tallies    []*tally
	prefix     string
	begin      time.Time
	balancer   *balancer
}

// call is one request of the load.
type call struct {
	id, key string
	// direct is the target's base URL if the workload bypasses the entries.
	direct  string
	number  int
	planned time.Duration
}

// Run runs the experiment and returns the report.
func Run(ctx context.Context, e *Experiment) (*Report, error) {
	r := &runner{
		experiment: e,
		http:       &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, DisableCompression: true}},
		prefix:     strconv.FormatInt(time.Now().UnixNano(), 36),
		begin:      time.Now(),
		balancer:   newBalancer(e.Entries, e.Admins),
	}
	defer r.http.CloseIdleConnections()
	if err := r.runAll(ctx); err != nil {
		return nil, err
	}
	report := r.report()
	return report, r.verify(report)
}

// runAll runs the balancer, the faults and each workload in goroutines of their own, until the
// workloads end or a fault cannot be injected.
func (r *runner) runAll(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var streams, faults sync.WaitGroup
	for i := range r.experiment.Workloads {
		w := &r.experiment.Workloads[i]
		random := rand.New(rand.NewPCG(r.experiment.Seed, uint64(i)))
		times, err := arrivalTimes(w, random, r.experiment.Duration.D())
		if err != nil {
			return err
		}
		t := newTally(w)
		r.tallies = append(r.tallies, t)
		streams.Go(func() { r.runWorkload(ctx, i, t, times, newKeyGenerator(w, random)) })
	}
	faults.Go(func() { r.balancer.run(ctx) })
	faults.Go(func() {
		if err := r.injectFaults(ctx); err != nil {
			cancel(err)
		}
	})
	streams.Wait()
	cause := context.Cause(ctx)
	cancel(nil)
	faults.Wait()
	return cause
}

// runWorkload sends the requests of one workload at their planned times.
func (r *runner) runWorkload(ctx context.Context, index int, t *tally, times []time.Duration, keys *keyGenerator) {
	var requests sync.WaitGroup
	defer requests.Wait()
	targets, err := r.targets(ctx, t.workload)
	if err != nil {
		t.record(outcome{err: err})
		return
	}
	for n, at := range times {
		if !r.sleepUntil(ctx, at) {
			return
		}
		c := call{
			id: fmt.Sprintf("%s-%d-%d", r.prefix, index, n), number: n, planned: at,
			key: keys.next(at),
		}
		if t.workload.Direct {
			c.direct = targets[keys.random.IntN(len(targets))]
		}
		requests.Go(func() { r.send(ctx, t, c) })
	}
}

func (r *runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := time.Until(r.begin.Add(at))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// injectFaults calls the stand-in's admin port at the planned times of the faults.
func (r *runner) injectFaults(ctx context.Context) error {
	for _, f := range r.experiment.Faults {
		if !r.sleepUntil(ctx, f.At.D()) {
			return nil
		}
		req, err := http.NewRequestWithContext(ctx, f.Method, r.experiment.Standin+f.Path, bytes.NewReader(f.Body))
		if err != nil {
			return fmt.Errorf("fault %s: %w", f.Path, err)
		}
		resp, err := r.http.Do(req)
		if err != nil {
			return fmt.Errorf("fault %s: %w", f.Path, err)
		}
		resp.Body.Close()
		if resp.StatusCode >= http.StatusBadRequest {
			return fmt.Errorf("fault %s: status %d", f.Path, resp.StatusCode)
		}
	}
	return nil
}

// send sends one request and records the outcome.
func (r *runner) send(ctx context.Context, t *tally, c call) {
	o := outcome{call: c}
	ctx, cancel := context.WithDeadline(ctx, r.begin.Add(c.planned+t.workload.Deadline.D()+deadlineSlack))
	defer cancel()
	body := bytes.Repeat([]byte("b"), t.workload.BodyBytes)
	resp, answer, err := r.sendBalanced(ctx, t.workload, c, body)
	o.took = time.Since(r.begin) - c.planned
	if err != nil {
		o.err = err
		t.record(o)
		return
	}
	o.status, o.servedBy = resp.StatusCode, resp.Header.Get(standin.HeaderServedBy)
	o.ran = problem.Ran(resp.Header.Get(problem.Header))
	if t.workload.Direct && o.status == http.StatusOK {
		o.ran = problem.RanYes
	}
	// A repeated request with the same Idempotency-Key gets the answer of the first one.
	id := resp.Header.Get(standin.HeaderLoadID)
	if t.workload.IdempotencyKeys == 0 {
		id = c.id
	}
	o.intact = bytes.Equal(answer, standin.AnswerBody(id, t.workload.AnswerBytes, body))
	t.record(o)
}

// sendBalanced sends the request to the next entry that accepts a connection, as a
// load balancer does: after a failed dial nothing was sent, so that trying another entry is safe.
func (r *runner) sendBalanced(ctx context.Context, w *Workload, c call, body []byte) (*http.Response, []byte, error) {
	if w.Direct {
		return r.roundTrip(ctx, w, c, c.direct, body)
	}
	for tried := 0; ; tried++ {
		entry := r.balancer.pick(c.number, tried) + "/s/" + w.Service
		resp, answer, err := r.roundTrip(ctx, w, c, entry, body)
		var op *net.OpError
		dialled := err == nil || !errors.As(err, &op) || op.Op != "dial"
		if dialled || ctx.Err() != nil || tried >= len(r.experiment.Entries) {
			return resp, answer, err
		}
	}
}

func (r *runner) roundTrip(ctx context.Context, w *Workload, c call, baseURL string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, w.Method, baseURL+"/work", bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	// Keeps net/http from retrying: the load tool itself must never send a request twice.
	req.GetBody = nil
	setHeaders(req.Header, w, c)
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, err
}

func setHeaders(h http.Header, w *Workload, c call) {
	h.Set("Authorization", "Bearer "+w.Token)
	h.Set("Hq-Deadline-Ms", strconv.FormatInt(w.Deadline.D().Milliseconds(), 10))
	h.Set(standin.HeaderLoadID, c.id)
	if w.Direct {
		// A target counts running requests by this id. Without one, all requests of a
		// workload share one slot.
		h.Set(target.HeaderRequestID, c.id)
	}
	h.Set(standin.HeaderLoadSize, strconv.Itoa(w.AnswerBytes))
	if c.key != "" {
		h.Set("Hq-Key", c.key)
	}
	if w.WorkUS > 0 {
		h.Set(standin.HeaderLoadWork, strconv.Itoa(w.WorkUS))
	}
	if w.LongOneIn > 0 && c.number%w.LongOneIn == w.LongOneIn-1 {
		h.Set(standin.HeaderLoadWork, strconv.Itoa(w.LongWorkUS))
	}
	if w.CrashOneIn > 0 && c.number%w.CrashOneIn == w.CrashOneIn-1 {
		h.Set(standin.HeaderLoadCrash, "1")
	}
	if w.IdempotencyKeys > 0 {
		h.Set("Idempotency-Key", fmt.Sprintf("%s-%d", w.Customer, c.number%w.IdempotencyKeys))
	}
}
